#include "job_agent_process.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <limits>
#include <map>
#include <mutex>
#include <optional>
#include <set>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <grpcpp/grpcpp.h>
#include <boost/test/unit_test.hpp>

#include "chervilkeel/platform_adapter.h"
#include "job_wire.h"
#include "store_in_memory.h"
#include "wire/jobs.grpc.pb.h"

namespace chervilkeel {

namespace {

constexpr const char* kAnnouncementBody = "ready";

// What an executor does, set by the test.
struct executor_script {
  int listings = 3;             // Then it lists no more.
  bool lists_start = true;      // A start shows in the lists.
  int lists_after_stop = 0;     // So many lists show a run that was stopped.
  std::int64_t started_ms = 5;  // Of the present boot.
  std::vector<ended_run> ends;  // Listed until they are recorded.
  std::uint64_t highest_recorded = 0;  // That a call has named.
  std::size_t unreadable_runs = 0;     // In each list.
  std::uint64_t first_unreadable_end = 0;
  int lists = 0;  // Made by the present boot.
  // How starts are answered, by task index; the others are not.
  std::map<std::uint32_t, executor_verdict> start_verdicts;
  bool refuses_connections = false;  // Starts do not reach the executor.
  int unsent_starts = 0;
  int starts = 0;  // Calls that the executor has read.
  int stops = 0;
  int announcements = 0;  // Read by the agent.
  // Changes what the next announcements say.
  std::function<void(announcement&)> distort;
};

// An executor that carries out starts without answering them.
class mute_executor : public task_executor {
 public:
  mute_executor(boost::asio::io_context& context, executor_script& script)
      : script_(script), context_(context) {}

  void Start(const order_context& /*context*/,
             const worker_order& order,
             millis /*lease_end*/,
             executor_callback<executor_answer> callback) override {
    if (script_.refuses_connections) {
      ++script_.unsent_starts;
      callback(Fail(error_code::kUnavailable, "connection refused"));
      return;
    }
    ++script_.starts;
    const auto verdict = script_.start_verdicts.find(order.task.index);
    if (verdict == script_.start_verdicts.end()) {
      run_.task = order.task;
      run_.run = order.run;
      callback(Fail(error_code::kUnknown, "no answer"));
      return;
    }
    if (verdict->second == executor_verdict::kAccepted) {
      run_.task = order.task;
      run_.run = order.run;
    }
    executor_answer answer;
    answer.verdict = verdict->second;
    boost::asio::post(context_, [callback = std::move(callback), answer] {
      callback(answer);
    });
  }
  void Stop(const order_context& /*context*/,
            const task_name& /*task*/,
            std::uint64_t /*run*/,
            executor_callback<executor_answer> callback) override {
    ++script_.stops;
    stopped_ = true;
    callback(executor_answer());
  }
  void SetPace(const order_context& /*context*/,
               const worker_order& /*order*/,
               executor_callback<executor_answer> callback) override {
    callback(Fail(error_code::kUnknown, "no answer"));
  }
  void RenewLeases(const order_context& context,
                   millis /*lease_end*/,
                   std::uint64_t recorded_end,
                   millis /*wait*/,
                   executor_callback<executor_run_list> callback) override {
    script_.highest_recorded = std::max(script_.highest_recorded, recorded_end);
    ++script_.lists;
    if (context.boot.id != "executor") {
      executor_run_list refused;
      refused.verdict = executor_verdict::kOtherBoot;
      boost::asio::post(context_, [callback = std::move(callback), refused] {
        callback(refused);
      });
      return;
    }
    boost::asio::post(context_, [this, callback = std::move(callback)] {
      if (script_.listings == 0) {
        callback(Fail(error_code::kUnknown, "no answer"));
        return;
      }
      --script_.listings;
      executor_run_list listing;
      listing.clock = 100'000 + BootNow();
      listing.started_ms = script_.started_ms;
      listing.ended = script_.ends;
      listing.unreadable_runs = script_.unreadable_runs;
      listing.first_unreadable_end = script_.first_unreadable_end;
      listing.unreadable_ends = script_.first_unreadable_end != 0 ? 1 : 0;
      if (run_.run != 0 &&
          (stopped_ ? script_.lists_after_stop-- > 0 : script_.lists_start)) {
        listing.running.push_back(run_);
      }
      callback(listing);
    });
  }

 private:
  executor_script& script_;
  boost::asio::io_context& context_;
  run_status run_;
  bool stopped_ = false;
};

class one_executor_adapter : public platform_adapter {
 public:
  explicit one_executor_adapter(executor_script& script) : script_(script) {}

  std::unique_ptr<coordination_store> MakeStore(
      boost::asio::io_context& context,
      const endpoint& /*peer*/) const override {
    return std::make_unique<store_in_memory>(context);
  }
  std::unique_ptr<task_executor> MakeExecutor(
      boost::asio::io_context& context,
      const endpoint& /*peer*/) const override {
    return std::make_unique<mute_executor>(context, script_);
  }
  std::string ConfigKey() const override { return "config"; }
  result<deployed_config> DecodeConfig(
      const std::string& /*text*/) const override {
    return deployed_config();
  }
  job_call DecodeCall(const http_request& /*request*/) const override {
    return {};
  }
  result<job_spec> DecodeJob(const std::string& /*body*/) const override {
    return job_spec();
  }
  http_response EncodeAnswer(const job_answer& /*answer*/) const override {
    return {};
  }
  bool IsReadinessCall(const http_request& /*request*/) const override {
    return false;
  }
  result<announcement> DecodeAnnouncement(
      const http_request& request) const override {
    BOOST_TEST(request.body == kAnnouncementBody);
    ++script_.announcements;
    announcement said;
    said.worker.boot = {"executor", script_.started_ms};
    said.worker.service = "cutting";
    said.worker.capacity = {4'000, 8'000, 0};
    said.address = {"127.0.0.1", 1};
    said.sequence = 1;
    if (script_.distort) {
      script_.distort(said);
    }
    return said;
  }

 private:
  executor_script& script_;
};

// An owner that grants, and tells the test of each call.
class granting_owner : public wire::job_owner_service::CallbackService {
 public:
  using heard_function = std::function<void(const wire::agent_sync& sync)>;

  granting_owner(boost::asio::io_context& context, heard_function heard)
      : context_(context), heard_(std::move(heard)) {}

  grpc::ServerUnaryReactor* Sync(grpc::CallbackServerContext* context,
                                 const wire::agent_sync* request,
                                 wire::agent_orders* reply) override {
    reply->set_is_owner(true);
    reply->set_epoch(epoch);
    reply->set_grant_ms(request->obeys() ? 2'600 : 0);
    reply->set_recorded_end(acknowledged_end);
    const bool starts_now =
        starts_task_early || (starts_task && request->obeys());
    if (starts_now && request->acked_order() == 0) {
      worker_order order;
      order.boot = {"executor", 5};
      order.task = {"job", 0, 0, 0};
      order.run = 7;
      order.was_tried = says_tried;
      *reply->add_orders() = ToWire(1, order);
    }
    if (starts_second_task && request->acked_order() <= 1) {
      worker_order order;
      order.boot = {"executor", 5};
      order.task = {"job", 0, 0, 1};
      order.run = 8;
      *reply->add_orders() = ToWire(2, order);
    }
    auto* reactor = context->DefaultReactor();
    {
      const std::lock_guard<std::mutex> lock(held_mutex_);
      if (holds && holds(*request)) {
        held_.push_back({*request, reply, reactor});
        return reactor;
      }
    }
    if (repeats_start && request->acked_order() == 1) {
      worker_order order;
      order.boot = {"executor", 5};
      order.task = {"job", 0, 0, 0};
      order.run = 7;
      *reply->add_orders() = ToWire(2, order);
    }
    boost::asio::post(context_, [this, sync = *request] { heard_(sync); });
    if (holds_one_reply && request->obeys() && request->wait()) {
      holds_one_reply = false;
      held_reply = reply;
      held_reactor = reactor;
    } else {
      reactor->Finish(grpc::Status::OK);
    }
    return reactor;
  }

  // Sends the reply that was held, with an end that is recorded.
  void ReleaseReply(std::uint64_t recorded_end) {
    held_reply.load()->set_recorded_end(recorded_end);
    held_reactor.load()->Finish(grpc::Status::OK);
  }

  // Tells which calls are held until Answer() or Break(). It is called by
  // gRPC's threads, one at a time.
  std::function<bool(const wire::agent_sync& sync)> holds;

  std::size_t HeldCalls() {
    const std::lock_guard<std::mutex> lock(held_mutex_);
    return held_.size();
  }

  bool IsWaiting(std::size_t index) { return Held(index).sync.wait(); }

  void Answer(std::size_t index) {
    const held_sync held = Held(index);
    boost::asio::post(context_, [this, sync = held.sync] { heard_(sync); });
    held.reactor->Finish(grpc::Status::OK);
  }

  // Answers with an order to start a second task.
  void AnswerWithStart(std::size_t index) {
    worker_order order;
    order.boot = {"executor", 5};
    order.task = {"job", 0, 0, 1};
    order.run = 8;
    *Held(index).reply->add_orders() = ToWire(2, order);
    Answer(index);
  }

  // The call is lost on its way.
  void Break(std::size_t index) {
    Held(index).reactor->Finish(
        grpc::Status(grpc::StatusCode::UNAVAILABLE, "connection reset"));
  }

  std::atomic<bool> holds_one_reply = false;
  std::atomic<wire::agent_orders*> held_reply = nullptr;
  std::atomic<grpc::ServerUnaryReactor*> held_reactor = nullptr;

  std::atomic<bool> starts_task = false;
  std::atomic<bool> starts_second_task = false;
  std::atomic<bool> starts_task_early = false;  // Before the first report.
  std::atomic<bool> says_tried = false;         // Of the first task.
  std::atomic<bool> repeats_start = false;      // Of the first task.
  std::atomic<std::uint64_t> epoch = 1;
  std::atomic<std::uint64_t> acknowledged_end = 0;

 private:
  struct held_sync {
    wire::agent_sync sync;
    wire::agent_orders* reply = nullptr;
    grpc::ServerUnaryReactor* reactor = nullptr;
  };

  held_sync Held(std::size_t index) {
    const std::lock_guard<std::mutex> lock(held_mutex_);
    return held_.at(index);
  }

  boost::asio::io_context& context_;
  heard_function heard_;
  std::mutex held_mutex_;
  std::vector<held_sync> held_;
};

struct agent_fixture {
  boost::asio::io_context context;
  process_settings settings;
  std::optional<granting_owner> owner;
  std::unique_ptr<grpc::Server> server;
  std::optional<job_agent_process> agent;
  int calls = 0;
  int obeying = 0;      // Calls that vouch for the executor.
  int not_obeying = 0;  // Calls after the first of those that don't.
  executor_script script;
  std::optional<start_outcome> outcome;  // Of the task that was started.
  worker_report last_report;             // That vouches for the executor.
  int complete_lists = 0;
  int lists_left_at_outcome = 0;
  std::set<std::uint64_t> told_runs;  // Whose outcome has been told.
  // What calls have told of crashes, by the epoch of the call.
  std::map<std::uint64_t, std::vector<crashed_executor>> crashes;

  agent_fixture() {
    owner.emplace(context, [this](const wire::agent_sync& sync) {
      ++calls;
      obeying += sync.obeys() ? 1 : 0;
      not_obeying += !sync.obeys() && obeying > 0 ? 1 : 0;
      const worker_report report = FromWire(sync);
      if (sync.obeys()) {
        last_report = report;
        complete_lists += report.has_runs ? 1 : 0;
      }
      for (const crashed_executor& crashed : report.crashes) {
        crashes[sync.epoch()].push_back(crashed);
      }
      for (const start_result& start : report.starts) {
        told_runs.insert(start.run);
      }
      if (!outcome && !report.starts.empty()) {
        outcome = report.starts[0].outcome;
        lists_left_at_outcome = script.lists_after_stop;
      }
    });
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(),
                             &port);
    builder.RegisterService(&*owner);
    server = builder.BuildAndStart();
    settings.name = "agent";
    settings.rpc_port = static_cast<std::uint16_t>(port);
    settings.seeds = {{"127.0.0.1", 1}};
    settings.job_executor = {"127.0.0.1", 1};
    settings.announcements = {"127.0.0.1", 0};
    agent.emplace(context, settings,
                  std::make_unique<one_executor_adapter>(script));
  }

  ~agent_fixture() { server->Shutdown(); }

  void Announce() {
    BOOST_REQUIRE(agent->Start());
    AnnounceBoot();
  }

  void AnnounceBoot(unsigned expected_status = 200) {
    http_request announced;
    announced.body = kAnnouncementBody;
    agent->TakeAnnouncement(announced,
                            [expected_status](const http_response& response) {
                              BOOST_TEST(response.status == expected_status);
                            });
  }

  // An agent that never comes to a condition is found out by its calls.
  template <class condition_type>
  void RunUntil(condition_type condition) {
    constexpr int kMostCalls = 20'000;
    while (!condition() && obeying < kMostCalls) {
      context.run_one();
    }
  }

  // Gives up after some time.
  template <class condition_type>
  void RunForUntil(condition_type condition) {
    constexpr millis kLongestWait = 5'000;
    const millis until = BootNow() + kLongestWait;
    while (!condition() && BootNow() < until) {
      context.run_one_for(std::chrono::milliseconds(50));
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(job_agent, agent_fixture)

// An executor that listens no more may be gone: its agent must not go on
// vouching for what runs there, or the tasks would never start elsewhere.
BOOST_AUTO_TEST_CASE(executor_that_gives_no_lists_is_vouched_for_no_more) {
  Announce();
  RunUntil([this] { return not_obeying > 0; });
  BOOST_TEST(obeying > 0);
  BOOST_TEST(not_obeying > 0);
}

// The executor runs a task whose start it never answered: the list is answer
// enough, and the run is not taken back.
BOOST_AUTO_TEST_CASE(start_without_answer_that_is_listed_counts_as_started) {
  script.listings = 1'000'000;
  owner->starts_task = true;
  Announce();
  RunUntil([this] { return outcome.has_value(); });
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST(NameOf(*outcome) == NameOf(start_outcome::kStarted));
}

// A start is taken back, and the run that was there all the same needs some
// time to stop: the task may start elsewhere only after a list without it.
BOOST_AUTO_TEST_CASE(withdrawn_start_is_told_only_when_its_run_is_gone) {
  script.listings = 1'000'000;
  script.lists_start = false;
  script.lists_after_stop = 5;
  owner->starts_task = true;
  Announce();
  RunUntil([this] { return outcome.has_value(); });
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST(NameOf(*outcome) == NameOf(start_outcome::kWithdrawn));
  BOOST_TEST(lists_left_at_outcome <= 0);
}

// Guards against a task that runs twice (TWICE): its run, which was told to
// stop, may be the one whose row can't be read.
BOOST_AUTO_TEST_CASE(withdrawn_start_is_not_told_by_an_incomplete_list) {
  constexpr int kManyLists = 20;
  script.listings = 1'000'000;
  script.lists_start = false;
  script.unreadable_runs = 1;
  owner->starts_task = true;
  Announce();
  RunUntil([this] { return script.stops > 0; });
  const int lists_before = script.lists;
  RunUntil([&] { return script.lists > lists_before + kManyLists; });
  BOOST_TEST(!outcome.has_value());
  BOOST_TEST(complete_lists == 0);
  script.unreadable_runs = 0;
  RunUntil([this] { return outcome.has_value(); });
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST(NameOf(*outcome) == NameOf(start_outcome::kWithdrawn));
}

// Guards against an end that the executor forgets although nobody could read
// it: the owner records a later one. The call that tells the end, once it can
// be read, is the first whose reply may acknowledge it.
BOOST_AUTO_TEST_CASE(end_that_cannot_be_read_is_not_acknowledged) {
  constexpr int kManyLists = 20;
  script.listings = 1'000'000;
  for (const std::uint64_t number : {1, 3}) {
    ended_run ended;
    ended.number = number;
    ended.task = {"job", 0, 0, 0};
    ended.run = number;
    script.ends.push_back(ended);
  }
  script.first_unreadable_end = 2;
  owner->acknowledged_end = 3;
  Announce();
  RunUntil([this] { return last_report.ends.size() == 2; });
  RunUntil([this] { return script.highest_recorded > 0; });
  const int lists_before = script.lists;
  RunUntil([&] { return script.lists > lists_before + kManyLists; });
  BOOST_REQUIRE(!last_report.ends.empty());
  BOOST_TEST(last_report.ends.back().number == 3);
  BOOST_TEST(script.highest_recorded == 1);
  script.first_unreadable_end = 0;
  RunUntil([this] { return script.highest_recorded == 3; });
  BOOST_TEST(script.highest_recorded == 3);
}

// The owner's reply to a call of the former boot arrives after the executor has
// started anew, with the same id. Its ends are numbered from 1 again: none of
// them is recorded, and an executor that forgets them loses finished work.
BOOST_AUTO_TEST_CASE(
    late_reply_for_a_former_boot_records_no_end_of_the_new_one) {
  script.listings = 1'000'000;
  owner->holds_one_reply = true;
  Announce();
  RunUntil([this] { return owner->held_reactor.load() != nullptr; });
  script.started_ms = 6;
  script.lists = 0;
  ended_run ended;
  ended.number = 1;
  ended.task = {"job", 0, 0, 0};
  ended.run = 1;
  script.ends.push_back(ended);
  AnnounceBoot();
  RunUntil([this] { return script.lists > 3; });
  owner->ReleaseReply(9);
  RunUntil([this] { return script.lists > 20; });
  BOOST_TEST(script.highest_recorded == 0);
}

// The owner changes after the crash: the next one has to learn which task may
// have been the cause, or each owner starts it anew.
BOOST_AUTO_TEST_CASE(
    each_owner_is_told_once_of_the_runs_of_a_crashed_executor) {
  script.listings = 1'000'000;
  owner->starts_task = true;
  Announce();
  RunUntil([this] { return outcome.has_value(); });
  owner->starts_task = false;
  script.lists_start = false;
  script.started_ms = 6;
  AnnounceBoot();
  RunUntil([this] { return crashes.count(1) != 0; });
  const int obeying_before = obeying;
  RunUntil([&] { return obeying > obeying_before + 20; });
  owner->epoch = 2;
  RunUntil([this] { return crashes.count(2) != 0; });
  for (const auto& [epoch, told] : crashes) {
    BOOST_REQUIRE_GE(told.size(), 1);
    BOOST_TEST(told.size() <= 2);  // Two calls may be open at once.
    BOOST_TEST(told[0].boot.started_ms == 5);
    BOOST_REQUIRE_EQUAL(told[0].runs.size(), 1);
    BOOST_TEST(told[0].runs[0].run == 7);
  }
  BOOST_TEST(crashes.size() == 2);
}

// The next boot refuses a call to the former one before it is announced. That
// answer says nothing about the runs of the former boot.
BOOST_AUTO_TEST_CASE(refusal_by_the_next_boot_proves_no_run_of_the_former_one) {
  script.listings = 1'000'000;
  script.start_verdicts[0] = executor_verdict::kAccepted;
  script.start_verdicts[1] = executor_verdict::kOtherBoot;
  owner->starts_task = true;
  // No list comes after the start.
  Announce();
  RunUntil([this] {
    script.listings = outcome ? 0 : 1;
    return outcome.has_value();
  });
  const millis started = BootNow();
  RunUntil([&] { return BootNow() > started + 2 * kProvingTime; });
  outcome.reset();
  owner->starts_second_task = true;
  const millis ordered = BootNow();
  RunUntil([&] { return BootNow() > ordered + kProvingTime; });
  script.lists_start = false;
  script.listings = 1'000'000;
  script.started_ms = 6;
  AnnounceBoot();
  RunUntil([this] { return crashes.count(1) != 0; });
  BOOST_REQUIRE_EQUAL(crashes.count(1), 1);
  for (const lost_run& run : crashes.at(1)[0].runs) {
    BOOST_TEST_MESSAGE("run " << run.run << " proven " << run.proven);
    if (run.run == 7) {
      BOOST_TEST(!run.proven);
    }
  }
}

// A start at an executor that is down already can't have crashed it.
BOOST_AUTO_TEST_CASE(start_at_a_dead_executor_is_not_among_its_lost_runs) {
  script.listings = 1'000'000;
  script.refuses_connections = true;
  owner->starts_task = true;
  Announce();
  RunUntil([this] {
    script.listings = script.unsent_starts > 0 ? 0 : 1;
    return script.unsent_starts > 0;
  });
  script.lists_start = false;
  script.listings = 1'000'000;
  script.started_ms = 6;
  AnnounceBoot();
  RunUntil([this] { return crashes.count(1) != 0; });
  BOOST_REQUIRE_EQUAL(crashes.count(1), 1);
  BOOST_TEST(crashes.at(1)[0].runs.empty());
}

// A start that the executor has refused is none: its task can't be the cause.
BOOST_AUTO_TEST_CASE(refused_start_is_not_among_the_runs_of_a_crash) {
  script.listings = 1'000'000;
  script.start_verdicts[0] = executor_verdict::kNoCapacity;
  owner->starts_task = true;
  Announce();
  RunUntil([this] {
    script.listings = outcome ? 0 : 1;
    return outcome.has_value();
  });
  script.lists_start = false;
  script.listings = 1'000'000;
  script.started_ms = 6;
  AnnounceBoot();
  RunUntil([this] { return crashes.count(1) != 0; });
  BOOST_REQUIRE_EQUAL(crashes.count(1), 1);
  BOOST_TEST(crashes.at(1)[0].runs.empty());
}

// Guards against a task that runs twice (TWICE): its start was tried without an
// answer and is ordered once more. A refusal of that order says nothing of the
// first try, which the executor may still carry out.
BOOST_AUTO_TEST_CASE(start_that_is_ordered_twice_is_taken_back_when_refused) {
  script.listings = 1'000'000;
  script.lists_start = false;
  owner->starts_task = true;
  owner->repeats_start = true;
  Announce();
  RunUntil([this] { return script.starts > 0; });
  script.start_verdicts[0] = executor_verdict::kNoCapacity;
  RunUntil([this] { return outcome.has_value(); });
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST(NameOf(*outcome) == NameOf(start_outcome::kWithdrawn));
}

// Guards against tasks that never start (LOST): the agent has told a refusal
// that its owner never heard. Two calls carry the same result, and the reply to
// the second one took a later result for told.
BOOST_AUTO_TEST_CASE(refusal_is_told_until_a_call_that_carried_it_is_answered) {
  script.listings = 1'000'000;
  script.start_verdicts[0] = executor_verdict::kNoCapacity;
  script.start_verdicts[1] = executor_verdict::kUnhealthy;
  owner->starts_task = true;
  // The first call of each kind that carries the first refusal, and the first
  // that carries the second one.
  std::set<std::pair<bool, std::uint64_t>> held;
  std::atomic<bool> holds_calls = true;
  owner->holds = [&](const wire::agent_sync& sync) {
    constexpr std::uint64_t kSecondRun = 8;
    if (!holds_calls || sync.starts().empty()) {
      return false;
    }
    const std::uint64_t last = sync.starts(sync.starts_size() - 1).run();
    const bool is_wanted = last != kSecondRun || !sync.wait();
    return is_wanted && held.emplace(sync.wait(), last).second;
  };
  Announce();
  RunUntil([this] { return owner->HeldCalls() == 2; });
  BOOST_REQUIRE_EQUAL(owner->HeldCalls(), 2);
  const std::size_t news = owner->IsWaiting(0) ? 1 : 0;
  owner->AnswerWithStart(news);
  RunUntil([this] { return owner->HeldCalls() == 3; });
  BOOST_REQUIRE_EQUAL(owner->HeldCalls(), 3);
  const int obeying_before = obeying;
  owner->Answer(1 - news);
  RunUntil([&] { return obeying > obeying_before; });
  owner->Break(2);
  holds_calls = false;
  constexpr int kManyCalls = 300;
  RunUntil([&] {
    return told_runs.count(8) != 0 || obeying > obeying_before + kManyCalls;
  });
  BOOST_TEST(told_runs.count(7) == 1);
  BOOST_TEST(told_runs.count(8) == 1);
}

// Guards against a task that runs twice (TWICE): the owner has heard of a
// refusal and may have started the task elsewhere, when the reply to an earlier
// call orders the same start again. Replies may overtake each other.
BOOST_AUTO_TEST_CASE(start_that_was_refused_is_not_tried_for_a_late_order) {
  script.listings = 1'000'000;
  script.start_verdicts[0] = executor_verdict::kNoCapacity;
  owner->starts_task = true;
  Announce();
  RunUntil([this] { return outcome.has_value(); });
  const int obeying_before = obeying;
  RunUntil([&] { return obeying > obeying_before + 10; });
  BOOST_REQUIRE_EQUAL(script.starts, 1);
  owner->repeats_start = true;
  const int obeying_at_order = obeying;
  RunUntil([&] { return obeying > obeying_at_order + 10; });
  BOOST_TEST(script.starts == 1);
}

// Guards against tasks that never start (LOST): a new process of the agent that
// has not heard of its executor yet was given the order, and dropped it as one
// for another boot.
BOOST_AUTO_TEST_CASE(order_is_not_taken_before_the_executor_is_known) {
  script.listings = 1'000'000;
  script.start_verdicts[0] = executor_verdict::kAccepted;
  owner->starts_task_early = true;
  BOOST_REQUIRE(agent->Start());
  constexpr int kSomeCalls = 5;
  RunUntil([this] { return calls > kSomeCalls; });
  AnnounceBoot();
  constexpr int kManyCalls = 300;
  RunUntil([this] { return outcome || obeying > kManyCalls; });
  BOOST_TEST(outcome.has_value());
}

std::atomic<bool> says_tried = false;     // Of the first task.
std::atomic<bool> repeats_start = false;  // Of the first task.
// Guards against an agent that follows its executor no more: one announcement
// by another writer, with a number too large, made all true ones look outdated.
BOOST_AUTO_TEST_CASE(announcement_with_numbers_out_of_range_is_passed_over) {
  constexpr auto kLargest = std::numeric_limits<std::int64_t>::max();
  script.listings = 1'000'000;
  Announce();
  RunUntil([this] { return obeying > 0; });
  const std::function<void(announcement&)> distortions[] = {
      [](announcement& said) { said.worker.boot.started_ms = kLargest; },
      [](announcement& said) {
        said.sequence = std::numeric_limits<std::uint64_t>::max();
      },
      [](announcement& said) {
        said.worker.capacity.milli_processors = kLargest;
      },
      [](announcement& said) { said.worker.capacity.memory_mb = -1; },
  };
  for (const auto& distort : distortions) {
    script.distort = distort;
    AnnounceBoot(400);
  }
  script.distort = [](announcement& said) {
    said.sequence = 2;
    said.worker.draining = true;
  };
  AnnounceBoot();
  constexpr millis kLongestWait = 5'000;
  const millis until = BootNow() + kLongestWait;
  while (!last_report.worker.draining && BootNow() < until) {
    context.run_one_for(std::chrono::milliseconds(50));
  }
  BOOST_TEST(last_report.worker.draining);
  BOOST_TEST(last_report.worker.boot.started_ms == 5);
  BOOST_TEST(last_report.worker.capacity.milli_processors == 4'000);
  BOOST_TEST(last_report.worker.capacity.memory_mb == 8'000);
}

// Guards against an agent that follows its executor no more: another writer has
// announced a boot that never was, a little ahead of the clock.
BOOST_AUTO_TEST_CASE(boot_that_the_executor_denies_displaces_none) {
  script.listings = 1'000'000;
  Announce();
  RunUntil([this] { return obeying > 0; });
  const std::int64_t ahead = static_cast<std::int64_t>(WallNow()) + 30'000;
  script.distort = [=](announcement& said) {
    said.worker.boot.started_ms = ahead;
  };
  AnnounceBoot();
  const int lists_before = script.lists;
  RunForUntil([&] { return script.lists > lists_before + 5; });
  script.distort = [=](announcement& said) {
    said.worker.boot = {"impostor", ahead};
  };
  AnnounceBoot();
  RunForUntil([&] { return script.lists > lists_before + 10; });
  script.distort = [](announcement& said) {
    said.sequence = 2;
    said.worker.draining = true;
  };
  AnnounceBoot();
  RunForUntil([this] { return last_report.worker.draining; });
  BOOST_TEST(last_report.worker.draining);
  BOOST_TEST(last_report.worker.boot.started_ms == 5);
  BOOST_TEST(crashes.empty());
}

// Guards against an agent that never follows its executor: the announcement of
// a boot that never was came first, with a later time.
BOOST_AUTO_TEST_CASE(boot_that_the_executor_names_is_taken_with_a_lower_time) {
  script.listings = 1'000'000;
  script.distort = [](announcement& said) {
    said.worker.boot.started_ms = static_cast<std::int64_t>(WallNow()) + 30'000;
  };
  Announce();
  RunForUntil([this] { return script.lists > 2; });
  BOOST_TEST(obeying == 0);
  script.distort = nullptr;
  AnnounceBoot();
  RunForUntil([this] { return obeying > 5; });
  BOOST_TEST(obeying > 5);
  BOOST_TEST(last_report.worker.boot.started_ms == 5);
  BOOST_TEST(crashes.empty());
}

BOOST_AUTO_TEST_CASE(delayed_announcement_of_a_former_boot_is_passed_over) {
  script.listings = 1'000'000;
  Announce();
  RunUntil([this] { return obeying > 0; });
  script.started_ms = 6;
  AnnounceBoot();
  RunForUntil([this] { return last_report.worker.boot.started_ms == 6; });
  script.distort = [](announcement& said) {
    said.worker.boot.started_ms = 5;
    said.sequence = 9;
  };
  AnnounceBoot();
  const int obeying_before = obeying;
  RunForUntil([&] { return obeying > obeying_before + 5; });
  BOOST_TEST(last_report.worker.boot.started_ms == 6);
  BOOST_TEST(crashes.size() == 1);
  for (const auto& [epoch, told] : crashes) {
    for (const crashed_executor& crashed : told) {
      BOOST_TEST(crashed.boot.started_ms == 5);
    }
  }
}

// Guards against an executor that sees its connection close: SIGTERM comes
// while an announcement that was read whole is being answered.
BOOST_AUTO_TEST_CASE(announcement_is_answered_before_the_agent_ends) {
  using boost::asio::ip::tcp;
  boost::asio::io_context client_context;
  {
    tcp::acceptor probe(client_context,
                        {boost::asio::ip::address_v4::loopback(), 0});
    settings.announcements = {"127.0.0.1", probe.local_endpoint().port()};
  }
  agent.emplace(context, settings,
                std::make_unique<one_executor_adapter>(script));
  BOOST_REQUIRE(agent->Start());
  tcp::socket client(client_context);
  client.connect(
      {boost::asio::ip::address_v4::loopback(), settings.announcements.port});
  boost::asio::write(
      client, boost::asio::buffer(
                  std::string("PUT /instances/executor HTTP/1.1\r\nHost: h\r\n"
                              "Content-Length: 5\r\n\r\nready")));
  while (script.announcements == 0) {
    context.run_one();
  }
  bool ended = false;
  agent->Stop([&] {
    ended = true;
    context.stop();
  });
  context.run_for(std::chrono::seconds(2));
  BOOST_TEST(ended);
  BOOST_TEST(client.available() > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
