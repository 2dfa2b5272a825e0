// Tracks the health of a worker by the outcomes of its latest runs.
#pragma once

#include <cstdint>
#include <deque>

#include "chervilkeel/clock.h"
#include "chervilkeel/job.h"

namespace chervilkeel {

// The latest run outcomes of one worker. A worker on which most runs fail, or
// that is unresponsive, is suspect: it gets a single probe task at a time, at
// increasing intervals, until a run shows that it is sound again. Outcomes are
// kept with the step of their run, as a failure may be the step's own fault.
class worker_health {
 public:
  void OnSuccess(const step_name& step, millis now);
  void OnFailure(const step_name& step, millis now);

  // Counts the failures of a step against the worker, or stops doing so, and
  // judges the worker by what counts then.
  void SetFailuresCount(const step_name& step, bool count, millis now);

  // Records that the worker did not answer orders or its runs made no progress.
  void OnUnresponsive(millis now);

  // Records that a run that was started then makes progress. That clears a
  // worker that was unresponsive; runs that fail do so after some progress.
  void OnProgress(millis run_started);

  // Records that a service that was started then is at work. It is never done,
  // so being at work is its success.
  void OnServiceAtWork(millis run_started);

  bool IsSuspect() const { return suspicion_ != suspicion::kNone; }

  // Returns whether the worker may get a task now. A step most of whose runs
  // fail leaves the probe to other steps for kProbeGrace.
  bool MayStart(millis now, bool most_runs_fail) const {
    return !IsSuspect() ||
           now >= next_probe_ + (most_runs_fail ? kProbeGrace : 0);
  }

  // Records that a suspect worker got a task.
  void OnProbe(millis now);

  // Returns the fraction of the latest runs that failed; lower is better.
  double FailureRatio() const;

  struct outcome {
    step_name step;
    bool failed = false;
    bool counts = true;
  };
  const std::deque<outcome>& LatestOutcomes() const { return outcomes_; }

 private:
  struct tally {
    std::size_t successes = 0;
    std::size_t failures = 0;
  };

  enum class suspicion { kNone, kFailures, kUnresponsive };

  void RecordOutcome(const step_name& step, bool failed, millis now);
  // Returns the latest outcomes that count.
  tally CountOutcomes() const;
  bool MostRunsFail() const;
  void BecomeSuspect(suspicion reason, millis now);

  static constexpr std::size_t kMaxOutcomes = 8;
  static constexpr std::size_t kMinFailuresForSuspect = 3;
  static constexpr millis kFirstProbeDelay = 1'000;  // Once suspect.
  static constexpr millis kMaxProbeInterval = 4'000;
  static constexpr millis kProbeGrace = 500;

  std::deque<outcome> outcomes_;
  suspicion suspicion_ = suspicion::kNone;
  millis suspect_since_ = 0;
  millis next_probe_ = 0;
  millis probe_interval_ = kFirstProbeDelay;
};

}  // namespace chervilkeel
