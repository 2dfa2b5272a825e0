// Processes reports from workers and updates the runs on them.
#include <algorithm>

#include "chervilkeel/job_scheduler.h"

namespace chervilkeel {

namespace {

// Executors list at most 500 ends that are not acknowledged.
constexpr std::uint64_t kMaxMissedEnds = 500;

std::string RunDetail(std::uint64_t run) {
  return "run=" + std::to_string(run);
}

std::string ReportDetail(const worker_report& report) {
  return "incarnation=" + std::to_string(report.call.incarnation) +
         " number=" + std::to_string(report.call.number) +
         " sent_at_ms=" + std::to_string(report.call.sent_at) +
         " started_ms=" + std::to_string(report.worker.boot.started_ms) +
         " runs_age_ms=" + std::to_string(report.runs_age);
}

}  // namespace

void job_scheduler::ReserveResources(scheduled_worker& worker,
                                     const scheduled_job& job,
                                     const task_name& key) {
  if (!worker.tasks.insert(key).second) {
    return;
  }
  const job_step& step = job.record.spec.steps[key.step];
  amount need = step.size;
  if (step.filler) {
    worker.best_effort_milli_processors += need.milli_processors;
    need.milli_processors = 0;
  }
  if (step.service) {
    worker.service_milli_processors += need.milli_processors;
  }
  worker.used += need;
}

void job_scheduler::ReleaseResources(scheduled_worker& worker,
                                     const scheduled_job& job,
                                     const task_name& key) {
  if (worker.tasks.erase(key) == 0) {
    return;
  }
  placement_requested_ = true;
  const job_step& step = job.record.spec.steps[key.step];
  amount need = step.size;
  if (step.filler) {
    worker.best_effort_milli_processors -= need.milli_processors;
    need.milli_processors = 0;
  }
  if (step.service) {
    worker.service_milli_processors -= need.milli_processors;
  }
  worker.used -= need;
}

void job_scheduler::OnReport(const worker_report& report, millis now) {
  scheduled_worker& worker = workers_[report.agent];
  worker.agent = report.agent;
  wanted_members_.insert(report.agent);
  const call_order order = NoteCall(report.agent, report.call, now);
  const bool is_other_boot = report.worker.boot != worker.description.boot;
  const bool is_unordered = report.call.sent_at == 0;
  if (order == call_order::kOfFormerProcess ||
      (is_other_boot && order == call_order::kOvertaken) ||
      (is_unordered &&
       report.worker.boot.started_ms < worker.description.boot.started_ms)) {
    Emit("report_outdated", report.worker.boot.id, report.agent,
         ReportDetail(report));
    return;
  }
  for (const crashed_executor& crashed : report.crashes) {
    OnExecutorCrashed(worker, crashed, now);
  }
  if (report.worker.boot != worker.description.boot) {
    OnBootChanged(worker, report.worker, now);
  }
  if (report.worker.draining && !worker.description.draining) {
    Emit("worker_draining", report.worker.boot.id, report.agent,
         "remaining_ms=" + std::to_string(report.worker.remaining));
  }
  ForgetSilentRuns(worker);
  if (order == call_order::kLatest) {
    worker.description = report.worker;
  }
  worker.granted_until = now + options_.grant;
  for (const ended_run& ended : report.ends) {
    if (NoteReceivedEnd(worker, ended.number)) {
      ProcessRunEnd(worker, ended, now);
    }
  }
  for (const start_result& result : report.starts) {
    ProcessStartResult(worker, result, now);
  }
  // What ended and which orders have outcomes is known for good; the rest of an
  // overtaken report is of its time.
  if (order == call_order::kOvertaken) {
    Emit("report_overtaken", report.worker.boot.id, report.agent,
         ReportDetail(report));
    return;
  }
  if (report.has_runs || !report.runs.empty()) {
    ProcessRunList(worker, report, now);
  }
  if (report.has_runs) {
    if (std::exchange(worker.has_forgotten_orders, false)) {
      RepeatOpenStarts(worker);
    }
    placement_requested_ = placement_requested_ || !worker.runs_known;
    worker.runs_known = true;
    if (unreported_members_.erase(report.agent) != 0) {
      Emit("former_worker_reported", report.worker.boot.id, report.agent,
           ReportDetail(report) +
               " runs=" + std::to_string(report.runs.size()) +
               " ends=" + std::to_string(report.ends.size()) +
               " unreported=" + std::to_string(unreported_members_.size()));
      if (unreported_members_.empty()) {
        placement_requested_ = true;
        Emit("recovered", "all former workers", "", "");
      }
      UpdateConsent(now);
    }
  }
}

bool job_scheduler::NoteReceivedEnd(scheduled_worker& worker,
                                    std::uint64_t number) {
  if (number > worker.last_received_end) {
    const std::uint64_t first =
        std::max(worker.last_received_end + 1,
                 number - std::min(number - 1, kMaxMissedEnds));
    for (std::uint64_t missed = first; missed < number; ++missed) {
      worker.missed_ends.insert(worker.missed_ends.end(), missed);
    }
    while (worker.missed_ends.size() > kMaxMissedEnds) {
      worker.missed_ends.erase(worker.missed_ends.begin());
    }
    worker.last_received_end = number;
    return true;
  }
  if (worker.missed_ends.erase(number) == 0) {
    return false;
  }
  // It is not stored yet, though later ones may be.
  worker.recorded_end = std::min(worker.recorded_end, number - 1);
  committing_ends_.erase(worker.agent);
  return true;
}

call_order job_scheduler::NoteCall(const std::string& agent,
                                   const agent_call& call,
                                   millis now) {
  const auto found = workers_.find(agent);
  if (found == workers_.end()) {
    return call_order::kLatest;
  }
  scheduled_worker& worker = found->second;
  std::deque<std::uint64_t>& known = worker.known_incarnations;
  const bool is_present_process = worker.incarnation == call.incarnation;
  const bool is_known =
      std::find(known.begin(), known.end(), call.incarnation) != known.end();
  const bool is_earlier =
      call.sent_at < worker.last_call_sent_at ||
      (is_present_process && call.sent_at == worker.last_call_sent_at &&
       call.number < worker.last_call);
  if (is_earlier && is_known) {
    return is_present_process ? call_order::kOvertaken
                              : call_order::kOfFormerProcess;
  }
  const millis offset = now - call.sent_at;
  worker.clock_offset = is_earlier || known.empty()
                            ? offset
                            : std::min(worker.clock_offset, offset);
  worker.last_call = call.number;
  worker.last_call_sent_at = call.sent_at;
  if (!is_known) {
    known.push_back(call.incarnation);
    if (known.size() > kMaxKnownProcesses) {
      known.pop_front();
    }
  }
  const std::uint64_t former =
      std::exchange(worker.incarnation, call.incarnation);
  if (former != 0 && former != call.incarnation) {
    OnProcessChanged(worker);
  }
  if (is_earlier) {
    ForEachRun(worker, [&](task_run& run) {
      run.seen_at = call.sent_at + kClockRestartGrace;
    });
  }
  return call_order::kLatest;
}

void job_scheduler::OnProcessChanged(scheduled_worker& worker) {
  worker.has_forgotten_orders = true;
  for (auto& [number, order] : worker.orders) {
    order.was_tried = order.was_tried || order.kind == order_kind::kStart;
  }
  ForEachRun(worker, [](task_run& run) { run.was_tried = true; });
}

void job_scheduler::ForEachRun(scheduled_worker& worker,
                               const std::function<void(task_run&)>& change) {
  for (const task_name& key : worker.tasks) {
    scheduled_task* task = FindTask(key);
    if (task == nullptr) {
      continue;
    }
    for (task_run& run : task->runs) {
      if (run.agent == worker.agent) {
        change(run);
      }
    }
  }
}

void job_scheduler::OnExecutorLeft(const std::string& agent,
                                   const executor_boot& boot,
                                   millis now) {
  const auto found = workers_.find(agent);
  if (found == workers_.end() || found->second.description.boot != boot) {
    return;
  }
  ForgetSilentRuns(found->second);
  RemoveAllRuns(found->second, "executor left for good", now);
  found->second.runs_known = false;
}

void job_scheduler::OnBootChanged(scheduled_worker& worker,
                                  const executor_description& description,
                                  millis now) {
  if (!worker.description.boot.id.empty()) {
    if (!worker.description.draining) {
      crashed_executor crashed{worker.description.boot, RunsOnWorker(worker)};
      crashed.runs.insert(crashed.runs.end(), worker.silent_runs.begin(),
                          worker.silent_runs.end());
      OnExecutorCrashed(worker, crashed, now);
    }
    ForgetSilentRuns(worker);
    RemoveAllRuns(worker, "executor restarted", now);
  }
  Emit("worker_boot", description.boot.id, worker.agent,
       "started_ms=" + std::to_string(description.boot.started_ms) +
           " milli_processors=" +
           std::to_string(description.capacity.milli_processors) +
           " has_lease=" + (has_lease_ ? "true" : "false"));
  worker.came_without_lease = !has_lease_;
  worker.runs_known = false;
  worker.last_received_end = 0;
  worker.recorded_end = 0;
  worker.missed_ends.clear();
  worker.start_backoff_until = 0;
  worker.health = worker_health();
  worker.orders.clear();
}

void job_scheduler::ProcessRunList(scheduled_worker& worker,
                                   const worker_report& report,
                                   millis now) {
  // A report may have waited on its way, or while this process was paused.
  const millis sent_at = report.call.sent_at == 0
                             ? now
                             : report.call.sent_at + worker.clock_offset;
  worker.listed_at = sent_at - report.runs_age;
  std::set<task_name> listed;
  for (const run_status& status : report.runs) {
    listed.insert(status.task);
    UpdateOrAdoptRun(worker, status, report.listed_before, now);
  }
  UpdatePressureModel(worker, worker.listed_at, now);
  if (!report.has_runs) {
    return;  // A run that is missing may be there.
  }
  const std::set<task_name> tasks = worker.tasks;
  for (const task_name& key : tasks) {
    scheduled_task* task = FindTask(key);
    if (task == nullptr || listed.count(key) != 0) {
      continue;
    }
    for (task_run& run : task->runs) {
      if (run.agent == worker.agent &&
          IsOrderQueued(worker, order_kind::kStop, key, run.run)) {
        run.stop_untaken_at = now;
      }
    }
    for (const task_run& run : std::vector<task_run>(task->runs)) {
      if (run.agent == worker.agent &&
          HasVanished(key, run, worker.listed_at, report.listed_after)) {
        Emit("run_vanished", key.ToString(), worker.agent,
             RunDetail(run.run) + " stopping=" +
                 (run.phase == run_phase::kStopping ? "true" : "false"));
        RemoveRun(key, worker.agent, run.run, now);
      }
    }
  }
}

// A confirmed run that is missing from a list has ended, and the report of its
// end did not arrive. One that was told to stop may never have begun: the stop
// has overtaken the start, and executors list no end of such a run. That only
// happens to tasks that are not wanted any more; other ends are waited for, as
// they tell whether the task is done.
bool job_scheduler::HasVanished(const task_name& key,
                                const task_run& run,
                                millis listed_at,
                                millis listed_after) {
  const bool is_wanted =
      !FindTask(key)->done && !IsFinal(jobs_.at(key.job).state);
  switch (run.phase) {
    case run_phase::kOrdered:
      return false;
    case run_phase::kRunning:
      return run.active_since < listed_at - kRunListGrace &&
             run.seen_at <= listed_after;
    case run_phase::kStopping:
      return !is_wanted && std::max(run.stop_ordered_at, run.stop_untaken_at) <
                               listed_at - kStopRepeatInterval;
  }
  return false;
}

void job_scheduler::NoteProgress(scheduled_worker& worker,
                                 const run_status& status,
                                 const task_run& run) {
  const job_step& step =
      jobs_.at(status.task.job).record.spec.steps[status.task.step];
  const bool was_suspect = worker.health.IsSuspect();
  if (step.service && status.percent >= 100) {
    worker.health.OnServiceAtWork(run.active_since);
  } else if (status.percent > run.percent) {
    worker.health.OnProgress(run.active_since);
  }
  placement_requested_ =
      placement_requested_ || (was_suspect && !worker.health.IsSuspect());
}

void job_scheduler::UpdateOrAdoptRun(scheduled_worker& worker,
                                     const run_status& status,
                                     millis listed_before,
                                     millis now) {
  scheduled_task* task = FindOrOpenTask(status.task, now);
  const auto job = jobs_.find(status.task.job);
  if (task != nullptr) {
    for (task_run& run : task->runs) {
      if (run.agent == worker.agent && run.run == status.run) {
        NoteProgress(worker, status, run);
        if (run.percent != status.percent || run.phase == run_phase::kOrdered) {
          run.percent = status.percent;
          run.percent_changed_at = now;
        }
        run.load = status.load;
        if (run.phase == run_phase::kOrdered) {
          run.phase = run_phase::kRunning;
        }
        run.is_confirmed = true;
        CloseStart(run);
        NoteBegun(job->second, run);
        run.seen_at = listed_before;
        if (!status.checkpoint.empty()) {
          run.checkpoint = status.checkpoint;
          task->checkpoint = status.checkpoint;
        }
        RepeatLostStop(worker, status.task, run);
        if (task->is_suspect && IsProven(worker, run)) {
          ClearSuspect(status.task, *task, run.run);
        }
        return;
      }
    }
  }
  task_run adopted;
  adopted.agent = worker.agent;
  adopted.boot = worker.description.boot;
  adopted.run = status.run;
  adopted.phase = run_phase::kRunning;
  adopted.is_confirmed = true;
  adopted.seen_at = listed_before;
  adopted.active_since = now;
  adopted.estimated_start = now;
  adopted.percent = status.percent;
  adopted.percent_changed_at = now;
  adopted.load = status.load;
  if (task != nullptr) {
    NoteBegun(job->second, adopted);
  }
  const bool wanted = task != nullptr && !IsFinal(job->second.state) &&
                      !task->done && task->runs.empty();
  if (!wanted) {
    if (task == nullptr) {
      // A started job is stored until it has ended, so the job of an unknown
      // run has ended.
      worker_order order;
      order.kind = order_kind::kStop;
      order.boot = worker.description.boot;
      order.task = status.task;
      order.run = status.run;
      order.reason = "its job is over";
      AddOrder(worker.agent, std::move(order));
      Emit("stop_ordered", status.task.ToString(), worker.agent,
           RunDetail(status.run) + " reason=\"its job is over\"");
    } else {
      task->highest_run = std::max(task->highest_run, adopted.run);
      task->runs.push_back(adopted);
      ++job->second.runs;
      ReserveResources(worker, job->second, status.task);
      OrderStop(status.task, task->runs.back(), "it is not wanted any more");
    }
    return;
  }
  task->highest_run = std::max(task->highest_run, adopted.run);
  if (!status.checkpoint.empty()) {
    task->checkpoint = status.checkpoint;
  }
  task->runs.push_back(adopted);
  ++job->second.runs;
  ReserveResources(worker, job->second, status.task);
  Emit("run_adopted", status.task.ToString(), worker.agent,
       RunDetail(status.run) + " percent=" + std::to_string(status.percent));
}

void job_scheduler::ProcessRunEnd(scheduled_worker& worker,
                                  const ended_run& ended,
                                  millis now) {
  scheduled_task* task = FindOrOpenTask(ended.task, now);
  if (task == nullptr) {
    return;
  }
  scheduled_job& job = jobs_.at(ended.task.job);
  const job_step& step = job.record.spec.steps[ended.task.step];
  const auto tracked_run =
      std::find_if(task->runs.begin(), task->runs.end(), [&](const auto& run) {
        return run.agent == worker.agent && run.run == ended.run;
      });
  const bool was_stopping = tracked_run != task->runs.end() &&
                            tracked_run->phase == run_phase::kStopping;
  const millis worked =
      tracked_run != task->runs.end() ? now - tracked_run->active_since : 0;
  task->highest_run = std::max(task->highest_run, ended.run);
  task_run unknown_run;
  NoteBegun(job, tracked_run != task->runs.end() ? *tracked_run : unknown_run);
  if (tracked_run != task->runs.end() && ended.end == run_end::kDone) {
    LearnDuration(job, ended.task, *tracked_run, now);
  }
  RemoveRun(ended.task, worker.agent, ended.run, now);
  Emit("run_ended", ended.task.ToString(), worker.agent,
       RunDetail(ended.run) + " end=" + NameOf(ended.end) +
           " number=" + std::to_string(ended.number));
  if (IsFinal(job.state) || task->done) {
    return;
  }
  if (!ended.checkpoint.empty() && ended.end != run_end::kDone) {
    task->checkpoint = ended.checkpoint;
    dirty_.insert(ended.task.job);
  }
  switch (ended.end) {
    case run_end::kDone:
      worker.health.OnSuccess(ended.task.Step(), now);
      if (step.service) {
        DelayRestart(ended.task, *task, worked, now);
      } else if (step.gang) {
        for (std::uint32_t i = 0; i < step.tasks; ++i) {
          MarkDone(job,
                   {ended.task.job, ended.task.occurrence, ended.task.step, i},
                   now);
        }
      } else {
        MarkDone(job, ended.task, now);
      }
      return;
    case run_end::kFailed:
      NoteFailure(worker, ended.task.Step(), worked, now);
      if (step.service) {
        DelayRestart(ended.task, *task, worked, now);
        return;
      }
      task->failed_runs.insert(ended.run);
      task->failed_on.push_back(worker.agent);
      dirty_.insert(ended.task.job);
      if (task->failed_runs.size() >= job.policy.max_attempts) {
        EndJob(job, job_state::kFailed);
      }
      return;
    case run_end::kStopped:
      if (!was_stopping) {
        job.has_waiting_tasks = true;
      }
      return;
    case run_end::kLapsed:
    case run_end::kBroken:
    case run_end::kAlone:
      return;
  }
}

void job_scheduler::ProcessStartResult(scheduled_worker& worker,
                                       const start_result& result,
                                       millis now) {
  scheduled_task* task = FindTask(result.task);
  if (task == nullptr) {
    return;
  }
  const auto run = std::find_if(
      task->runs.begin(), task->runs.end(), [&](const auto& entry) {
        return entry.agent == worker.agent && entry.run == result.run;
      });
  // Once a run is there, only lists and ends tell what becomes of it: a start
  // that is ordered again is refused as outdated while the run still stops.
  if (run == task->runs.end() || run->is_confirmed) {
    return;
  }
  if (result.outcome == start_outcome::kStarted) {
    NoteBegun(jobs_.at(result.task.job), *run);
    if (run->phase == run_phase::kOrdered) {
      run->phase = run_phase::kRunning;
      run->is_confirmed = true;
      CloseStart(*run);
      run->seen_at = result.known_at;
      run->active_since = now;
      run->percent_changed_at = now;
    }
    return;
  }
  Emit("start_refused", result.task.ToString(), worker.agent,
       RunDetail(result.run) + " outcome=" + NameOf(result.outcome));
  switch (result.outcome) {
    case start_outcome::kNoCapacity:
      worker.start_backoff_until = now + kStartBackoff;
      break;
    case start_outcome::kUnhealthy:
    case start_outcome::kWithdrawn:
      worker.health.OnUnresponsive(now);
      break;
    case start_outcome::kStarted:
    case start_outcome::kOutdated:
    case start_outcome::kRefused:
      break;
  }
  RemoveRun(result.task, worker.agent, result.run, now);
}

void job_scheduler::RemoveRun(const task_name& key,
                              const std::string& agent,
                              std::uint64_t run,
                              millis now) {
  scheduled_task* task = FindTask(key);
  if (task == nullptr) {
    return;
  }
  scheduled_job& job = jobs_.at(key.job);
  const auto is_run = [&](const task_run& entry) {
    return entry.agent == agent && entry.run == run;
  };
  const auto holder = workers_.find(agent);
  const auto dropped =
      std::find_if(task->runs.begin(), task->runs.end(), is_run);
  if (dropped != task->runs.end()) {
    job.throttled += dropped->throttling_loss;
    CloseStart(*dropped);
  }
  if (holder != workers_.end() && dropped != task->runs.end()) {
    RecordEndedBestEffortRun(holder->second, job.record.spec.steps[key.step],
                             *dropped, now);
  }
  const auto removed =
      std::remove_if(task->runs.begin(), task->runs.end(), is_run);
  if (removed == task->runs.end()) {
    return;
  }
  job.runs -= static_cast<std::uint64_t>(task->runs.end() - removed);
  task->runs.erase(removed, task->runs.end());
  if (task->done && task->runs.empty()) {
    finished_tasks_.insert(key);
  }
  const bool agent_has_other_run =
      std::any_of(task->runs.begin(), task->runs.end(),
                  [&](const task_run& entry) { return entry.agent == agent; });
  const auto worker = workers_.find(agent);
  if (!agent_has_other_run && worker != workers_.end()) {
    ReleaseResources(worker->second, job, key);
  }
  if (worker != workers_.end()) {
    DropQueuedStart(worker->second, key, run);
  }
  if (!task->done && task->runs.empty()) {
    task->ready_since = now;
    job.has_waiting_tasks = true;
    placement_requested_ = true;
  }
}

void job_scheduler::RemoveAllRuns(scheduled_worker& worker,
                                  const char* reason,
                                  millis now) {
  const std::set<task_name> tasks = worker.tasks;
  for (const task_name& key : tasks) {
    const scheduled_task* task = FindTask(key);
    if (task == nullptr) {
      continue;
    }
    for (const task_run& run : std::vector<task_run>(task->runs)) {
      if (run.agent == worker.agent) {
        Emit("run_lost", key.ToString(), worker.agent,
             RunDetail(run.run) + " reason=\"" + reason + "\"");
        RemoveRun(key, worker.agent, run.run, now);
      }
    }
  }
  worker.tasks.clear();
  worker.used = amount();
  worker.best_effort_milli_processors = 0;
  worker.service_milli_processors = 0;
}

bool job_scheduler::MayJudgeSilence(millis now) {
  const millis gap = last_tick_ == 0 ? 0 : now - last_tick_;
  last_tick_ = now;
  if (gap > kMaxTickGap && now >= next_postponement_) {
    judges_silence_from_ = now + kReportCatchUp;
    next_postponement_ = now + kPostponementInterval;
    Emit("judgement_postponed", "silent workers", "",
         "paused_ms=" + std::to_string(gap) +
             " for_ms=" + std::to_string(kReportCatchUp));
  }
  return now >= judges_silence_from_;
}

void job_scheduler::ExpireSilentWorkers(millis now) {
  if (!MayJudgeSilence(now)) {
    return;
  }
  const auto drift = static_cast<millis>(static_cast<double>(options_.grant) *
                                         options_.clock_drift);
  // Without a lease, the runs may live on by the grants of a new owner for as
  // long as this one believes to hear most members.
  const millis doubt = has_lease_ ? 0 : options_.list_freshness;
  for (auto& [agent, worker] : workers_) {
    if (!worker.silent_runs.empty() && now > worker.silent_since + kMaxDoubt) {
      ForgetSilentRuns(worker);
    }
    if (worker.granted_until == 0 ||
        now <= worker.granted_until + drift + options_.grant_margin + doubt) {
      continue;
    }
    Emit("worker_silent", worker.description.boot.id, agent,
         "silent_ms=" +
             std::to_string(now - worker.granted_until + options_.grant));
    RememberSilentRuns(worker, now);
    RemoveAllRuns(worker, "agent grant expired without a report", now);
    worker.runs_known = false;
    worker.granted_until = 0;
    worker.orders.clear();
    // A successor has to wait for a former member as this scheduler does.
    if (unreported_members_.count(agent) == 0) {
      wanted_members_.erase(agent);
    }
  }
  for (auto entry = unreported_members_.begin();
       entry != unreported_members_.end();) {
    if (now <= entry->second) {
      ++entry;
      continue;
    }
    Emit("former_worker_silent", entry->first, entry->first,
         "epoch=" + std::to_string(options_.epoch) +
             " overdue_ms=" + std::to_string(now - entry->second) +
             " unreported=" + std::to_string(unreported_members_.size() - 1));
    const auto worker = workers_.find(entry->first);
    if (worker == workers_.end() || worker->second.granted_until == 0) {
      wanted_members_.erase(entry->first);
    }
    entry = unreported_members_.erase(entry);
    placement_requested_ = true;
    for (const std::string& id : active_jobs_) {
      jobs_.at(id).has_waiting_tasks = true;
    }
  }
}

// Stops services and those runs on draining workers that would not end before
// the executor leaves, so that they start elsewhere.
void job_scheduler::EvacuateDrainingWorkers() {
  for (auto& [agent, worker] : workers_) {
    if (!worker.description.draining) {
      continue;
    }
    for (const task_name& key : worker.tasks) {
      scheduled_task* task = FindTask(key);
      const job_step& step = jobs_.at(key.job).record.spec.steps[key.step];
      for (task_run& run : task->runs) {
        if (run.agent != agent || run.phase != run_phase::kRunning) {
          continue;
        }
        const millis remaining =
            step.expected * (100 - std::min(run.percent, 100U)) / 100;
        if (step.service || remaining > worker.description.remaining) {
          OrderStop(key, run, "its executor is leaving");
        }
      }
    }
  }
}

}  // namespace chervilkeel
