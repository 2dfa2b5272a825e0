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
  if (step.failures.empty()) {
    return false;
  }
  millis longest = 0;
  for (const failed_run& failure : step.failures) {
    longest = std::max(longest, failure.worked);
  }
  const auto has_outlived = [&](const task_run& run) {
    return run.phase == run_phase::kRunning && now - run.active_since > longest;
  };
  const auto outliving = std::count_if(
      step.tasks.begin(), step.tasks.end(), [&](const scheduled_task& task) {
        return std::any_of(task.runs.begin(), task.runs.end(), has_outlived);
      });
  return step.failures.size() > step.done + static_cast<std::size_t>(outliving);
}

void job_scheduler::NoteFailure(scheduled_worker& worker,
                                const step_name& name,
                                millis worked,
                                millis now) {
  scheduled_step& step = StepOf(name);
  step.failures.push_back({worker.agent, now, worked});
  if (step.failures.size() > kMaxKnownFailures) {
    step.failures.pop_front();
  }
  failing_steps_.insert(name);
  if (!step.is_at_fault) {
    worker.health.OnFailure(name, now);
  }
}

bool job_scheduler::IsAtFault(const step_name& name, millis now) {
  const scheduled_step& step = StepOf(name);
  if (!MostRunsFail(step, now) ||
      now - step.failures.front().at < kMinFaultTime) {
    return false;
  }
  const std::string& service = jobs_.at(name.job).policy.service;
  const auto usable = static_cast<std::size_t>(
      std::count_if(workers_.begin(), workers_.end(), [&](const auto& entry) {
        return entry.second.runs_known &&
               entry.second.description.service == service;
      }));
  std::set<std::string> agents;
  for (const failed_run& failure : step.failures) {
    agents.insert(failure.agent);
  }
  if (agents.size() <
      std::clamp(usable, kMinWorkersOfFault, kMaxWorkersOfFault)) {
    return false;
  }
  std::set<step_name> failing_there;
  std::size_t failures = 0;
  std::size_t successes = 0;
  for (const std::string& agent : agents) {
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
  return failures <= successes || failing_there.size() < agents.size();
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
    while (!step.failures.empty() &&
           step.failures.front().at < now - kFailureMemory) {
      step.failures.pop_front();
    }
    if (step.failures.empty()) {
      step.is_at_fault = false;
      entry = failing_steps_.erase(entry);
      continue;
    }
    if (IsAtFault(name, now) != step.is_at_fault) {
      step.is_at_fault = !step.is_at_fault;
      for (auto& [agent, worker] : workers_) {
        worker.health.SetFailuresCount(name, !step.is_at_fault, now);
      }
      placement_requested_ = true;
      Emit(step.is_at_fault ? "step_at_fault" : "step_not_at_fault",
           name.ToString(), "",
           "failures=" + std::to_string(step.failures.size()));
    }
    ++entry;
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
