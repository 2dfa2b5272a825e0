// A task as the job scheduler tracks it, and its runs.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "chervilkeel/clock.h"
#include "chervilkeel/worker_report.h"

namespace chervilkeel {

// Phase of a run, as far as the scheduler knows.
enum class run_phase {
  kOrdered,   // The start was ordered and its outcome is not known yet.
  kRunning,   // The executor has confirmed or listed the run.
  kStopping,  // A stop was ordered.
};

// One execution attempt of a task.
struct task_run {
  std::string agent;
  executor_boot boot;
  std::uint64_t run = 0;
  run_phase phase = run_phase::kOrdered;
  // Whether a list or the agent has told that the executor has the run.
  bool is_confirmed = false;
  // Bytes of the order to start it that its worker's window counts; 0 once the
  // outcome is known.
  std::size_t open_start_bytes = 0;
  // Whether the task has begun, by a list, an end or the answer to the order.
  bool has_begun = false;
  // The last time, by the agent's clock, at which it knew that the run had been
  // there. A list made before says nothing about what became of the run.
  millis seen_at = 0;
  // Whether a former process of the agent may have tried the start.
  bool was_tried = false;
  // The last tick before the first order to stop; 0 while there was none.
  millis stop_ordered_at = 0;
  // The last list at which the agent had not taken that order.
  millis stop_untaken_at = 0;
  // When a list after the order to stop showed the run first, or when the stop
  // was ordered again; 0 while there was no such list.
  millis listed_since_stop = 0;
  // Time of the order, of the confirmed start or of the adoption, whichever was
  // last.
  millis active_since = 0;
  // Estimated time at which the executor began the work.
  millis estimated_start = 0;
  // Progress as last reported.
  std::uint32_t percent = 0;
  // When the progress or the pace changed last.
  millis percent_changed_at = 0;
  // Speed limit as last ordered, in percent, and the one before it.
  std::uint32_t pace = 100;
  std::uint32_t previous_pace = 100;
  // Working time lost to paces below 100, and up to when it has been counted.
  millis throttling_loss = 0;
  millis throttling_counted_until = 0;
  millis pace_changed_at = 0;
  // Whether a move of the run was found not to be worth its cost.
  bool is_move_declined = false;
  // Load as last reported. A service reports its tail latency in ms.
  std::int64_t load = 0;
  // Tail latency of a service in the last list of runs, in ms.
  double reported_tail_latency = 0;
  // The same without the smoothing by the executor, in ms.
  double unsmoothed_tail_latency = 0;
  // When the executor made that list.
  millis load_listed_at = 0;
  // Since when a service has been over its target; 0 while it is not.
  millis over_target_since = 0;
  std::string checkpoint;
};

// A task of a step in one occurrence of its job.
struct scheduled_task {
  bool done = false;
  // Set if a scheduler of an earlier epoch may have started the task. It is
  // then not started before all workers of that scheduler have reported.
  bool possibly_running = false;
  std::set<std::uint64_t> failed_runs;
  // Unproven runs that may have crashed their executors, since a run of the
  // task was last proven.
  std::set<std::uint64_t> crashed_runs;
  // Proven runs that may have crashed their executors.
  std::set<std::uint64_t> late_crashed_runs;
  // The highest run that has cleared the task; crashes of runs up to it are
  // settled.
  std::uint64_t proven_run = 0;
  // Unproven runs on workers that fell silent: whether their executors have
  // crashed is not known yet.
  std::set<std::uint64_t> doubtful_runs;
  // Set if the task may crash its next executor, too; it then starts only as a
  // trial. See job_scheduler_crashes.cpp.
  bool is_suspect = false;
  std::uint64_t highest_run = 0;
  std::string checkpoint;
  std::vector<task_run> runs;
  std::vector<std::string> failed_on;  // Agents.
  std::uint32_t moves = 0;  // Runs stopped for a worker that allows more.
  millis ready_since = 0;
  // Number of runs in a row of a service that ended early, and until when it is
  // not started again.
  std::uint32_t early_ends = 0;
  millis restart_at = 0;
};

}  // namespace chervilkeel
