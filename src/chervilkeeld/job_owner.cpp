#include "job_owner.h"

#include <algorithm>

#include <boost/json.hpp>

#include "chervilkeel/event_log.h"
#include "job_keys.h"
#include "job_wire.h"

namespace chervilkeel {

namespace {

constexpr const char* kPart = "owner";
// Delay before a new owner first writes the interference model, which needs
// some measurements first.
constexpr millis kFirstPressureWriteDelay = 3'000;
constexpr millis kTick = 50;  // Interval of steps that handle timeouts.

// Reports and requests that arrive within this time share one scheduling step,
// since a step examines all workers. It is short compared with a task, which
// takes at least some 300 ms.
constexpr millis kStepBatchingDelay = 4;

// The pause after a scheduling step, as a multiple of the step's duration. It
// limits the share of time spent in steps, so that a slow VM still answers
// calls.
constexpr millis kStepPauseFactor = 2;

// An agent's call is held this long when there is no order for it; the agent
// then calls again with its list of runs. That is frequent enough to adjust the
// pace of batch tasks to the tail latency of services. The time grows with the
// number of agents, so that the call rate stays within what the owner's VM can
// answer.
constexpr millis kMinHoldTime = 250;
constexpr millis kHoldTimePerAgent = 4;
constexpr millis kMaxHoldTime = 600;

constexpr millis kReportInterval = 1'000;  // Of what operators are told.

}  // namespace

job_owner::job_owner(boost::asio::io_context& context,
                     store_link& store,
                     process_metrics& metrics,
                     const process_settings& settings,
                     grant_basis_function grant_basis_now,
                     deposed_function deposed)
    : store_(store),
      metrics_(metrics),
      settings_(settings),
      grant_(static_cast<millis>(
          std::min(settings.grant, settings.longest_lease))),
      grant_basis_now_(std::move(grant_basis_now)),
      deposed_(std::move(deposed)),
      tick_timer_(context),
      step_timer_(context),
      commit_timer_(context),
      retry_timer_(context),
      inbox_timer_(context) {}

void job_owner::Begin(const ownership& won) {
  ++term_;
  ownership_ = won;
  is_settling_former_grant_ = false;
  finishing_ = false;
  next_pressure_write_ = BootNow() + kFirstPressureWriteDelay;
  finished_ = nullptr;
  if (won.uninterrupted && scheduler_ != nullptr) {
    RecoverCommit();
    return;
  }
  scheduler_.reset();
  early_cancellations_.clear();
  recovered_ = recovered_state();
  recovery_began_ = BootNow();
  RecoverProgress("");
}

void job_owner::End() {
  ++term_;
  active_ = false;
  tick_timer_.cancel();
  step_timer_.cancel();
  step_scheduled_ = false;
  commit_timer_.cancel();
  retry_timer_.cancel();
  inbox_timer_.cancel();
  if (changes_ && scheduler_ != nullptr) {
    scheduler_->CommitFailed(*changes_);
  }
  changes_.reset();
  for (auto& [agent, waiting] : waiting_) {
    waiting.call.Finish();
  }
  waiting_.clear();
}

void job_owner::Finish(std::function<void()> done) {
  if (!active_) {
    done();
    return;
  }
  finishing_ = true;
  finished_ = std::move(done);
  Commit();
}

void job_owner::SetConfig(const scheduling_config& config) {
  config_ = config;
  if (scheduler_ != nullptr) {
    scheduler_->SetConfig(config);
  }
}

void job_owner::ScheduleTick() {
  tick_timer_.expires_after(std::chrono::milliseconds(kTick));
  tick_timer_.async_wait(
      [this, term = term_](boost::system::error_code failure) {
        if (failure || term != term_ || !active_) {
          return;
        }
        Step();
        StorePressureModel();
        SettleFormerGrant();
        ExpireEarlyCancellations();
        ReportState();
        ScheduleTick();
      });
}

// Runs one scheduling step, commits its changes and answers the agents that
// have new orders.
void job_owner::Step() {
  const millis began = BootNow();
  scheduler_->SetHasLease(grant_basis_now_() == grant_basis::kLease);
  scheduler_->Tick(began, static_cast<std::int64_t>(WallNow()));
  Commit();
  AnswerWaitingAgents();
  const millis ended = BootNow();
  next_step_ = ended + kStepPauseFactor * (ended - began);
}

void job_owner::ReportState() {
  const millis now = BootNow();
  if (now < next_state_report_) {
    return;
  }
  next_state_report_ = now + kReportInterval;
  ReportSharing();
  ReportEvacuations(now);
  ReportOverdueOrders(now);
  ReportIdleJob(now);
}

std::map<std::string, std::uint64_t> job_owner::RunsInEvacuatedDataCentres()
    const {
  std::map<std::string, std::uint64_t> runs;
  if (evacuations_ == nullptr || !active_) {
    return runs;
  }
  for (const auto& [data_centre, since] : evacuations_->Since()) {
    runs[data_centre] = 0;
  }
  for (const auto& [agent, worker] : scheduler_->Workers()) {
    const auto found = runs.find(worker.description.data_centre);
    if (found != runs.end()) {
      found->second += worker.tasks.size();
    }
  }
  return runs;
}

void job_owner::ReportEvacuations(millis now) {
  for (const auto& [data_centre, count] : RunsInEvacuatedDataCentres()) {
    LogEvent(kPart, "evacuating",
             {{"id", data_centre},
              {"since_ms", now - evacuations_->Since().at(data_centre)},
              {"revision", evacuations_->List().revision},
              {"runs", count}},
             true);
  }
}

void job_owner::ReportOverdueOrders(millis now) {
  const overdue_orders overdue = scheduler_->FindOverdueOrders(now);
  metrics_.SetValue("overdue_starts", static_cast<double>(overdue.starts));
  metrics_.SetValue("overdue_stops", static_cast<double>(overdue.stops));
  if (overdue.starts + overdue.stops == 0) {
    return;
  }
  LogEvent(kPart, "orders_overdue",
           {{"id", overdue.oldest.ToString()},
            {"worker", overdue.worker},
            {"age_ms", overdue.oldest_age},
            {"starts", overdue.starts},
            {"stops", overdue.stops},
            {"epoch", ownership_.epoch}},
           true);
}

void job_owner::ReportIdleJob(millis now) {
  const auto idle = scheduler_->FindIdleJob(now);
  metrics_.SetValue("idle_job_ms",
                    idle ? static_cast<double>(idle->waited) : 0.0);
  if (!idle) {
    return;
  }
  std::string obstacles;
  for (const auto& [obstacle, workers] : idle->obstacles) {
    obstacles += (obstacles.empty() ? "" : ",") +
                 std::string(NameOf(obstacle)) + ":" + std::to_string(workers);
  }
  LogEvent(kPart, "job_idle",
           {{"id", idle->task.ToString()},
            {"waited_ms", idle->waited},
            {"suspect", idle->is_suspect},
            {"awaits_former_workers", idle->awaits_former_workers},
            {"restart_in_ms", idle->restart_in},
            {"startable_workers", idle->startable_workers},
            {"obstacles", obstacles}},
           true);
}

void job_owner::ReportSharing() {
  const sharing_summary summary = scheduler_->SummarizeSharing();
  LogEvent(kPart, "sharing",
           {{"id", "all workers"},
            {"workers", summary.workers},
            {"without_services", summary.workers_without_services},
            {"service_images", summary.service_images_per_worker},
            {"service_milli", summary.service_milli_processors},
            {"filler_runs", summary.best_effort_runs},
            {"filler_milli", summary.best_effort_milli_processors},
            {"pace_percent", summary.mean_pace_percent},
            {"waiting_tasks", summary.waiting_tasks},
            {"reserved_workers", summary.reserved_workers},
            {"duration_error", summary.mean_duration_error}},
           true);
  metrics_.SetValue("service_images_per_worker",
                    summary.service_images_per_worker);
  metrics_.SetValue("workers_without_services",
                    static_cast<double>(summary.workers_without_services));
  metrics_.SetValue("best_effort_pace_percent", summary.mean_pace_percent);
  metrics_.SetValue("waiting_tasks",
                    static_cast<double>(summary.waiting_tasks));
  const move_counts moves = scheduler_->TakeMoveCounts();
  metrics_.CountEvent("moves_made", static_cast<double>(moves.made));
  metrics_.CountEvent("moves_declined", static_cast<double>(moves.declined));
  metrics_.SetValue("reserved_workers",
                    static_cast<double>(summary.reserved_workers));
  metrics_.SetValue("mean_duration_error", summary.mean_duration_error);
}

// Schedules one call of Step() for all events that arrive before it.
void job_owner::ScheduleStep() {
  if (step_scheduled_) {
    return;
  }
  step_scheduled_ = true;
  const millis delay = std::max(kStepBatchingDelay, next_step_ - BootNow());
  step_timer_.expires_after(std::chrono::milliseconds(delay));
  step_timer_.async_wait(
      [this, term = term_](boost::system::error_code failure) {
        if (failure || term != term_) {
          return;
        }
        step_scheduled_ = false;
        if (active_) {
          Step();
        }
      });
}

void job_owner::FillReply(const std::string& agent,
                          const waiting_sync& waiting,
                          wire::agent_orders& reply) {
  reply.set_is_owner(true);
  reply.set_epoch(ownership_.epoch);
  if (evacuations_ != nullptr && evacuations_->IsKnown()) {
    *reply.mutable_evacuated() = ToWire(evacuations_->List());
  }
  for (const std::string& entry : entries_) {
    reply.add_entries(entry);
  }
  if (!MayGrant()) {
    // Another entry may own the jobs by now; the agent has to find it.
    reply.set_is_owner(false);
    reply.clear_owner_address();
    return;
  }
  if (!scheduler_->IsMember(agent)) {
    return;
  }
  // Without a report of the agent's runs the owner can't tell whether they are
  // still alive, so it issues no grant.
  reply.set_grant_ms(waiting.obeys && scheduler_->MayGrant(agent) ? grant_ : 0);
  reply.set_recorded_end(scheduler_->RecordedEnd(agent));
  for (const auto& [number, order] :
       scheduler_->OrdersFor(agent, waiting.acked)) {
    *reply.add_orders() = ToWire(number, order);
  }
  const auto worker = scheduler_->Workers().find(agent);
  reply.set_wants_runs(worker != scheduler_->Workers().end() &&
                       !worker->second.runs_known);
}

void job_owner::Answer(const std::string& agent, waiting_sync& waiting) {
  FillReply(agent, waiting, *waiting.call.reply);
  waiting.call.Finish();
}

void job_owner::AnnounceEvacuations() {
  if (!active_) {
    return;
  }
  for (auto& [agent, waiting] : waiting_) {
    waiting.until = 0;
  }
  ScheduleStep();
}

void job_owner::AnswerWaitingAgents() {
  for (const std::string& agent : scheduler_->TakeAgentsToNotify()) {
    const auto waiting = waiting_.find(agent);
    if (waiting != waiting_.end()) {
      Answer(agent, waiting->second);
      waiting_.erase(waiting);
    }
  }
  const millis now = BootNow();
  for (auto entry = waiting_.begin(); entry != waiting_.end();) {
    if (now >= entry->second.until) {
      Answer(entry->first, entry->second);
      entry = waiting_.erase(entry);
    } else {
      ++entry;
    }
  }
}

void job_owner::OnSync(const sync_call& call) {
  const wire::agent_sync& sync = *call.request;
  if (!active_) {
    call.Finish();
    return;
  }
  metrics_.CountEvent("agent_reports");
  const millis now = BootNow();
  if (scheduler_->NoteCall(sync.agent(), CallOf(sync), now) ==
      call_order::kOfFormerProcess) {
    LogEvent(kPart, "call_of_former_process",
             {{"worker", sync.agent()}, {"incarnation", sync.incarnation()}});
    call.Finish();
    return;
  }
  if (sync.has_gone()) {
    scheduler_->OnExecutorLeft(sync.agent(), FromWire(sync.gone()), now);
  }
  const bool obeys = sync.obeys() && sync.epoch() == ownership_.epoch;
  if (obeys) {
    const worker_report report = FromWire(sync);
    if (report.unreadable_rows != 0) {
      metrics_.CountEvent("report_rows_unreadable",
                          static_cast<double>(report.unreadable_rows));
      LogEvent(kPart, "report_rows_unreadable",
               {{"worker", sync.agent()}, {"rows", report.unreadable_rows}});
    }
    scheduler_->SetHasLease(grant_basis_now_() == grant_basis::kLease);
    scheduler_->OnReport(report, now);
  }
  const auto former = waiting_.find(sync.agent());
  if (former != waiting_.end() && sync.wait()) {
    former->second.call.Finish();
    waiting_.erase(former);
  }
  const millis hold = std::clamp(
      kHoldTimePerAgent * static_cast<millis>(scheduler_->Workers().size()),
      kMinHoldTime, kMaxHoldTime);
  // Each owner numbers its orders from 1.
  const std::uint64_t acked =
      sync.epoch() == ownership_.epoch ? sync.acked_order() : 0;
  waiting_sync waiting{call, now + hold, acked, obeys};
  const bool has_orders = scheduler_->HasOrdersFor(sync.agent(), acked);
  // An agent that doesn't know the current epoch is answered immediately.
  if (sync.wait() && sync.epoch() == ownership_.epoch && !has_orders) {
    waiting_[sync.agent()] = waiting;
  } else {
    Answer(sync.agent(), waiting);
  }
  ScheduleStep();
}

bool job_owner::HearsMostAgents() const {
  return scheduler_ != nullptr && scheduler_->HearsMostMembers(BootNow());
}

void job_owner::OnAsk(const ask_call& call) {
  AnswerQuestion(*call.request, *call.reply);
  call.Finish();
}

void job_owner::AnswerQuestion(const wire::job_question& question,
                               wire::job_reply& reply) {
  if (!active_) {
    return;
  }
  reply.set_is_owner(true);
  const millis now = BootNow();
  switch (question.kind()) {
    case wire::job_question::added: {
      const auto record = DecodeJobRecord(question.record());
      if (record) {
        AddJob(record.value(), now);
        reply.set_is_known(true);
        ScheduleStep();
      } else {
        LogEvent(kPart, "job_unreadable",
                 {{"id", question.id()}, {"error", ToString(record.error())}});
      }
      break;
    }
    case wire::job_question::cancelled:
      reply.set_is_known(CancelJob(question.id(), "entry"));
      ScheduleStep();
      break;
    case wire::job_question::pending:
      reply.set_is_known(true);
      reply.set_count(scheduler_->PendingJobCount(question.id()));
      break;
    case wire::job_question::admission:
      reply.set_is_known(true);
      reply.set_backlog_seconds(scheduler_->BacklogSeconds(question.id()));
      break;
    default: {
      const auto state = scheduler_->StateOf(question.id());
      reply.set_is_known(state.has_value());
      reply.set_state(
          static_cast<std::uint32_t>(state.value_or(job_state::kQueued)));
      break;
    }
  }
}

std::string job_owner::Dump() const {
  if (scheduler_ == nullptr) {
    return "{}";
  }
  boost::json::array workers;
  for (const auto& [agent, worker] : scheduler_->Workers()) {
    workers.push_back(boost::json::object{
        {"agent", agent},
        {"executor", worker.description.boot.id},
        {"known", worker.runs_known},
        {"draining", worker.description.draining},
        {"data_centre", worker.description.data_centre},
        {"suspect", worker.health.IsSuspect()},
        {"used_milli_processors", worker.used.milli_processors},
        {"filler_milli_processors", worker.best_effort_milli_processors},
        {"tasks", worker.tasks.size()},
        {"granted_for_ms", worker.granted_until - BootNow()}});
  }
  boost::json::array jobs;
  for (const auto& [id, job] : scheduler_->Jobs()) {
    jobs.push_back(boost::json::object{{"id", id},
                                       {"queue", job.record.queue.name},
                                       {"state", NameOf(job.state)},
                                       {"done_tasks", job.done_tasks},
                                       {"begun_runs", job.begun_runs},
                                       {"end_is_stored", job.end_is_durable}});
  }
  return boost::json::serialize(boost::json::object{
      {"workers", std::move(workers)}, {"jobs", std::move(jobs)}});
}

}  // namespace chervilkeel
