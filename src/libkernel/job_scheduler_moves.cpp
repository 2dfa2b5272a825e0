// Moves of runs that are stuck or throttled: they are stopped, so that their
// tasks start on another worker.
#include <algorithm>
#include <string>

#include "chervilkeel/job_scheduler.h"

namespace chervilkeel {

namespace {

// Time without progress, in ms, after which a run is stopped and rescheduled.
constexpr millis kStuckTimeout = 2'000;

// Each scan looks for throttled runs anew, so the rest follow in later ones.
constexpr int kMaxMovesPerScan = 4;

std::string PercentOf(double fraction) {
  return std::to_string(static_cast<int>(100 * fraction));
}

movable_run MovableRunOf(const scheduled_worker& worker,
                         const job_step& step,
                         const scheduled_task& task,
                         const task_run& run,
                         millis now) {
  movable_run movable;
  movable.expected = step.expected;
  movable.percent = run.percent;
  movable.listing_age = std::max<millis>(now - worker.listed_at, 0);
  movable.has_checkpoints = step.checkpoints;
  movable.pace = run.pace / 100.0;
  movable.mean_pace = MeanPace(run.throttling_counted_until - run.active_since,
                               run.throttling_loss);
  movable.time_at_work = now - run.active_since;
  movable.throttling_loss = run.throttling_loss;
  movable.moves = task.moves;
  return movable;
}

// Returns what a decision on a move was based on, for the log.
std::string DetailOf(const move_times& times,
                     const movable_run& run,
                     double pace_elsewhere) {
  const move_estimate estimate = EstimateMove(times, run, pace_elsewhere);
  return " cost_ms=" + std::to_string(estimate.cost) +
         " gain_ms=" + std::to_string(estimate.gain) +
         " required_gain_ms=" + std::to_string(estimate.required_gain) +
         " progress_percent=" + std::to_string(run.percent) +
         " pace_percent=" + PercentOf(run.pace) +
         " mean_pace_percent=" + PercentOf(run.mean_pace) +
         " new_pace_percent=" + PercentOf(pace_elsewhere) +
         " listed_age_ms=" + std::to_string(run.listing_age) +
         " moves=" + std::to_string(run.moves);
}

}  // namespace

// Stops runs that the lists of their workers show without progress, so that
// they are restarted on another worker.
void job_scheduler::MoveStuckTasks(millis now) {
  for (auto& [agent, worker] : workers_) {
    for (const task_name& key : worker.tasks) {
      scheduled_task* task = FindTask(key);
      const job_step& step = jobs_.at(key.job).record.spec.steps[key.step];
      for (task_run& run : task->runs) {
        if (run.agent != agent || run.phase != run_phase::kRunning ||
            worker.listed_at - run.percent_changed_at < kStuckTimeout ||
            run.pace < 100 || (step.service && run.percent >= 100) ||
            step.gang) {
          continue;
        }
        worker.health.OnUnresponsive(now);
        task->failed_on.push_back(agent);
        OrderStop(key, run, "task made no progress within the timeout");
      }
    }
  }
}

// Moves throttled best-effort tasks to workers where they run faster: a job
// ends only with its slowest task.
void job_scheduler::MoveThrottledTasks(millis now) {
  int moves = 0;
  for (auto& [agent, worker] : workers_) {
    if (worker.best_effort_milli_processors == 0 ||
        worker.service_milli_processors == 0) {
      continue;
    }
    for (const task_name& key : worker.tasks) {
      scheduled_task* task = FindTask(key);
      if (task == nullptr || task->runs.size() != 1) {
        continue;
      }
      scheduled_job& job = jobs_.at(key.job);
      const job_step& step = job.record.spec.steps[key.step];
      task_run& run = task->runs.front();
      if (!step.filler || run.phase != run_phase::kRunning) {
        continue;
      }
      const movable_run movable = MovableRunOf(worker, step, *task, run, now);
      if (!IsThrottled(movable)) {
        continue;
      }
      // No worker is looked for if a move would not even be worth its cost to
      // one at full speed.
      if (!IsMoveWorthwhile(options_.moves, movable, 1.0)) {
        DeclineMove(key, run, movable, nullptr, 1.0);
        continue;
      }
      const scheduled_worker* new_worker = ChooseWorker(job, key, *task, now);
      if (new_worker == nullptr) {
        continue;
      }
      const double new_pace = PaceAlongsideServices(*new_worker, step, now);
      if (!IsMoveWorthwhile(options_.moves, movable, new_pace)) {
        DeclineMove(key, run, movable, new_worker, new_pace);
        continue;
      }
      OrderStop(key, run, "another worker allows a higher pace",
                " new_worker=" + new_worker->agent +
                    DetailOf(options_.moves, movable, new_pace));
      ++job.moves;
      ++task->moves;
      ++move_counts_.made;
      if (++moves == kMaxMovesPerScan) {
        return;
      }
    }
  }
}

// Notes that a move is not worth its cost, once for each run.
void job_scheduler::DeclineMove(const task_name& key,
                                task_run& run,
                                const movable_run& movable,
                                const scheduled_worker* new_worker,
                                double new_pace) {
  if (run.is_move_declined || !options_.moves.AreKnown()) {
    return;
  }
  run.is_move_declined = true;
  ++move_counts_.declined;
  Emit("move_declined", key.ToString(), run.agent,
       "run=" + std::to_string(run.run) +
           " new_worker=" + (new_worker != nullptr ? new_worker->agent : "-") +
           DetailOf(options_.moves, movable, new_pace));
}

}  // namespace chervilkeel
