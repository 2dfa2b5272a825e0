// What it costs to move a throttled best-effort task to another worker, and
// what the task gains by it. Pure functions of what the caller passes in.
#pragma once

#include <cstdint>

#include "chervilkeel/clock.h"

namespace chervilkeel {

// A best-effort task is only moved to a worker that lets it run above this
// fraction of full speed.
inline constexpr double kUnthrottledPace = 0.85;

// The times of a deployment on which the cost of a move depends, in ms.
struct move_times {
  millis stop = 0;                 // The longest stop of a run.
  millis restore = 0;              // From a start until the work goes on.
  millis checkpoint_interval = 0;  // Between two checkpoints of a run.

  // While one of them is not known (0), the cost of a move is not estimated.
  bool AreKnown() const {
    return stop > 0 && restore > 0 && checkpoint_interval > 0;
  }
};

// What is known of a best-effort run. Paces are fractions of full speed.
struct movable_run {
  millis expected = 0;        // Of the whole task at full speed.
  std::uint32_t percent = 0;  // Progress as last listed.
  millis listing_age = 0;     // Of the list that showed the progress.
  bool has_checkpoints = false;
  double pace = 1.0;           // As last ordered.
  double mean_pace = 1.0;      // See MeanPace().
  millis time_at_work = 0;     // Since the start or the adoption of the run.
  millis throttling_loss = 0;  // Working time lost in it to paces below 1.
  std::uint32_t moves = 0;     // Earlier moves of the task.
};

// Times in ms.
struct move_estimate {
  // Between the order to stop and the time at which the task has come as far
  // again on the other worker.
  millis cost = 0;
  // How much earlier the work that is left ends at the other worker's pace.
  millis gain = 0;
  // A move is worth its cost if it gains more than this.
  millis required_gain = 0;
};

// Moves that were made and moves that were declined for their cost.
struct move_counts {
  std::uint64_t made = 0;
  std::uint64_t declined = 0;  // Each run counts once.
};

// Returns the pace to expect of a run that has lost so much of its time at work
// to throttling. One second at full speed is added to that time, so that the
// first pause of a young run alone predicts little.
double MeanPace(millis time_at_work, millis throttling_loss);

// Whether a run is throttled now and has lost enough time for a move to be
// considered.
bool IsThrottled(const movable_run& run);

// Estimates the move of a run to a worker that allows a pace. If the times are
// not known, the cost is taken for 300 ms and no gain is required.
move_estimate EstimateMove(const move_times& times,
                           const movable_run& run,
                           double pace_elsewhere);

// Whether to move a throttled run to a worker that allows a pace. If the times
// are not known, any run moves that loses little work by it.
bool IsMoveWorthwhile(const move_times& times,
                      const movable_run& run,
                      double pace_elsewhere);

}  // namespace chervilkeel
