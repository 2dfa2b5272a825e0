// Judges a worker by how its runs end, against what the others show.
#pragma once

#include <cstdint>
#include <deque>

#include "chervilkeel/clock.h"

namespace chervilkeel {

// The latest outcomes of one worker. A worker on which most runs fail is
// suspect: it gets one task at a time, at growing distances, until one
// succeeds.
class worker_health {
 public:
  void OnSuccess(millis now);
  void OnFailure(millis now);

  // It did not answer orders or its runs stood still.
  void OnUnresponsive(millis now);

  bool IsSuspect() const { return suspect_; }

  // True when a task may be given to it.
  bool MayStart(millis now) const { return !suspect_ || now >= next_probe_; }

  // A task was given to a suspect.
  void OnProbe(millis now);

  // A lower figure is a better worker; 0 without failures.
  double Penalty() const;

 private:
  void Add(bool failed, millis now);
  void BecomeSuspect(millis now);

  static constexpr std::size_t kWindow = 8;  // Outcomes remembered.
  static constexpr std::size_t kFailuresToSuspect = 3;
  static constexpr millis kFirstProbe = 1'000;    // After becoming suspect.
  static constexpr millis kLongestProbe = 4'000;  // Between two probes.

  std::deque<bool> failed_;
  bool suspect_ = false;
  millis next_probe_ = 0;
  millis probe_interval_ = kFirstProbe;
};

}  // namespace chervilkeel
