// A job entry that owns the jobs, and scripted peers, for tests of its
// ownership.
#pragma once

#include <atomic>
#include <chrono>
#include <limits>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "job_entry_process.h"
#include "job_keys.h"
#include "shared_store.h"
#include "store_in_memory.h"
#include "versioned_adapter.h"

namespace chervilkeel {

namespace asio = boost::asio;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;

inline constexpr const char* kAddress = "127.0.0.1";
// Loopback addresses of peers: all entries use one port.
inline constexpr const char* kPeerAddress = "127.0.0.2";
inline constexpr const char* kQueuePath = "/paths/";

// Gives the entries of a test one store.
class shared_adapter : public versioned_adapter {
 public:
  explicit shared_adapter(store_in_memory& memory) : memory_(memory) {}

  std::unique_ptr<coordination_store> MakeStore(
      asio::io_context& /*context*/,
      const endpoint& /*peer*/) const override {
    return std::make_unique<shared_store>(memory_);
  }

 private:
  store_in_memory& memory_;
};

// What an entry says of itself, and how many questions it answers.
struct peer_script {
  std::uint64_t config_version = 1;
  millis store_silent = 0;
  int answers = std::numeric_limits<int>::max();
  std::string config;  // Told to an entry that asks for it.
};

// An entry that answers the gossip, and nothing else.
class scripted_peer : public wire::job_owner_service::CallbackService {
 public:
  explicit scripted_peer(const peer_script& script) : script_(script) {}

  grpc::ServerUnaryReactor* Fleet(grpc::CallbackServerContext* context,
                                  const wire::fleet_question* request,
                                  wire::fleet_reply* reply) override {
    if (request->wants_config()) {
      reply->set_config(script_.config);
    }
    reply->set_config_version(script_.config_version);
    reply->set_store_silent_ms(script_.store_silent);
    reply->set_processors(1.0);
    auto* reactor = context->DefaultReactor();
    reactor->Finish(++asked_ <= script_.answers
                        ? grpc::Status::OK
                        : grpc::Status(grpc::StatusCode::ABORTED, "busy"));
    return reactor;
  }

 private:
  const peer_script script_;
  std::atomic<int> asked_ = 0;
};

// A running peer.
struct peer_process {
  std::unique_ptr<scripted_peer> peer;
  std::unique_ptr<grpc::Server> server;
};

// One entry and its callers.
struct tested_entry {
  asio::io_context& context;
  process_settings settings;
  std::optional<job_entry_process> entry;
  bool ended = false;
  millis left_at = 0;
  millis took = 0;  // From the order to stop to the end.

  tested_entry(asio::io_context& io,
               store_in_memory& memory,
               process_settings given)
      : context(io), settings(std::move(given)) {
    settings.name = settings.address;
    settings.job_front = {settings.address, FreePort(settings.address)};
    settings.job_readiness = {settings.address, FreePort(settings.address)};
    entry.emplace(context, settings, std::make_unique<shared_adapter>(memory));
    BOOST_TEST_REQUIRE(entry->Start().has_value());
    context.run_for(milliseconds(kStartTime));
  }

  static std::uint16_t FreePort(const std::string& address) {
    asio::io_context probe;
    tcp::acceptor acceptor(probe, {asio::ip::make_address(address), 0});
    return acceptor.local_endpoint().port();
  }

  void Leave() {
    left_at = BootNow();
    entry->Stop([this] {
      ended = true;
      took = BootNow() - left_at;
      context.stop();
    });
  }

  // Sends a request on a connection of its own, as a leaving entry closes each
  // after its answer, and returns what has been received soon after.
  std::string Call(const std::string& method, const std::string& target) {
    asio::io_context client_context;
    tcp::socket client(client_context);
    client.connect(
        {asio::ip::make_address(settings.address), settings.job_front.port});
    asio::write(client, asio::buffer(method + " " + target +
                                     " HTTP/1.1\r\nHost: house\r\n"
                                     "Content-Length: 0\r\n\r\n"));
    context.run_for(milliseconds(kAnswerWithin));
    std::string text(client.available(), '\0');
    asio::read(client, asio::buffer(text));
    return text;
  }

  // The answer of the owner's process names the result, after the headers.
  bool IsCounted() {
    return Call("COUNT", kQueuePath).find("\r\n\r\ncount") != std::string::npos;
  }

  static constexpr millis kStartTime = 60;
  static constexpr millis kAnswerWithin = 50;
};

// An owner of the jobs, and peers that the test adds.
struct ownership_fixture {
  // Answers of calls that end after a test are posted to its context.
  static asio::io_context& NewContext() {
    static std::list<asio::io_context> contexts;
    return contexts.emplace_back();
  }

  asio::io_context& context = NewContext();
  store_in_memory memory{context};
  process_settings settings;
  std::map<std::string, peer_process> peer_processes;  // By address.
  std::optional<tested_entry> owner;

  ownership_fixture() {
    memory.Put("config", "1 /paths/ paths");
    settings.address = kAddress;
    settings.rpc_port = tested_entry::FreePort(kAddress);
    settings.seeds = {{kAddress, 1}, {kPeerAddress, 1}};
    settings.shutdown_time = kShutdownTime;
    settings.answer_time = kAnswerTime;
  }

  ~ownership_fixture() {
    for (auto& [address, peer] : peer_processes) {
      peer.server->Shutdown();
    }
  }

  void StartOwner() {
    owner.emplace(context, memory, settings);
    for (millis waited = 0; !IsOwned() && waited < kElectedWithin;
         waited += tested_entry::kAnswerWithin) {
      RunFor(tested_entry::kAnswerWithin);
    }
    RunFor(tested_entry::kAnswerWithin);  // To recover the jobs.
    BOOST_TEST_REQUIRE(owner->IsCounted());
  }

  // Of a peer that leaves for longer than the owner.
  process_settings PeerSettings() const {
    process_settings other = settings;
    other.address = kPeerAddress;
    other.shutdown_time = kMostShutdown;
    return other;
  }

  void StartPeer(const peer_script& script,
                 const std::string& address = kPeerAddress) {
    peer_process& peer = peer_processes[address];
    peer.peer = std::make_unique<scripted_peer>(script);
    grpc::ServerBuilder builder;
    builder.AddListeningPort(endpoint{address, settings.rpc_port}.ToString(),
                             grpc::InsecureServerCredentials());
    builder.RegisterService(peer.peer.get());
    peer.server = builder.BuildAndStart();
    BOOST_TEST_REQUIRE(peer.server != nullptr);
  }

  void StopPeer(const std::string& address = kPeerAddress) {
    peer_processes.at(address).server->Shutdown();
    peer_processes.erase(address);
  }

  void RunFor(millis time) { context.run_for(milliseconds(time)); }

  void RunToTheEnd() {
    if (!owner->ended) {
      RunFor(kMostShutdown);
    }
    BOOST_TEST(owner->ended);
  }

  // Submits a job and cancels it, which the owner has to commit.
  void CancelJob(const std::string& id) {
    const std::string path = kQueuePath + id;
    BOOST_TEST(owner->Call("POST", path).find("accepted") != std::string::npos);
    BOOST_TEST(owner->Call("DELETE", path).find("cancelled") !=
               std::string::npos);
  }

  bool IsEndStored(const std::string& id) const {
    return memory.items.count(kProgressPrefix + id) != 0;
  }

  bool IsOwned() const { return memory.items.count(kOwnerKey) != 0; }

  std::string Epoch() const { return memory.items.at(kEpochKey).value; }

  // Notifies the owner of a higher epoch, as an agent does.
  void ReportHigherEpoch() {
    const auto call = MakeCall<wire::agent_sync, wire::agent_orders>(
        peers.At(endpoint{kAddress, settings.rpc_port}.ToString()), {},
        kCallTimeout);
    call->request.set_agent("agent");
    call->request.set_epoch(kHigherEpoch);
    call->peer->jobs->async()->Sync(&call->context, &call->request,
                                    &call->reply,
                                    [call](const grpc::Status&) {});
    RunFor(tested_entry::kAnswerWithin);
  }

  rpc_peers peers;

  static constexpr millis kElectedWithin = 2'000;
  static constexpr millis kShutdownTime = 1'500;
  static constexpr millis kAnswerTime = 300;
  static constexpr millis kLastWriteTime = 200;
  static constexpr millis kTimerDelay = 150;  // Of a busy machine.
  static constexpr millis kMostShutdown = 5'000;
  // Two rounds of gossip, and one pause before a new connection.
  static constexpr millis kHeardWithin = 1'000;
  static constexpr millis kCallTimeout = 500;
  static constexpr std::uint64_t kHigherEpoch = 9;
};

}  // namespace chervilkeel
