#include "chervilkeel/worker_health.h"

#include <algorithm>

namespace chervilkeel {

void worker_health::RecordOutcome(const step_name& step,
                                  bool failed,
                                  millis now) {
  outcomes_.push_back({step, failed, true});
  if (outcomes_.size() > kMaxOutcomes) {
    outcomes_.pop_front();
  }
  if (!IsSuspect() && MostRunsFail()) {
    BecomeSuspect(suspicion::kFailures, now);
  }
}

bool worker_health::MostRunsFail() const {
  const tally counted = CountOutcomes();
  return counted.failures >= kMinFailuresForSuspect &&
         counted.failures > counted.successes;
}

void worker_health::BecomeSuspect(suspicion reason, millis now) {
  suspicion_ = reason;
  suspect_since_ = now;
  probe_interval_ = kFirstProbeDelay;
  next_probe_ = now + probe_interval_;
}

void worker_health::OnSuccess(const step_name& step, millis now) {
  if (IsSuspect()) {
    suspicion_ = suspicion::kNone;
    outcomes_.clear();
  }
  RecordOutcome(step, false, now);
}

void worker_health::OnFailure(const step_name& step, millis now) {
  RecordOutcome(step, true, now);
}

void worker_health::SetFailuresCount(const step_name& step,
                                     bool count,
                                     millis now) {
  for (outcome& entry : outcomes_) {
    if (entry.failed && entry.step == step) {
      entry.counts = count;
    }
  }
  if (suspicion_ == suspicion::kFailures && !MostRunsFail()) {
    suspicion_ = suspicion::kNone;
  } else if (!IsSuspect() && MostRunsFail()) {
    BecomeSuspect(suspicion::kFailures, now);
  }
}

worker_health::tally worker_health::CountOutcomes() const {
  tally counted;
  for (const outcome& entry : outcomes_) {
    if (entry.counts) {
      ++(entry.failed ? counted.failures : counted.successes);
    }
  }
  return counted;
}

void worker_health::OnUnresponsive(millis now) {
  if (!IsSuspect()) {
    BecomeSuspect(suspicion::kUnresponsive, now);
  }
}

void worker_health::OnProgress(millis run_started) {
  if (suspicion_ == suspicion::kUnresponsive && run_started > suspect_since_) {
    suspicion_ = suspicion::kNone;
  }
}

void worker_health::OnServiceAtWork(millis run_started) {
  if (IsSuspect() && run_started > suspect_since_) {
    suspicion_ = suspicion::kNone;
    outcomes_.clear();
  }
}

void worker_health::OnProbe(millis now) {
  probe_interval_ = std::min(2 * probe_interval_, kMaxProbeInterval);
  next_probe_ = now + probe_interval_;
}

double worker_health::FailureRatio() const {
  const tally counted = CountOutcomes();
  const std::size_t all = counted.failures + counted.successes;
  return all == 0
             ? 0
             : static_cast<double>(counted.failures) / static_cast<double>(all);
}

}  // namespace chervilkeel
