// An entry that owns the jobs and is shut down: it keeps them until another
// entry can take them.
#include "job_entry_process.h"

#include <chrono>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "job_keys.h"
#include "shared_store.h"
#include "store_in_memory.h"
#include "versioned_adapter.h"

namespace chervilkeel {

namespace {

namespace asio = boost::asio;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;

constexpr const char* kAddress = "127.0.0.1";
// Loopback addresses of peers: all entries use one port.
constexpr const char* kPeerAddress = "127.0.0.2";
constexpr const char* kQueuePath = "/paths/";

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

// What an entry says of itself, set by the test before it is asked.
struct peer_script {
  std::uint64_t config_version = 1;
  millis store_silent = 0;
};

// An entry that answers the gossip, and nothing else.
class scripted_peer : public wire::job_owner_service::CallbackService {
 public:
  explicit scripted_peer(const peer_script& script) : script_(script) {}

  grpc::ServerUnaryReactor* Fleet(grpc::CallbackServerContext* context,
                                  const wire::fleet_question* /*request*/,
                                  wire::fleet_reply* reply) override {
    reply->set_config_version(script_.config_version);
    reply->set_store_silent_ms(script_.store_silent);
    reply->set_processors(1.0);
    auto* reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

 private:
  const peer_script script_;
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
  std::unique_ptr<scripted_peer> peer;
  std::unique_ptr<grpc::Server> peer_server;
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
    if (peer_server != nullptr) {
      peer_server->Shutdown();
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

  void StartPeer(const peer_script& script) {
    peer = std::make_unique<scripted_peer>(script);
    grpc::ServerBuilder builder;
    builder.AddListeningPort(
        endpoint{kPeerAddress, settings.rpc_port}.ToString(),
        grpc::InsecureServerCredentials());
    builder.RegisterService(peer.get());
    peer_server = builder.BuildAndStart();
    BOOST_TEST_REQUIRE(peer_server != nullptr);
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

}  // namespace

BOOST_FIXTURE_TEST_SUITE(leaving_owner, ownership_fixture)

// Guards against the jobs being without an owner while all entries leave: the
// last one gave them up at once, and its callers' counts were refused.
BOOST_AUTO_TEST_CASE(count_at_the_last_entry_is_answered_while_it_leaves) {
  StartOwner();
  owner->Leave();
  RunFor(kShutdownTime / 2);
  BOOST_TEST(owner->IsCounted());
  RunFor(kShutdownTime / 4);
  BOOST_TEST(owner->IsCounted());
  BOOST_TEST(!owner->ended);
}

// Guards against an owner whose lease lapses while it leaves: it has to renew
// the lease, whose time is shorter than the time to leave.
BOOST_AUTO_TEST_CASE(owner_that_leaves_keeps_its_epoch_beyond_one_lease) {
  constexpr millis kLease = 200;
  settings.owner_ttl = kLease;
  StartOwner();
  const std::string epoch = Epoch();
  owner->Leave();
  RunFor(3 * kLease);
  BOOST_TEST(owner->IsCounted());
  BOOST_TEST(Epoch() == epoch);
}

// Guards against jobs that are given up to a peer that leaves as well.
BOOST_AUTO_TEST_CASE(owner_whose_only_peer_leaves_too_keeps_the_jobs) {
  StartOwner();
  tested_entry second(context, memory, PeerSettings());
  RunFor(kHeardWithin);
  second.Leave();
  RunFor(kHeardWithin);
  owner->Leave();
  RunFor(kHeardWithin / 2);
  BOOST_TEST(IsOwned());
  BOOST_TEST(owner->IsCounted());
}

// Guards against a question of another leaving entry without an answer.
BOOST_AUTO_TEST_CASE(count_at_a_leaving_peer_is_answered_by_the_leaving_owner) {
  StartOwner();
  tested_entry second(context, memory, PeerSettings());
  RunFor(kHeardWithin);
  second.Leave();
  RunFor(kHeardWithin);
  owner->Leave();
  RunFor(kHeardWithin / 4);
  BOOST_TEST(second.IsCounted());
}

// Guards against jobs that are given up to a peer that can't be elected.
BOOST_AUTO_TEST_CASE(owner_whose_peer_has_no_configuration_keeps_the_jobs) {
  StartPeer({0, 0});
  StartOwner();
  RunFor(kHeardWithin);
  owner->Leave();
  RunFor(kShutdownTime / 2);
  BOOST_TEST(owner->IsCounted());
}

// Guards against jobs that are given up to a peer whose claim can't arrive.
BOOST_AUTO_TEST_CASE(owner_whose_peer_has_lost_the_store_keeps_the_jobs) {
  StartPeer({1, 700});
  StartOwner();
  RunFor(kHeardWithin);
  owner->Leave();
  RunFor(kShutdownTime / 2);
  BOOST_TEST(owner->IsCounted());
}

// Guards against an owner that leaves on a word which is no longer true.
BOOST_AUTO_TEST_CASE(owner_whose_peer_has_gone_silent_keeps_the_jobs) {
  StartPeer({});
  StartOwner();
  RunFor(kHeardWithin);
  peer_server->Shutdown();
  RunFor(kHeardWithin + kTimerDelay);
  owner->Leave();
  RunFor(kShutdownTime / 2);
  BOOST_TEST(owner->IsCounted());
}

// Guards against a handover that is put off although a peer can take the jobs.
BOOST_AUTO_TEST_CASE(owner_with_a_ready_peer_resigns_at_once_when_it_leaves) {
  StartPeer({});
  StartOwner();
  RunFor(kHeardWithin);
  owner->Leave();
  RunFor(tested_entry::kAnswerWithin);
  BOOST_TEST(!IsOwned());
  BOOST_TEST(!owner->ended);
}

// Guards against an owner that keeps the jobs to its end although a peer has
// come back.
BOOST_AUTO_TEST_CASE(leaving_owner_resigns_when_it_hears_of_a_ready_peer) {
  StartOwner();
  owner->Leave();
  RunFor(kHeardWithin / 4);
  BOOST_TEST(IsOwned());
  StartPeer({});
  RunFor(kHeardWithin);
  BOOST_TEST(!IsOwned());
  BOOST_TEST(!owner->ended);
}

// Guards against a lease that lasts beyond its process: the next owner would
// wait for it.
BOOST_AUTO_TEST_CASE(owner_without_a_peer_resigns_before_its_process_ends) {
  StartOwner();
  owner->Leave();
  RunFor(kShutdownTime / 2);
  BOOST_TEST(IsOwned());
  RunToTheEnd();
  BOOST_TEST(!IsOwned());
  BOOST_TEST(owner->took >= kShutdownTime);
  BOOST_TEST(owner->took < kShutdownTime + kAnswerTime);
}

// Guards against the loss of what the owner has decided last: the commit is due
// only after the shutdown time.
BOOST_AUTO_TEST_CASE(change_just_before_the_end_of_the_owner_is_committed) {
  settings.answer_time = 1'000;
  settings.job_commit_interval = 1'000;
  StartOwner();
  owner->Leave();
  RunFor(kShutdownTime - 500);
  CancelJob("first");
  CancelJob("second");
  BOOST_TEST(!IsEndStored("second"));
  RunToTheEnd();
  BOOST_TEST(IsEndStored("second"));
  BOOST_TEST(!IsOwned());
}

// Guards against a process that the platform has to kill: its last commit and
// the end of its lease are never answered.
BOOST_AUTO_TEST_CASE(owner_whose_store_is_silent_ends_within_its_limits) {
  settings.job_commit_interval = 1'000;
  StartOwner();
  CancelJob("first");
  owner->Leave();
  CancelJob("second");
  BOOST_TEST(!IsEndStored("second"));
  memory.is_silent = true;
  RunToTheEnd();
  BOOST_TEST(owner->took >= kShutdownTime);
  BOOST_TEST(owner->took <
             kShutdownTime + kAnswerTime + kLastWriteTime + kTimerDelay);
}

// Guards against a process that the platform has to kill: the store refuses
// what the owner commits last.
BOOST_AUTO_TEST_CASE(owner_whose_store_refuses_commits_ends_within_its_limits) {
  settings.job_commit_interval = 1'000;
  StartOwner();
  CancelJob("first");
  owner->Leave();
  CancelJob("second");
  BOOST_TEST(!IsEndStored("second"));
  memory.refused_commits = 1'000;
  RunToTheEnd();
  BOOST_TEST(owner->took <
             kShutdownTime + kAnswerTime + kLastWriteTime + kTimerDelay);
  BOOST_TEST(!IsOwned());
}

// Guards against a new term of a process that is about to end, after another
// process has shown it a higher epoch; a new configuration must not make it a
// candidate again.
BOOST_AUTO_TEST_CASE(leaving_owner_that_is_replaced_is_not_elected_again) {
  StartOwner();
  const std::string epoch = Epoch();
  owner->Leave();
  RunFor(kShutdownTime / 4);
  memory.items.erase(kOwnerKey);  // The store answers no watch on it.
  ReportHigherEpoch();
  memory.Put("config", "2 /paths/ paths");
  RunFor(kShutdownTime / 2);
  BOOST_TEST(!IsOwned());
  BOOST_TEST(Epoch() == epoch);
}

// Guards against an election of an entry that leaves: the owner's key becomes
// free while the entry, which reads the key again and again, is leaving.
BOOST_AUTO_TEST_CASE(leaving_entry_that_is_not_the_owner_is_never_elected) {
  memory.Put(kOwnerKey, endpoint{kPeerAddress, 1}.ToString() + " 5");
  memory.Put(kEpochKey, "5");
  memory.failed_watches = 1'000;
  owner.emplace(context, memory, settings);
  owner->Leave();
  RunFor(kShutdownTime / 4);
  memory.items.erase(kOwnerKey);
  RunFor(kShutdownTime / 2);
  BOOST_TEST(!IsOwned());
  BOOST_TEST(Epoch() == "5");
  RunToTheEnd();
  BOOST_TEST(Epoch() == "5");
}

// Guards against a cancelled job that runs (UNASKED): it was stored and
// cancelled while its owner was not the owner for a moment. The store lists
// cancellations before jobs, and the owner passed over the cancellation of an
// unknown job.
BOOST_AUTO_TEST_CASE(job_cancelled_between_two_terms_of_its_owner_is_ended) {
  StartOwner();
  memory.items.erase(kOwnerKey);
  ReportHigherEpoch();
  job_record record;
  record.id = "0123456789abcdef";
  record.queue.name = "paths";
  record.epoch = 1;
  record.spec.steps.emplace_back();
  record.spec.steps[0].tasks = 1;
  memory.Put(kJobPrefix + record.id, EncodeJobRecord(record));
  memory.Put(kCancelPrefix + record.id, "cancelled");
  RunFor(kElectedWithin);
  BOOST_REQUIRE_EQUAL(Epoch(), "2");
  BOOST_TEST(IsEndStored(record.id));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
