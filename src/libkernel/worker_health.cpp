#include "chervilkeel/worker_health.h"

#include <algorithm>

namespace chervilkeel {

void worker_health::Add(bool failed, millis now) {
  failed_.push_back(failed);
  if (failed_.size() > kWindow) {
    failed_.pop_front();
  }
  const auto failures = static_cast<std::size_t>(
      std::count(failed_.begin(), failed_.end(), true));
  if (!suspect_ && failures >= kFailuresToSuspect &&
      2 * failures > failed_.size()) {
    BecomeSuspect(now);
  }
}

void worker_health::BecomeSuspect(millis now) {
  suspect_ = true;
  probe_interval_ = kFirstProbe;
  next_probe_ = now + probe_interval_;
}

void worker_health::OnSuccess(millis now) {
  if (suspect_) {
    suspect_ = false;
    failed_.clear();
  }
  Add(false, now);
}

void worker_health::OnFailure(millis now) {
  Add(true, now);
}

void worker_health::OnUnresponsive(millis now) {
  if (!suspect_) {
    BecomeSuspect(now);
  }
}

void worker_health::OnProbe(millis now) {
  probe_interval_ = std::min(2 * probe_interval_, kLongestProbe);
  next_probe_ = now + probe_interval_;
}

double worker_health::Penalty() const {
  if (failed_.empty()) {
    return 0;
  }
  return static_cast<double>(std::count(failed_.begin(), failed_.end(), true)) /
         static_cast<double>(failed_.size());
}

}  // namespace chervilkeel
