// What operators are told of stalled work: orders whose outcome is not known,
// and jobs that wait without runs.
#include <algorithm>

#include "chervilkeel/job_scheduler.h"

#include "chervilkeel/name_table.h"

namespace chervilkeel {

const char* NameOf(start_obstacle obstacle) {
  return NameIn(kStartObstacleNames, obstacle);
}

overdue_orders job_scheduler::FindOverdueOrders(millis now) {
  overdue_orders found;
  for (const auto& [agent, worker] : workers_) {
    for (const task_name& key : worker.tasks) {
      const scheduled_task* task = FindTask(key);
      if (task == nullptr) {
        continue;
      }
      for (const task_run& run : task->runs) {
        const bool is_stop = run.phase == run_phase::kStopping;
        const millis age =
            now - (is_stop ? run.stop_ordered_at : run.active_since);
        if (run.agent != agent || run.phase == run_phase::kRunning ||
            age < kOverdueTime) {
          continue;
        }
        ++(is_stop ? found.stops : found.starts);
        if (age > found.oldest_age) {
          found.oldest = key;
          found.worker = agent;
          found.oldest_age = age;
        }
      }
    }
  }
  return found;
}

std::optional<task_name> job_scheduler::FirstWaitingTask(
    const scheduled_job& job) const {
  for (const auto& [number, occurrence] : job.occurrences) {
    for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
      const scheduled_step& step = occurrence.steps[s];
      const auto first = step.ready ? step.tasks.FirstNotDone() : std::nullopt;
      if (first) {
        return task_name{job.record.id, number, s, *first};
      }
    }
  }
  return std::nullopt;
}

std::optional<idle_job> job_scheduler::FindIdleJob(millis now) {
  std::optional<task_name> longest;
  millis ready_since = now - kOverdueTime;
  for (const std::string& id : active_jobs_) {
    const scheduled_job& job = jobs_.at(id);
    const auto key = HasRuns(job) ? std::nullopt : FirstWaitingTask(job);
    const millis since = key ? TaskCopy(*key).ready_since : now;
    if (key && since <= ready_since) {
      longest = key;
      ready_since = since;
    }
  }
  if (!longest) {
    return std::nullopt;
  }
  return ExplainWait(jobs_.at(longest->job), *longest, now);
}

idle_job job_scheduler::ExplainWait(scheduled_job& job,
                                    const task_name& key,
                                    millis now) {
  const scheduled_task task = TaskCopy(key);
  const job_step& step = job.record.spec.steps[key.step];
  idle_job found;
  found.task = key;
  found.waited = now - task.ready_since;
  found.is_suspect = task.is_suspect;
  found.awaits_former_workers =
      task.possibly_running && !unreported_members_.empty();
  found.restart_in = std::max<millis>(task.restart_at - now, 0);
  for (auto& [agent, worker] : workers_) {
    std::optional<start_obstacle> obstacle =
        FindObstacle(worker, job, key, now);
    if (!obstacle && !task.is_suspect && IsReserved(worker, now)) {
      obstacle = start_obstacle::kReserved;
    }
    if (!obstacle && IsHeld(worker, job, key, now)) {
      obstacle = start_obstacle::kHeld;
    }
    if (!obstacle && step.filler && found.waited < MaxWaitForPace(job) &&
        PaceAlongsideServices(worker, step, now) < kMinStartPace) {
      obstacle = start_obstacle::kPace;
    }
    if (obstacle) {
      ++found.obstacles[*obstacle];
    } else {
      ++found.startable_workers;
    }
  }
  runs_cache_.clear();
  return found;
}

}  // namespace chervilkeel
