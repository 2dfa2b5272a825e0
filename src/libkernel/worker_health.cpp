#include "chervilkeel/worker_health.h"

#include <algorithm>

namespace chervilkeel {

void worker_health::RecordOutcome(bool failed, millis now) {
  recent_failures_.push_back(failed);
  if (recent_failures_.size() > kMaxOutcomes) {
    recent_failures_.pop_front();
  }
  const auto failures = static_cast<std::size_t>(
      std::count(recent_failures_.begin(), recent_failures_.end(), true));
  if (!IsSuspect() && failures >= kMinFailuresForSuspect &&
      2 * failures > recent_failures_.size()) {
    BecomeSuspect(suspicion::kFailures, now);
  }
}

void worker_health::BecomeSuspect(suspicion reason, millis now) {
  suspicion_ = reason;
  suspect_since_ = now;
  probe_interval_ = kFirstProbeDelay;
  next_probe_ = now + probe_interval_;
}

void worker_health::OnSuccess(millis now) {
  if (IsSuspect()) {
    suspicion_ = suspicion::kNone;
    recent_failures_.clear();
  }
  RecordOutcome(false, now);
}

void worker_health::OnFailure(millis now) {
  RecordOutcome(true, now);
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
    recent_failures_.clear();
  }
}

void worker_health::OnProbe(millis now) {
  probe_interval_ = std::min(2 * probe_interval_, kMaxProbeInterval);
  next_probe_ = now + probe_interval_;
}

double worker_health::FailureRatio() const {
  if (recent_failures_.empty()) {
    return 0;
  }
  return static_cast<double>(std::count(recent_failures_.begin(),
                                        recent_failures_.end(), true)) /
         static_cast<double>(recent_failures_.size());
}

}  // namespace chervilkeel
