// An entry that is shut down: callers go on using their open connections.
#include "job_entry_process.h"

#include <chrono>
#include <optional>
#include <thread>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "job_keys.h"
#include "store_in_memory.h"
#include "versioned_adapter.h"

namespace chervilkeel {

namespace {

namespace asio = boost::asio;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;

// Makes a store in memory that the test can reach. It elects no owner.
class memory_adapter : public versioned_adapter {
 public:
  explicit memory_adapter(store_in_memory*& memory) : memory_(memory) {}

  std::unique_ptr<coordination_store> MakeStore(
      asio::io_context& context,
      const endpoint& /*peer*/) const override {
    auto store = std::make_unique<store_in_memory>(context);
    store->Put("config", "1 /paths/ paths");
    store->refuses_leases = true;
    memory_ = store.get();
    return store;
  }

 private:
  store_in_memory*& memory_;
};

// An entry without peers that is never elected, as an owner without peers keeps
// the jobs while it leaves: no entry owns the jobs.
struct leaving_entry_fixture {
  asio::io_context context;
  asio::io_context client_context;
  process_settings settings;
  store_in_memory* memory = nullptr;
  std::optional<job_entry_process> entry;
  tcp::socket client{client_context};
  tcp::socket second{client_context};  // Connected, and idle.
  bool ended = false;
  millis left_at = 0;
  millis took = 0;  // From the order to stop to the end.

  explicit leaving_entry_fixture(millis answer_time = kAnswerTime) {
    settings.name = "entry";
    settings.address = "127.0.0.1";
    settings.job_front = {"127.0.0.1", FreePort()};
    settings.job_readiness = {"127.0.0.1", FreePort()};
    settings.shutdown_time = kShutdownTime;
    settings.answer_time = answer_time;
    entry.emplace(context, settings, std::make_unique<memory_adapter>(memory));
    BOOST_TEST_REQUIRE(entry->Start().has_value());
    context.run_for(milliseconds(50));
    for (tcp::socket* socket : {&client, &second}) {
      socket->connect(
          {asio::ip::address_v4::loopback(), settings.job_front.port});
    }
  }

  static std::uint16_t FreePort() {
    asio::io_context probe;
    tcp::acceptor acceptor(probe, {asio::ip::address_v4::loopback(), 0});
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

  void Send(const std::string& method, const std::string& target) {
    asio::write(client, asio::buffer(method + " " + target +
                                     " HTTP/1.1\r\nHost: house\r\n"
                                     "Content-Length: 0\r\n\r\n"));
  }

  // Runs the entry to its end and returns what the client has received by then.
  std::string ReceivedAtEnd() {
    context.run_for(milliseconds(kMostShutdown));
    return Received();
  }

  std::string Received() {
    std::string text(client.available(), '\0');
    asio::read(client, asio::buffer(text));
    return text;
  }

  bool IsStored() const {
    return memory->items.count(kJobPrefix + std::string(kId)) != 0;
  }

  static constexpr millis kShutdownTime = 400;
  static constexpr millis kAnswerTime = 200;
  static constexpr millis kMostShutdown = 5'000;
  static constexpr int kAlways = 1'000;
  static constexpr const char* kId = "0123456789abcdef";
  const std::string path = std::string("/paths/") + kId;
};

// An entry that gives requests so much time that a test can pause it meanwhile.
struct paused_entry_fixture : leaving_entry_fixture {
  paused_entry_fixture() : leaving_entry_fixture(kLongAnswerTime) {}

  static constexpr millis kLongAnswerTime = 1'500;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(leaving_job_entry, leaving_entry_fixture)

// A request that no owner answers is tried again for longer than the process
// has left: its caller gets a refusal, not a closed connection.
BOOST_AUTO_TEST_CASE(count_without_an_owner_is_answered_before_the_entry_ends) {
  Leave();
  context.run_for(milliseconds(250));
  Send("COUNT", "/paths/");
  BOOST_TEST(ReceivedAtEnd().find("unavailable") != std::string::npos);
  BOOST_TEST(ended);
}

BOOST_AUTO_TEST_CASE(
    state_question_without_a_store_is_answered_before_the_entry_ends) {
  Leave();
  context.run_for(milliseconds(250));
  memory->refused_reads = kAlways;
  Send("GET", path);
  BOOST_TEST(ReceivedAtEnd().find("unavailable") != std::string::npos);
  BOOST_TEST(ended);
}

// A refusal says that the job never runs: a pending retry must not store it
// after the refusal.
BOOST_AUTO_TEST_CASE(submission_refused_at_the_end_is_never_stored) {
  memory->refused_commits = kAlways;
  Leave();
  context.run_for(milliseconds(350));
  Send("POST", path);
  BOOST_TEST(ReceivedAtEnd().find("unavailable") != std::string::npos);
  memory->refused_commits = 0;
  context.restart();
  context.run_for(milliseconds(300));
  BOOST_TEST(!IsStored());
}

// The store has the job, but its answers are lost: "never runs" would be false.
BOOST_AUTO_TEST_CASE(submission_that_may_be_stored_is_unknown_at_the_end) {
  memory->lost_answers = kAlways;
  Leave();
  context.run_for(milliseconds(350));
  Send("POST", path);
  BOOST_TEST(ReceivedAtEnd().find("unknown") != std::string::npos);
  BOOST_TEST(IsStored());
}

BOOST_AUTO_TEST_CASE(request_after_the_shutdown_time_is_refused_at_once) {
  Leave();
  context.run_for(milliseconds(350));
  Send("COUNT", "/paths/");  // Keeps the process until its answer.
  context.run_for(milliseconds(100));
  tcp::socket other = std::move(client);
  client = std::move(second);
  Send("POST", path);
  context.run_for(milliseconds(50));
  BOOST_TEST(!ended);
  BOOST_TEST(Received().find("unavailable") != std::string::npos);
  BOOST_TEST(!IsStored());
}

BOOST_AUTO_TEST_CASE(entry_without_requests_ends_at_its_shutdown_time) {
  Leave();
  ReceivedAtEnd();
  BOOST_TEST(ended);
  BOOST_TEST(took >= kShutdownTime);
  BOOST_TEST(took < kShutdownTime + kAnswerTime);
}

// A client that never sends the rest of its request does not keep the process
// until the platform kills it.
BOOST_AUTO_TEST_CASE(half_a_request_does_not_hold_the_end_back) {
  Leave();
  context.run_for(milliseconds(100));
  asio::write(client, asio::buffer("POST " + path +
                                   " HTTP/1.1\r\nHost: house\r\n"
                                   "Content-Length: 9\r\n\r\nhalf"));
  ReceivedAtEnd();
  BOOST_TEST(ended);
  BOOST_TEST(took < 2 * (kShutdownTime + kAnswerTime));
}

// An entry that gets no processor time at its end still sends the answers that
// it gives then.
BOOST_FIXTURE_TEST_CASE(pause_at_the_end_does_not_cost_the_last_answers,
                        paused_entry_fixture) {
  Leave();
  context.run_for(milliseconds(kShutdownTime - 50));
  Send("COUNT", "/paths/");
  context.run_for(milliseconds(100));
  BOOST_TEST_REQUIRE(!ended);
  std::this_thread::sleep_for(milliseconds(kLongAnswerTime + 300));
  BOOST_TEST(ReceivedAtEnd().find("unavailable") != std::string::npos);
  BOOST_TEST(ended);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
