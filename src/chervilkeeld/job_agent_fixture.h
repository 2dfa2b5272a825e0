// What the tests of the agent share: a scripted executor and an owner.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>

#include <grpcpp/grpcpp.h>
#include <boost/test/unit_test.hpp>

#include "chervilkeel/platform_adapter.h"
#include "job_agent_process.h"
#include "job_wire.h"
#include "store_in_memory.h"
#include "wire/jobs.grpc.pb.h"

namespace chervilkeel {

inline constexpr const char* kAnnouncementBody = "ready";

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
  millis start_delay = 0;    // Of starts that are not answered.
  bool holds_start = false;  // The next one is answered by the test.
  std::function<void()> answer_start;
  bool holds_list = false;  // The next one is sent by the test.
  std::function<void()> answer_list;
  int unanswered_stops = 0;  // Before the first that is accepted.
  int starts = 0;            // Calls that the executor has read.
  int stops = 0;
  int announcements = 0;  // Read by the agent.
  bool is_down = false;   // Connections are refused.
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
      GiveNoAnswer(std::move(callback));
      return;
    }
    if (verdict->second == executor_verdict::kAccepted) {
      run_.task = order.task;
      run_.run = order.run;
    }
    executor_answer answer;
    answer.verdict = verdict->second;
    if (std::exchange(script_.holds_start, false)) {
      script_.answer_start = [callback = std::move(callback), answer] {
        callback(answer);
      };
      return;
    }
    boost::asio::post(context_, [callback = std::move(callback), answer] {
      callback(answer);
    });
  }
  void Stop(const order_context& /*context*/,
            const task_name& /*task*/,
            std::uint64_t /*run*/,
            executor_callback<executor_answer> callback) override {
    ++script_.stops;
    if (script_.unanswered_stops > 0) {
      --script_.unanswered_stops;
      callback(Fail(error_code::kUnknown, "no answer"));
      return;
    }
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
    if (script_.is_down) {
      boost::asio::post(context_, [callback = std::move(callback)] {
        callback(Fail(error_code::kUnavailable, "connection refused"));
      });
      return;
    }
    if (context.boot.id != "executor") {
      executor_run_list refused;
      refused.verdict = executor_verdict::kOtherBoot;
      boost::asio::post(context_, [callback = std::move(callback), refused] {
        callback(refused);
      });
      return;
    }
    auto answer = [this, callback = std::move(callback)] {
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
    };
    if (std::exchange(script_.holds_list, false)) {
      script_.answer_list = std::move(answer);
    } else {
      boost::asio::post(context_, std::move(answer));
    }
  }

 private:
  void GiveNoAnswer(executor_callback<executor_answer> callback) {
    if (script_.start_delay == 0) {
      callback(Fail(error_code::kUnknown, "no answer"));
      return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(context_);
    timer->expires_after(std::chrono::milliseconds(script_.start_delay));
    timer->async_wait([timer, callback = std::move(callback)](
                          boost::system::error_code /*failure*/) {
      callback(Fail(error_code::kUnknown, "no answer"));
    });
  }

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
  std::string EvacuationPrefix() const override { return "evacuations/"; }
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
    if (evacuation_revision > 0) {
      reply->mutable_evacuated()->set_revision(evacuation_revision);
      if (evacuates) {
        reply->mutable_evacuated()->add_data_centres("north");
      }
    }
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
      order.boot = {"executor", second_task_boot};
      order.task = {"job", 0, 0, 1};
      order.run = 8;
      *reply->add_orders() = ToWire(2, order);
    }
    if ((stops_task && request->acked_order() <= 1) ||
        (stops_task_at_once && starts_now && request->acked_order() == 0)) {
      worker_order order;
      order.kind = order_kind::kStop;
      order.boot = {"executor", 5};
      order.task = {"job", 0, 0, 0};
      order.run = 7;
      *reply->add_orders() = ToWire(2, order);
    }
    auto* reactor = context->DefaultReactor();
    {
      const std::lock_guard<std::mutex> lock(held_mutex_);
      if ((is_silent && request->obeys()) || (holds && holds(*request))) {
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
    Finish(index, grpc::Status::OK);
  }

  // Answers the calls that are still held.
  void AnswerAll() {
    for (std::size_t index = 0; index < HeldCalls(); ++index) {
      Finish(index, grpc::Status::OK);
    }
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
    Finish(index,
           grpc::Status(grpc::StatusCode::UNAVAILABLE, "connection reset"));
  }

  std::atomic<bool> holds_one_reply = false;
  std::atomic<wire::agent_orders*> held_reply = nullptr;
  std::atomic<grpc::ServerUnaryReactor*> held_reactor = nullptr;

  std::atomic<bool> is_silent = false;  // Holds the calls that report runs.
  std::atomic<bool> starts_task = false;
  std::atomic<bool> starts_second_task = false;
  std::atomic<std::int64_t> second_task_boot = 5;
  std::atomic<bool> starts_task_early = false;  // Before the first report.
  std::atomic<bool> says_tried = false;         // Of the first task.
  std::atomic<bool> repeats_start = false;      // Of the first task.
  std::atomic<bool> stops_task = false;  // The first, once it is started.
  std::atomic<bool> stops_task_at_once = false;  // In the reply that starts it.
  // Revision of the evacuations in replies, and whether they name the agent's
  // data centre; 0: replies tell none.
  std::atomic<std::uint64_t> evacuation_revision = 0;
  std::atomic<bool> evacuates = false;
  std::atomic<std::uint64_t> epoch = 1;
  std::atomic<std::uint64_t> acknowledged_end = 0;

 private:
  struct held_sync {
    wire::agent_sync sync;
    wire::agent_orders* reply = nullptr;
    grpc::ServerUnaryReactor* reactor = nullptr;
    bool is_finished = false;
  };

  held_sync Held(std::size_t index) {
    const std::lock_guard<std::mutex> lock(held_mutex_);
    return held_.at(index);
  }

  void Finish(std::size_t index, const grpc::Status& status) {
    const std::lock_guard<std::mutex> lock(held_mutex_);
    held_sync& held = held_.at(index);
    if (!std::exchange(held.is_finished, true)) {
      held.reactor->Finish(status);
    }
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
  int obeying = 0;  // Calls that vouch for the executor.
  std::map<std::uint64_t, int> obeying_in_epoch;
  int not_obeying = 0;  // Calls after the first of those that don't.
  executor_script script;
  std::optional<start_outcome> outcome;  // Of the task that was started.
  worker_report last_report;             // That vouches for the executor.
  int complete_lists = 0;
  int lists_left_at_outcome = 0;
  std::set<std::uint64_t> told_runs;  // Whose outcome has been told.
  std::optional<executor_boot> gone;  // Told as having left.
  // What calls have told of crashes, by the epoch of the call.
  std::map<std::uint64_t, std::vector<crashed_executor>> crashes;

  agent_fixture() {
    owner.emplace(context, [this](const wire::agent_sync& sync) {
      ++calls;
      obeying += sync.obeys() ? 1 : 0;
      not_obeying += !sync.obeys() && obeying > 0 ? 1 : 0;
      if (sync.has_gone()) {
        gone = FromWire(sync.gone());
      }
      const worker_report report = FromWire(sync);
      if (sync.obeys()) {
        last_report = report;
        ++obeying_in_epoch[sync.epoch()];
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
    settings.data_centre = "north";
    settings.rpc_port = static_cast<std::uint16_t>(port);
    settings.seeds = {{"127.0.0.1", 1}};
    settings.job_executor = {"127.0.0.1", 1};
    settings.announcements = {"127.0.0.1", 0};
    agent.emplace(context, settings,
                  std::make_unique<one_executor_adapter>(script));
  }

  ~agent_fixture() {
    owner->is_silent = false;
    owner->AnswerAll();
    server->Shutdown();
  }

  void Announce() {
    BOOST_REQUIRE(agent->Start());
    AnnounceBoot();
  }

  void AnnounceLeave() {
    script.distort = [](announcement& said) { said.leaving = true; };
    AnnounceBoot();
    script.distort = nullptr;
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

  void RunFor(millis duration) {
    const millis until = BootNow() + duration;
    while (BootNow() < until) {
      context.run_one_for(std::chrono::milliseconds(50));
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
}  // namespace chervilkeel
