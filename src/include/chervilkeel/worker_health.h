// Tracks the health of a worker by the outcomes of its latest runs.
#pragma once

#include <cstdint>
#include <deque>

#include "chervilkeel/clock.h"

namespace chervilkeel {

// The latest run outcomes of one worker. A worker on which most runs fail, or
// that is unresponsive, is suspect: it gets a single probe task at a time, at
// increasing intervals, until a run shows that it is sound again.
class worker_health {
 public:
  void OnSuccess(millis now);
  void OnFailure(millis now);

  // Records that the worker did not answer orders or its runs made no progress.
  void OnUnresponsive(millis now);

  // Records that a run that was started then makes progress. That clears a
  // worker that was unresponsive; runs that fail do so after some progress.
  void OnProgress(millis run_started);

  // Records that a service that was started then is at work. It is never done,
  // so being at work is its success.
  void OnServiceAtWork(millis run_started);

  bool IsSuspect() const { return suspicion_ != suspicion::kNone; }

  // Returns whether the worker may get a task now.
  bool MayStart(millis now) const { return !IsSuspect() || now >= next_probe_; }

  // Records that a suspect worker got a task.
  void OnProbe(millis now);

  // Returns the fraction of the latest runs that failed; lower is better.
  double FailureRatio() const;

 private:
  enum class suspicion { kNone, kFailures, kUnresponsive };

  void RecordOutcome(bool failed, millis now);
  void BecomeSuspect(suspicion reason, millis now);

  static constexpr std::size_t kMaxOutcomes = 8;
  static constexpr std::size_t kMinFailuresForSuspect = 3;
  static constexpr millis kFirstProbeDelay = 1'000;  // Once suspect.
  static constexpr millis kMaxProbeInterval = 4'000;

  std::deque<bool> recent_failures_;
  suspicion suspicion_ = suspicion::kNone;
  millis suspect_since_ = 0;
  millis next_probe_ = 0;
  millis probe_interval_ = kFirstProbeDelay;
};

}  // namespace chervilkeel
