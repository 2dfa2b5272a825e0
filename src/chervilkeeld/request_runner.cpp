#include "request_runner.h"

#include <algorithm>
#include <utility>

namespace chervilkeel {

namespace {

constexpr const char* kPart = "requests";
constexpr std::chrono::milliseconds kPumpInterval(10);
constexpr millis kExecutionLimit = 600'000;  // A slot is freed after it.
constexpr double kMicrosInMilli = 1000.0;

}  // namespace

admission_options request_runner::OptionsOf(const process_settings& settings) {
  admission_options options;
  options.slots = static_cast<std::uint32_t>(settings.slots);
  options.connections = static_cast<std::uint32_t>(settings.connections);
  return options;
}

request_runner::request_runner(process_core& core,
                               boost::asio::io_context& context)
    : core_(core),
      context_(context),
      timer_(context),
      executor_(std::make_shared<http_pool>(context,
                                            core.settings.executor,
                                            core.settings.connections)),
      admission_(OptionsOf(core.settings)) {
  admission_.SetGrantedSlots(0);
}

void request_runner::Start() {
  timer_.expires_after(kPumpInterval);
  timer_.async_wait([this](boost::system::error_code failure) {
    if (!failure) {
      Pump();
      Start();
    }
  });
}

void request_runner::SetGrantedSlots(std::uint32_t granted) {
  const std::lock_guard lock(mutex_);
  admission_.SetGrantedSlots(granted);
}

request_runner::request_demand request_runner::ReserveSlots(millis now) {
  const std::lock_guard lock(mutex_);
  request_demand demand;
  demand.wanted_slots = admission_.WantedSlots(now);
  demand.slots_in_use = admission_.SlotsInUse();
  demand.times = times_.Take();
  admission_.SetGrantedSlots(
      std::min(demand.wanted_slots, admission_.GrantedSlots()));
  return demand;
}

std::size_t request_runner::Inside() const {
  const std::lock_guard lock(mutex_);
  return entries_.size();
}

void request_runner::FillLoadLocked(wire::upstream_load& load) const {
  load.set_slots(static_cast<std::uint32_t>(core_.settings.slots));
  load.set_busy_slots(admission_.Busy());
  load.set_queued_short(
      static_cast<std::uint32_t>(admission_.Queued(request_class::kShort)));
  load.set_queued_long(
      static_cast<std::uint32_t>(admission_.Queued(request_class::kLong)));
  load.set_expected_wait_ms(static_cast<std::uint32_t>(
      admission_.ExpectedWaitMs(request_class::kShort)));
}

void request_runner::FillLoad(wire::upstream_load& load) const {
  const std::lock_guard lock(mutex_);
  FillLoadLocked(load);
}

grpc::ServerUnaryReactor* request_runner::Probe(
    grpc::CallbackServerContext* context,
    const wire::probe_request* /*request*/,
    wire::probe_reply* reply) {
  reply->set_incarnation(core_.incarnation);
  reply->set_draining(draining_);
  FillLoad(*reply->mutable_load());
  auto* reactor = context->DefaultReactor();
  reactor->Finish(grpc::Status::OK);
  return reactor;
}

grpc::ServerUnaryReactor* request_runner::Execute(
    grpc::CallbackServerContext* context,
    const wire::execute_request* request,
    wire::execute_reply* reply) {
  auto* reactor = context->DefaultReactor();
  reply->set_request_id(request->request_id());
  if (draining_) {
    reply->set_outcome(wire::outcome_not_run);
    reply->set_reason("the upstream is leaving");
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }
  const millis now = MonotonicNow();
  request_entry entry;
  entry.context = context;
  entry.reactor = reactor;
  entry.request = request;
  entry.reply = reply;
  entry.arrived_us = MonotonicMicros();
  entry.ticket.duration =
      request->long_service() ? request_class::kLong : request_class::kShort;
  entry.ticket.expected_ms = request->expected_ms();
  entry.ticket.deadline = now + request->deadline_ms();
  admission_answer answer;
  bool wants_step = false;
  {
    const std::lock_guard lock(mutex_);
    entry.ticket.id = next_id_++;
    entries_[entry.ticket.id] = entry;
    answer = admission_.Offer(entry.ticket, now);
    wants_step = admission_.NeedsControlStep();
  }
  if (wants_step) {
    wake_();
  }
  if (answer.verdict == admission_verdict::kRun) {
    Launch(entry.ticket.id);
  } else if (answer.verdict == admission_verdict::kRefused) {
    FinishNotRun(entry.ticket.id, answer.reason);
  }
  return reactor;
}

void request_runner::Pump() {
  admission_step step;
  {
    const std::lock_guard lock(mutex_);
    step = admission_.Advance(MonotonicNow());
  }
  for (const std::uint64_t id : step.expired) {
    FinishNotRun(id, "no slot came free before the deadline");
  }
  for (const std::uint64_t id : step.start) {
    Launch(id);
  }
}

// Hands a request that holds a slot to the executor, unless its entry has
// given it up meanwhile.
void request_runner::Launch(std::uint64_t id) {
  http_call call;
  bool given_up = false;
  {
    const std::lock_guard lock(mutex_);
    request_entry& entry = entries_.at(id);
    given_up = entry.context->IsCancelled();
    entry.started_us = MonotonicMicros();
    call.target = "/" + entry.request->service();
    call.body = entry.request->body();
    call.content_type = entry.request->content_type();
    call.headers.push_back({"X-Request-Id", entry.request->request_id()});
    if (given_up) {
      admission_.OnRequestDone(entry.ticket, 0);
    }
  }
  if (given_up) {
    FinishNotRun(id, "the entry gave the request up before it started");
    return;
  }
  executor_->Call(call, kExecutionLimit, core_.settings.body_limit,
                  [this, id](result<http_response> answer) {
                    OnExecutorAnswer(id, std::move(answer));
                  });
}

void request_runner::OnExecutorAnswer(std::uint64_t id,
                                      result<http_response> answer) {
  const std::int64_t now_us = MonotonicMicros();
  {
    const std::lock_guard lock(mutex_);
    request_entry& entry = entries_.at(id);
    const std::int64_t service_us = now_us - entry.started_us;
    const double service_ms = static_cast<double>(service_us) / kMicrosInMilli;
    admission_.OnRequestDone(entry.ticket, service_ms);
    if (answer) {
      times_.Add(entry.request->service(), service_ms);
    }
    entry.reply->set_wait_us(
        static_cast<std::uint32_t>(entry.started_us - entry.arrived_us));
    entry.reply->set_service_us(static_cast<std::uint32_t>(service_us));
    FillLoadLocked(*entry.reply->mutable_load());
  }
  const request_entry entry = Remove(id);
  wire::execute_reply& reply = *entry.reply;
  if (answer) {
    reply.set_outcome(wire::outcome_answered);
    reply.set_status(answer.value().status);
    reply.set_content_type(answer.value().content_type);
    reply.set_body(std::move(answer.value().body));
  } else {
    const bool proved = answer.error().code == error_code::kUnavailable;
    reply.set_outcome(proved ? wire::outcome_not_run : wire::outcome_unknown);
    reply.set_reason("executor " + answer.error().message);
    core_.decisions.Add(kPart, entry.request->request_id(),
                        proved ? "was not run" : "may have run",
                        reply.reason());
  }
  entry.reactor->Finish(grpc::Status::OK);
  Pump();
}

request_runner::request_entry request_runner::Remove(std::uint64_t id) {
  const std::lock_guard lock(mutex_);
  const auto found = entries_.find(id);
  request_entry entry = found->second;
  entries_.erase(found);
  return entry;
}

void request_runner::FinishNotRun(std::uint64_t id, const std::string& reason) {
  const request_entry entry = Remove(id);
  entry.reply->set_outcome(wire::outcome_not_run);
  entry.reply->set_reason(reason);
  FillLoad(*entry.reply->mutable_load());
  core_.metrics.CountEvent("requests_refused");
  core_.decisions.Add(kPart, entry.request->request_id(), "refused the request",
                      reason);
  entry.reactor->Finish(grpc::Status::OK);
}

}  // namespace chervilkeel
