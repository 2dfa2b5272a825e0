// Runs that fail, by the fault of their step or of their worker. A step that
// fails on several workers on which other steps succeed is at fault; its
// failures then say nothing of the workers.
#include <algorithm>

#include "chervilkeel/job_scheduler.h"

namespace chervilkeel {

scheduled_step& job_scheduler::StepOf(const step_name& name) {
  return jobs_.at(name.job).occurrences.at(name.occurrence).steps[name.step];
}

bool job_scheduler::MostRunsFail(const scheduled_step& step, millis now) {
  std::size_t failed = 0;
  millis longest = 0;
  for (const auto& [agent, failures] : step.failures) {
    failed += failures.runs;
    longest = std::max(longest, failures.longest);
  }
  const auto has_outlived = [&](const task_run& run) {
    return run.phase == run_phase::kRunning && now - run.active_since > longest;
  };
  const auto& tracked = step.tasks.Tracked();
  const auto outliving =
      std::count_if(tracked.begin(), tracked.end(), [&](const auto& entry) {
        const std::vector<task_run>& runs = entry.second.runs;
        return std::any_of(runs.begin(), runs.end(), has_outlived);
      });
  return failed > step.tasks.DoneCount() + static_cast<std::size_t>(outliving);
}

void job_scheduler::NoteFailure(scheduled_worker& worker,
                                const step_name& name,
                                millis worked,
                                millis now) {
  scheduled_step& step = StepOf(name);
  worker_failures& failures = step.failures[worker.agent];
  if (failures.runs++ == 0) {
    failures.first_at = now;
  }
  failures.last_at = now;
  failures.longest = std::max(failures.longest, worked);
  failing_steps_.insert(name);
  if (!step.is_at_fault) {
    worker.health.OnFailure(name, now);
  }
}

bool job_scheduler::IsAtFault(const step_name& name, millis now) {
  const scheduled_step& step = StepOf(name);
  const bool has_failed_for_long = std::any_of(
      step.failures.begin(), step.failures.end(), [now](const auto& entry) {
        return now - entry.second.first_at >= kMinFaultTime;
      });
  if (!step.most_runs_fail || !has_failed_for_long) {
    return false;
  }
  const std::string& service = jobs_.at(name.job).policy.service;
  const auto usable = static_cast<std::size_t>(
      std::count_if(workers_.begin(), workers_.end(), [&](const auto& entry) {
        return entry.second.runs_known &&
               entry.second.description.service == service;
      }));
  const std::size_t min_workers =
      std::clamp(usable, kMinWorkersOfFault, kMaxWorkersOfFault);
  if (!step.is_at_fault && step.failures.size() < min_workers) {
    return false;
  }
  std::set<step_name> failing_there;
  std::size_t failures = 0;
  std::size_t successes = 0;
  for (const auto& [agent, counted] : step.failures) {
    for (const auto& outcome : workers_.at(agent).health.LatestOutcomes()) {
      if (!outcome.counts || outcome.step == name) {
        continue;
      }
      ++(outcome.failed ? failures : successes);
      if (outcome.failed) {
        failing_there.insert(outcome.step);
      }
    }
  }
  // Few steps that fail on many workers are at fault; few workers on which
  // many steps fail are faulty themselves.
  return failures <= successes || failing_there.size() < step.failures.size();
}

void job_scheduler::JudgeFailures(millis now) {
  for (auto entry = failing_steps_.begin(); entry != failing_steps_.end();) {
    const step_name& name = *entry;
    const auto job = jobs_.find(name.job);
    if (job == jobs_.end() || IsFinal(job->second.state)) {
      entry = failing_steps_.erase(entry);
      continue;
    }
    scheduled_step& step = StepOf(name);
    std::erase_if(step.failures, [now](const auto& failures) {
      return failures.second.last_at < now - kFailureMemory;
    });
    step.most_runs_fail = MostRunsFail(step, now);
    const bool is_at_fault = IsAtFault(name, now);
    if (is_at_fault != step.is_at_fault) {
      step.is_at_fault = is_at_fault;
      Emit(is_at_fault ? "step_at_fault" : "step_not_at_fault", name.ToString(),
           "", "workers=" + std::to_string(step.failures.size()));
      // Failures that are too old to judge the step say nothing of the workers
      // any more.
      for (auto& [agent, worker] : workers_) {
        if (!step.failures.empty()) {
          worker.health.SetFailuresCount(name, !is_at_fault, now);
        }
      }
    }
    entry =
        step.failures.empty() ? failing_steps_.erase(entry) : std::next(entry);
  }
}

void job_scheduler::DelayRestart(const task_name& key,
                                 scheduled_task& task,
                                 millis worked,
                                 millis now) {
  if (worked >= kSettledTime) {
    task.early_ends = 0;
    return;
  }
  ++task.early_ends;
  if (task.early_ends < 2) {
    return;
  }
  constexpr std::uint32_t kMaxDoublings = 3;
  const millis delay = std::min(
      kFirstRestartDelay << std::min(task.early_ends - 2, kMaxDoublings),
      kMaxRestartDelay);
  task.restart_at = now + delay;
  Emit("restart_delayed", key.ToString(), "",
       "delay_ms=" + std::to_string(delay) +
           " early_ends=" + std::to_string(task.early_ends));
}

}  // namespace chervilkeel
