#include "chervilkeel/move_cost.h"

#include <algorithm>

namespace chervilkeel {

namespace {

// A run whose pace is at most kThrottledPace and that has lost more than
// kMaxTimeLost (ms) is considered for a move.
constexpr double kThrottledPace = 0.8;
constexpr millis kMaxTimeLost = 300;
constexpr millis kMinTimeBetweenMoves = 800;

// While the times of the deployment are not known, a move is taken to cost this
// many ms, and a task without checkpoints is moved only while it has done less
// than kMaxLostPercent of its work.
constexpr millis kAssumedCost = 300;
constexpr std::uint32_t kMaxLostPercent = 30;

// Way of an order to an executor or of its outcome to the owner, in ms. A move
// takes three of them: the stop, the news of its end and the start.
constexpr millis kMessageDelay = 50;
constexpr millis kMessagesOfMove = 3;

// The gain has to exceed the cost by this factor: the work left is an estimate,
// and the pace at the other worker may fall as well.
constexpr double kMargin = 1.5;

// Each earlier move of the task doubles the required gain, so that a task does
// not follow the swings of services from worker to worker. Beyond this number
// it no longer grows.
constexpr std::uint32_t kMaxDoublings = 10;

// A task that has been moved stays for one swing of the services beside it, in
// ms; those of the measured deployments take 10 s. With a doubled gain alone,
// or with half of this time, a task moves twice in a swing between two workers
// whose services swing in turn.
constexpr millis kMinStay = 10'000;

// Time at full speed that MeanPace() adds, in ms.
constexpr millis kTimeAtFullSpeed = 1'000;

// Bounds the expected time of a run that has been paused ever since it started.
constexpr double kMinExpectedPace = 0.05;

// Returns the part of a task that was done at the time of the last list, in ms
// at full speed.
double WorkDone(const movable_run& run) {
  return static_cast<double>(run.expected) *
         static_cast<double>(std::min(run.percent, 100U)) / 100.0;
}

// Returns the expected work that is lost by a stop, in ms at full speed.
double LostWork(const move_times& times, const movable_run& run) {
  const double done =
      WorkDone(run) + static_cast<double>(run.listing_age) * run.pace;
  return run.has_checkpoints
             ? std::min(static_cast<double>(times.checkpoint_interval) / 2,
                        done)
             : done;
}

}  // namespace

double MeanPace(millis time_at_work, millis throttling_loss) {
  const auto time =
      static_cast<double>(std::max<millis>(time_at_work, 0) + kTimeAtFullSpeed);
  return std::clamp(1.0 - static_cast<double>(throttling_loss) / time, 0.0,
                    1.0);
}

bool IsThrottled(const movable_run& run) {
  return run.pace <= kThrottledPace && run.throttling_loss > kMaxTimeLost &&
         run.time_at_work > kMinTimeBetweenMoves;
}

move_estimate EstimateMove(const move_times& times,
                           const movable_run& run,
                           double pace_elsewhere) {
  const double left =
      std::max(static_cast<double>(run.expected) - WorkDone(run) -
                   static_cast<double>(run.listing_age) * run.pace,
               0.0);
  // The pace now tells of the next seconds and the mean of what follows. With
  // the mean alone, tasks that have worked at full speed are moved too late.
  const double pace =
      std::max({run.pace, (run.pace + run.mean_pace) / 2, kMinExpectedPace});
  const double new_pace = std::max(pace_elsewhere, kMinExpectedPace);
  move_estimate estimate;
  estimate.gain = static_cast<millis>(left / pace - left / new_pace);
  if (!times.AreKnown()) {
    estimate.cost = kAssumedCost;
    return estimate;
  }
  estimate.cost = times.stop + kMessagesOfMove * kMessageDelay +
                  (run.has_checkpoints ? times.restore : 0) +
                  static_cast<millis>(LostWork(times, run) / new_pace);
  const double factor =
      kMargin * static_cast<double>(1U << std::min(run.moves, kMaxDoublings));
  estimate.required_gain =
      static_cast<millis>(factor * static_cast<double>(estimate.cost));
  return estimate;
}

bool IsMoveWorthwhile(const move_times& times,
                      const movable_run& run,
                      double pace_elsewhere) {
  if (pace_elsewhere <= kUnthrottledPace) {
    return false;
  }
  if (!times.AreKnown()) {
    return run.has_checkpoints || run.percent < kMaxLostPercent;
  }
  if (run.moves > 0 && run.time_at_work < kMinStay) {
    return false;
  }
  const move_estimate estimate = EstimateMove(times, run, pace_elsewhere);
  return estimate.gain > estimate.required_gain;
}

}  // namespace chervilkeel
