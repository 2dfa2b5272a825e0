// What workers report, and what it means for the runs on them.
#include <algorithm>

#include "chervilkeel/job_scheduler.h"

namespace chervilkeel {

namespace {

std::string RunText(std::uint64_t run) {
  return "run=" + std::to_string(run);
}

}  // namespace

void job_scheduler::Occupy(scheduled_worker& worker,
                           const scheduled_job& job,
                           const task_name& key) {
  if (!worker.tasks.insert(key).second) {
    return;
  }
  const job_step& step = job.record.spec.steps[key.step];
  amount need = step.size;
  if (step.filler) {
    worker.filler_milli += need.milli_processors;
    need.milli_processors = 0;
  }
  if (step.service) {
    worker.service_milli += need.milli_processors;
  }
  worker.used += need;
}

void job_scheduler::Release(scheduled_worker& worker,
                            const scheduled_job& job,
                            const task_name& key) {
  if (worker.tasks.erase(key) == 0) {
    return;
  }
  placing_wanted_ = true;
  const job_step& step = job.record.spec.steps[key.step];
  amount need = step.size;
  if (step.filler) {
    worker.filler_milli -= need.milli_processors;
    need.milli_processors = 0;
  }
  if (step.service) {
    worker.service_milli -= need.milli_processors;
  }
  worker.used -= need;
}

void job_scheduler::OnReport(const worker_report& report, millis now) {
  scheduled_worker& worker = workers_[report.agent];
  worker.agent = report.agent;
  wanted_members_.insert(report.agent);
  if (report.worker.boot.started_ms < worker.description.boot.started_ms) {
    Emit("report_of_former_boot", report.worker.boot.id, report.agent, "");
    return;
  }
  if (report.worker.boot != worker.description.boot) {
    ChangeBoot(worker, report.worker, now);
  }
  if (report.worker.draining && !worker.description.draining) {
    Emit("worker_draining", report.worker.boot.id, report.agent,
         "remaining_ms=" + std::to_string(report.worker.remaining));
  }
  worker.description = report.worker;
  worker.granted_until = now + options_.grant;
  for (const ended_run& ended : report.ends) {
    if (ended.number > worker.seen_end) {
      TakeEnd(worker, ended, now);
      worker.seen_end = ended.number;
    }
  }
  for (const start_result& result : report.starts) {
    TakeStart(worker, result, now);
  }
  if (report.has_runs) {
    TakeRuns(worker, report, now);
    placing_wanted_ = placing_wanted_ || !worker.known;
    worker.known = true;
    if (unheard_.erase(report.agent) != 0 && unheard_.empty()) {
      placing_wanted_ = true;
      Emit("recovered", "all former workers", "", "");
    }
  }
}

void job_scheduler::OnWorkerGone(const std::string& agent,
                                 const executor_boot& boot,
                                 millis now) {
  const auto found = workers_.find(agent);
  if (found == workers_.end() || found->second.description.boot != boot) {
    return;
  }
  DropAllRuns(found->second, "its executor has left", now);
  found->second.known = false;
}

void job_scheduler::ChangeBoot(scheduled_worker& worker,
                               const executor_description& to,
                               millis now) {
  if (!worker.description.boot.id.empty()) {
    DropAllRuns(worker, "its executor started anew", now);
  }
  Emit("worker_boot", to.boot.id, worker.agent,
       "started_ms=" + std::to_string(to.boot.started_ms) +
           " milli_processors=" + std::to_string(to.capacity.milli_processors));
  worker.known = false;
  worker.seen_end = 0;
  worker.recorded_end = 0;
  worker.full_until = 0;
  worker.health = worker_health();
  worker.orders.clear();
}

void job_scheduler::TakeRuns(scheduled_worker& worker,
                             const worker_report& report,
                             millis now) {
  std::set<task_name> listed;
  for (const run_status& status : report.runs) {
    listed.insert(status.task);
    AdoptRun(worker, status, now);
  }
  LearnPressure(worker, now - report.runs_age, now);
  // A run that was confirmed and is no longer listed has ended without an end
  // that reached this process.
  const std::set<task_name> held = worker.tasks;
  for (const task_name& key : held) {
    const scheduled_task* task = FindTask(key);
    if (task == nullptr || listed.count(key) != 0) {
      continue;
    }
    for (const task_run& run : std::vector<task_run>(task->runs)) {
      if (run.agent == worker.agent && run.phase == run_phase::kRunning &&
          run.since < now - report.runs_age - kListSlack) {
        Emit("run_vanished", key.ToString(), worker.agent, RunText(run.run));
        DropRun(key, worker.agent, run.run, now);
      }
    }
  }
}

void job_scheduler::AdoptRun(scheduled_worker& worker,
                             const run_status& status,
                             millis now) {
  scheduled_task* task = FindTask(status.task);
  const auto job = jobs_.find(status.task.job);
  if (task != nullptr) {
    for (task_run& run : task->runs) {
      if (run.agent == worker.agent && run.run == status.run) {
        if (run.percent != status.percent || run.phase == run_phase::kOrdered) {
          run.percent = status.percent;
          run.percent_at = now;
        }
        run.load = status.load;
        if (run.phase == run_phase::kOrdered) {
          run.phase = run_phase::kRunning;
        }
        if (!status.checkpoint.empty()) {
          run.checkpoint = status.checkpoint;
          task->checkpoint = status.checkpoint;
        }
        return;
      }
    }
  }
  task_run found;
  found.agent = worker.agent;
  found.boot = worker.description.boot;
  found.run = status.run;
  found.phase = run_phase::kRunning;
  found.since = now;
  found.started = now;
  found.percent = status.percent;
  found.percent_at = now;
  found.load = status.load;
  const bool wanted = task != nullptr && !IsFinal(job->second.state) &&
                      !task->done && task->runs.empty();
  if (!wanted) {
    if (task == nullptr) {
      // Every job that was started stands in the store until it has ended.
      worker_order order;
      order.kind = order_kind::kStop;
      order.boot = worker.description.boot;
      order.task = status.task;
      order.run = status.run;
      order.reason = "its job is over";
      AddOrder(worker.agent, std::move(order));
      Emit("stop_ordered", status.task.ToString(), worker.agent,
           RunText(status.run) + " reason=\"its job is over\"");
    } else {
      task->highest_run = std::max(task->highest_run, found.run);
      task->runs.push_back(found);
      Occupy(worker, job->second, status.task);
      OrderStop(status.task, task->runs.back(), "it is not wanted any more");
    }
    return;
  }
  task->unaccounted = false;
  task->highest_run = std::max(task->highest_run, found.run);
  if (!status.checkpoint.empty()) {
    task->checkpoint = status.checkpoint;
  }
  task->runs.push_back(found);
  Occupy(worker, job->second, status.task);
  ++job->second.started_tasks;
  job->second.state = job_state::kRunning;
  Emit("run_adopted", status.task.ToString(), worker.agent,
       RunText(status.run) + " percent=" + std::to_string(status.percent));
}

void job_scheduler::TakeEnd(scheduled_worker& worker,
                            const ended_run& ended,
                            millis now) {
  scheduled_task* task = FindTask(ended.task);
  if (task == nullptr) {
    return;
  }
  scheduled_job& job = jobs_.at(ended.task.job);
  const job_step& step = job.record.spec.steps[ended.task.step];
  const auto known =
      std::find_if(task->runs.begin(), task->runs.end(), [&](const auto& run) {
        return run.agent == worker.agent && run.run == ended.run;
      });
  const bool was_stopping =
      known != task->runs.end() && known->phase == run_phase::kStopping;
  task->highest_run = std::max(task->highest_run, ended.run);
  DropRun(ended.task, worker.agent, ended.run, now);
  Emit("run_ended", ended.task.ToString(), worker.agent,
       RunText(ended.run) + " end=" + NameOf(ended.end) +
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
      worker.health.OnSuccess(now);
      ++job.started_tasks;
      if (step.gang) {
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
      worker.health.OnFailure(now);
      if (step.service) {
        return;
      }
      task->failed_runs.insert(ended.run);
      task->failed_on.push_back(worker.agent);
      dirty_.insert(ended.task.job);
      if (task->failed_runs.size() >= job.policy.max_attempts) {
        Finish(job, job_state::kFailed);
      }
      return;
    case run_end::kStopped:
      if (!was_stopping) {
        job.has_waiting = true;
      }
      return;
    case run_end::kLapsed:
    case run_end::kBroken:
    case run_end::kAlone:
      return;
  }
}

void job_scheduler::TakeStart(scheduled_worker& worker,
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
  if (run == task->runs.end()) {
    return;
  }
  if (result.outcome == start_outcome::kStarted) {
    if (run->phase == run_phase::kOrdered) {
      run->phase = run_phase::kRunning;
      run->since = now;
      run->percent_at = now;
    }
    return;
  }
  Emit("start_refused", result.task.ToString(), worker.agent,
       RunText(result.run) + " outcome=" + NameOf(result.outcome));
  switch (result.outcome) {
    case start_outcome::kNoCapacity:
      worker.full_until = now + kFullPause;
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
  DropRun(result.task, worker.agent, result.run, now);
}

void job_scheduler::DropRun(const task_name& key,
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
  if (holder != workers_.end() && dropped != task->runs.end()) {
    NoteEndedFiller(holder->second, job.record.spec.steps[key.step], *dropped,
                    now);
  }
  const auto removed =
      std::remove_if(task->runs.begin(), task->runs.end(), is_run);
  if (removed == task->runs.end()) {
    return;
  }
  task->runs.erase(removed, task->runs.end());
  const bool still_there =
      std::any_of(task->runs.begin(), task->runs.end(),
                  [&](const task_run& entry) { return entry.agent == agent; });
  const auto worker = workers_.find(agent);
  if (!still_there && worker != workers_.end()) {
    Release(worker->second, job, key);
  }
  if (!task->done && task->runs.empty()) {
    task->ready_since = now;
    job.has_waiting = true;
    placing_wanted_ = true;
  }
}

void job_scheduler::DropAllRuns(scheduled_worker& worker,
                                const char* reason,
                                millis now) {
  const std::set<task_name> held = worker.tasks;
  for (const task_name& key : held) {
    const scheduled_task* task = FindTask(key);
    if (task == nullptr) {
      continue;
    }
    for (const task_run& run : std::vector<task_run>(task->runs)) {
      if (run.agent == worker.agent) {
        Emit("run_lost", key.ToString(), worker.agent,
             RunText(run.run) + " reason=\"" + reason + "\"");
        DropRun(key, worker.agent, run.run, now);
      }
    }
  }
  worker.tasks.clear();
  worker.used = amount();
  worker.filler_milli = 0;
  worker.service_milli = 0;
}

void job_scheduler::ExpireSilentWorkers(millis now) {
  const auto drift = static_cast<millis>(static_cast<double>(options_.grant) *
                                         options_.clock_drift);
  for (auto& [agent, worker] : workers_) {
    if (worker.granted_until == 0 ||
        now <= worker.granted_until + drift + options_.grant_margin) {
      continue;
    }
    Emit("worker_silent", worker.description.boot.id, agent,
         "silent_ms=" +
             std::to_string(now - worker.granted_until + options_.grant));
    DropAllRuns(worker, "its agent is silent", now);
    worker.known = false;
    worker.granted_until = 0;
    worker.orders.clear();
    wanted_members_.erase(agent);
  }
  for (auto entry = unheard_.begin(); entry != unheard_.end();) {
    if (now <= entry->second) {
      ++entry;
      continue;
    }
    Emit("former_worker_silent", entry->first, "", "");
    if (workers_.count(entry->first) == 0) {
      wanted_members_.erase(entry->first);
    }
    entry = unheard_.erase(entry);
    placing_wanted_ = true;
    for (const std::string& id : active_) {
      jobs_.at(id).has_waiting = true;
    }
  }
}

// Moves what would not end before its draining executor leaves.
void job_scheduler::EvacuateDraining() {
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
        const millis left =
            step.expected * (100 - std::min(run.percent, 100U)) / 100;
        if (step.service || left > worker.description.remaining) {
          OrderStop(key, run, "its executor is leaving");
        }
      }
    }
  }
}

}  // namespace chervilkeel
