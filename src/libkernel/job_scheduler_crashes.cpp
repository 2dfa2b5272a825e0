// Executors that crash, and the tasks that may be the cause. A crash takes all
// tasks of an executor. Those that it had not yet shown to be running for
// kProvingTime become suspect. A suspect task starts on a worker where all
// other runs are proven, and nothing else starts there until it is proven, too:
// if that executor crashes, the task is the cause. If many tasks are suspect,
// some are tried together first.
#include <algorithm>

#include "chervilkeel/job_scheduler.h"

namespace chervilkeel {

bool job_scheduler::IsProven(const scheduled_worker& worker,
                             const task_run& run) {
  return run.phase != run_phase::kOrdered &&
         worker.listed_at - run.active_since >= kProvingTime;
}

std::vector<lost_run> job_scheduler::RunsOnWorker(
    const scheduled_worker& worker) {
  std::vector<lost_run> runs;
  for (const task_name& key : worker.tasks) {
    const scheduled_task* task = FindTask(key);
    if (task == nullptr) {
      continue;
    }
    for (const task_run& run : task->runs) {
      const bool came_too_late =
          run.phase == run_phase::kOrdered &&
          run.active_since - worker.listed_at > kMaxListGap;
      if (run.agent == worker.agent && !came_too_late) {
        runs.push_back({key, run.run, IsProven(worker, run)});
      }
    }
  }
  return runs;
}

bool job_scheduler::HasUnprovenRuns(const scheduled_worker& worker) {
  return std::any_of(worker.tasks.begin(), worker.tasks.end(),
                     [&](const task_name& key) {
                       const scheduled_task* task = FindTask(key);
                       return task != nullptr &&
                              std::any_of(task->runs.begin(), task->runs.end(),
                                          [&](const task_run& run) {
                                            return run.agent == worker.agent &&
                                                   !IsProven(worker, run);
                                          });
                     });
}

bool job_scheduler::IsSettled(const scheduled_task& task,
                              const lost_run& lost) {
  return lost.run <= task.proven_run ||
         task.crashed_runs.count(lost.run) != 0 ||
         task.late_crashed_runs.count(lost.run) != 0;
}

// Agents tell a crash to each owner, and again with the next one. A crash is
// judged once, by what is known then: later, its cause may have been given up,
// and the tasks beside it would be blamed. One that a former owner has found is
// judged again; what counted then is stored by run, so each run is judged by
// itself.
void job_scheduler::OnExecutorCrashed(scheduled_worker& worker,
                                      const crashed_executor& crashed,
                                      millis now) {
  std::deque<executor_boot>& known = worker.crashed_boots;
  if (std::find(known.begin(), known.end(), crashed.boot) != known.end()) {
    return;
  }
  known.push_back(crashed.boot);
  if (known.size() > kMaxKnownCrashes) {
    known.pop_front();
  }
  worker.crashed_at = now;
  std::vector<lost_run> unproven;
  std::vector<lost_run> suspects;
  std::string names;
  for (const lost_run& run : crashed.runs) {
    const auto job = jobs_.find(run.task.job);
    if (run.proven || job == jobs_.end()) {
      continue;
    }
    // Runs of an ended job may be the cause, though its tasks are not held.
    const bool has_ended = IsFinal(job->second.state);
    const scheduled_task* task = PeekTask(run.task);
    if (task == nullptr && !has_ended) {
      continue;
    }
    unproven.push_back(run);
    if (unproven.size() <= kMaxNamedRuns) {
      names += (names.empty() ? "" : ",") + run.task.ToString();
    }
    if (!has_ended && !task->done &&
        task->crashed_runs.size() > task->crashed_runs.count(run.run)) {
      suspects.push_back(run);
    }
  }
  Emit("executor_crashed", crashed.boot.id, worker.agent,
       "runs=" + std::to_string(crashed.runs.size()) +
           " unproven=" + std::to_string(unproven.size()) + " suspects=" +
           std::to_string(suspects.size()) + " tasks=\"" + names + "\"");
  for (const lost_run& run : suspects.empty() ? unproven : suspects) {
    BlameRun(run, worker.agent, unproven.size() == 1);
  }
  if (!unproven.empty()) {
    return;
  }
  // The cause may be the executor, or a task that takes longer to crash it.
  // A service runs for too long to tell.
  for (const lost_run& run : crashed.runs) {
    const auto job = jobs_.find(run.task.job);
    if (FindTask(run.task) != nullptr &&
        !job->second.record.spec.steps[run.task.step].service) {
      BlameRun(run, worker.agent, false);
    }
  }
}

void job_scheduler::BlameRun(const lost_run& lost,
                             const std::string& agent,
                             bool is_only_suspect) {
  scheduled_task* task = FindTask(lost.task);
  const auto job = jobs_.find(lost.task.job);
  if (task == nullptr || task->done || IsFinal(job->second.state) ||
      IsSettled(*task, lost)) {
    return;
  }
  std::set<std::uint64_t>& runs =
      lost.proven ? task->late_crashed_runs : task->crashed_runs;
  runs.insert(lost.run);
  task->is_suspect = task->is_suspect || !lost.proven;
  task->failed_on.push_back(agent);  // Goes elsewhere, if it can.
  dirty_.insert(lost.task.job);
  Emit("crash_blamed", lost.task.ToString(), agent,
       "run=" + std::to_string(lost.run) +
           " crashes=" + std::to_string(runs.size()) +
           " proven=" + (lost.proven ? "true" : "false") +
           " only_suspect=" + (is_only_suspect ? "true" : "false"));
  if (runs.size() >= kMaxCrashes ||
      (is_only_suspect && runs.size() >= kCrashesOfCause)) {
    Emit("task_given_up", lost.task.ToString(), agent,
         "crashes=" + std::to_string(runs.size()) +
             " reason=\"executors crashed under it\"");
    EndJob(job->second, job_state::kFailed);
  }
}

void job_scheduler::ClearSuspect(const task_name& key,
                                 scheduled_task& task,
                                 std::uint64_t proven_run) {
  task.is_suspect = false;
  task.proven_run = proven_run;
  task.doubtful_runs.clear();
  if (!task.crashed_runs.empty()) {
    task.crashed_runs.clear();
    dirty_.insert(key.job);
  }
  Emit("suspect_cleared", key.ToString(), "", "");
}

void job_scheduler::RememberSilentRuns(scheduled_worker& worker, millis now) {
  ForgetSilentRuns(worker);
  worker.silent_runs = RunsOnWorker(worker);
  worker.silent_since = now;
  for (const lost_run& run : worker.silent_runs) {
    scheduled_task* task = FindTask(run.task);
    if (!run.proven && task != nullptr) {
      task->doubtful_runs.insert(run.run);
      task->is_suspect = true;
    }
  }
}

void job_scheduler::ForgetSilentRuns(scheduled_worker& worker) {
  for (const lost_run& run : std::exchange(worker.silent_runs, {})) {
    scheduled_task* task = FindTask(run.task);
    if (task != nullptr && task->doubtful_runs.erase(run.run) != 0) {
      task->is_suspect =
          !task->crashed_runs.empty() || !task->doubtful_runs.empty();
    }
  }
}

bool job_scheduler::IsReserved(scheduled_worker& worker, millis now) {
  if (worker.trial_until != 0 &&
      (now >= worker.trial_until || !HasUnprovenRuns(worker))) {
    worker.trial_until = 0;
  }
  return worker.trial_until != 0 || now < worker.reserved_until;
}

bool job_scheduler::IsAnswering(const scheduled_worker& worker, millis now) {
  return now - worker.listed_at <= kMaxListGap;
}

bool job_scheduler::IsRepeatSuspect(const scheduled_task& task) {
  return task.crashed_runs.size() >= kCrashesOfCause;
}

// Tasks that are tried together start at the same time.
bool job_scheduler::IsFreeForTrial(const scheduled_worker& worker,
                                   const scheduled_task& task,
                                   std::size_t trial_size,
                                   millis now) {
  const bool may_join = worker.trial_until != 0 && worker.trial_began == now &&
                        worker.trial_size < trial_size &&
                        !IsRepeatSuspect(task);
  return may_join || !HasUnprovenRuns(worker);
}

job_scheduler::trial_room job_scheduler::FindTrialRoom(
    const std::string& service,
    const task_name& key,
    const scheduled_task& task,
    millis now) {
  const std::size_t usable = static_cast<std::size_t>(
      std::count_if(workers_.begin(), workers_.end(), [&](const auto& entry) {
        const executor_description& description = entry.second.description;
        return entry.second.runs_known && !description.draining &&
               description.service == service && !FindEvacuation(entry.second);
      }));
  const std::size_t most_reserved =
      std::max<std::size_t>(1, usable / kWorkersPerReservation);
  trial_room room;
  room.tasks = std::clamp<std::size_t>(
      waiting_suspects_[service] / (kFewTrials * most_reserved), 1,
      IsRepeatSuspect(task) ? 1 : kMaxTrialSize);
  std::size_t reserved = 0;
  std::size_t answering = 0;
  for (auto& [agent, worker] : workers_) {
    if (worker.description.service != service || !IsReserved(worker, now) ||
        FindEvacuation(worker)) {
      continue;
    }
    ++reserved;
    answering += IsAnswering(worker, now) ? 1 : 0;
    room.has_free_worker =
        room.has_free_worker || IsFreeForTrial(worker, task, room.tasks, now);
    if (now < worker.reserved_until && worker.reserved_for == key) {
      room.reserved_for_task = &worker;
    }
  }
  room.may_reserve =
      answering < most_reserved &&
      reserved < std::max<std::size_t>(1, usable / kWorkersPerTrialOrCrash);
  return room;
}

void job_scheduler::BeginTrial(scheduled_worker& worker,
                               const scheduled_task& task,
                               millis now) {
  const bool joins = worker.trial_until != 0 && worker.trial_began == now;
  const bool is_alone = IsRepeatSuspect(task);
  worker.trial_size = is_alone ? kMaxTrialSize
                      : joins  ? worker.trial_size + 1
                               : 1;
  worker.trial_began = now;
  worker.trial_until = now + kMaxTrialTime;
  worker.reserved_until = 0;  // The trial keeps the worker.
}

void job_scheduler::StartTrials(const waiting_step& waiting,
                                suspect_kind kind,
                                millis now) {
  scheduled_job& job = *waiting.job;
  task_name key{job.record.id, waiting.occurrence, waiting.step_index, 0};
  task_table& tasks = job.occurrences.at(key.occurrence).steps[key.step].tasks;
  for (const std::uint32_t index : waiting.tasks) {
    key.index = index;
    scheduled_task& task = tasks.Track(index);
    const suspect_kind found =
        IsRepeatSuspect(task) ? suspect_kind::kRepeat : suspect_kind::kFirst;
    if (task.is_suspect && task.runs.empty() && found == kind &&
        !StartTrial(job, key, task, now)) {
      return;
    }
  }
}

void job_scheduler::StartOverdueTrials(const std::vector<waiting_step>& steps,
                                       millis now) {
  struct overdue_suspect {
    millis ready_since;
    const waiting_step* step;
    std::uint32_t index;
  };
  std::vector<overdue_suspect> overdue;
  for (const waiting_step& waiting : steps) {
    const scheduled_job& job = *waiting.job;
    if (job.record.spec.steps[waiting.step_index].gang) {
      continue;
    }
    const auto& tasks =
        job.occurrences.at(waiting.occurrence).steps[waiting.step_index].tasks;
    for (const std::uint32_t index : waiting.tasks) {
      if (tasks[index].is_suspect &&
          now - tasks[index].ready_since >= kMaxTrialWait) {
        overdue.push_back({tasks[index].ready_since, &waiting, index});
      }
    }
  }
  std::stable_sort(overdue.begin(), overdue.end(),
                   [](const auto& left, const auto& right) {
                     return left.ready_since < right.ready_since;
                   });
  std::set<const waiting_step*> without_worker;
  for (const overdue_suspect& entry : overdue) {
    if (without_worker.count(entry.step) != 0) {
      continue;
    }
    scheduled_job& job = *entry.step->job;
    const task_name key{job.record.id, entry.step->occurrence,
                        entry.step->step_index, entry.index};
    if (!StartTrial(job, key, *FindTask(key), now)) {
      without_worker.insert(entry.step);
    }
  }
}

bool job_scheduler::StartTrial(scheduled_job& job,
                               const task_name& key,
                               scheduled_task& task,
                               millis now) {
  const std::string& service = job.policy.service;
  if (services_without_trials_.count(service) != 0) {
    return false;
  }
  if (task.doubtful_runs.size() >= kMaxDoubtfulRuns) {
    return true;  // Others of the step may start.
  }
  const trial_room room = FindTrialRoom(service, key, task, now);
  if (room.reserved_for_task != nullptr &&
      !IsFreeForTrial(*room.reserved_for_task, task, room.tasks, now)) {
    return true;  // Waits until that worker's runs are proven.
  }
  if (!room.may_reserve && !room.has_free_worker) {
    // One that has to be tried alone says nothing about those that may join.
    if (!IsRepeatSuspect(task)) {
      services_without_trials_.insert(service);
    }
    return false;
  }
  std::vector<candidate> candidates =
      Candidates(job, key, start_kind::kTrial, now);
  std::erase_if(candidates, [&](candidate& entry) {
    scheduled_worker& worker = *entry.worker;
    if (worker.crashed_at != 0 && now - worker.crashed_at < kCrashMemory) {
      entry.score -= kCrashPenalty;
    }
    const bool is_free = IsFreeForTrial(worker, task, room.tasks, now);
    if (is_free) {
      entry.score += kReadyForTrialBonus;
    }
    return IsReserved(worker, now) ? !is_free : !room.may_reserve;
  });
  const candidate* best = BestCandidate(
      candidates, key, task,
      job.record.spec.steps[key.step].filler ? MaxWaitForPace(job) : 0, now);
  if (best == nullptr) {
    return false;
  }
  scheduled_worker& worker = *best->worker;
  if (room.reserved_for_task != nullptr) {
    room.reserved_for_task->reserved_until = 0;
  }
  if (!IsFreeForTrial(worker, task, room.tasks, now)) {
    worker.reserved_until = now + kReservationTime;
    worker.reserved_for = key;
    return true;
  }
  BeginTrial(worker, task, now);
  OrderStart(worker, job, key, task, NextRunNumber(task), now);
  return true;
}

}  // namespace chervilkeel
