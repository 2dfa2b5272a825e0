// Admission control for the request slots of one executor. Short requests never
// wait behind long ones, and no request waits past its deadline.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "chervilkeel/clock.h"
#include "chervilkeel/manifest.h"

namespace chervilkeel {

// Settings of the admission control.
struct admission_options {
  std::uint32_t slots = 8;
  std::uint32_t connections = 64;       // Limit on running and queued requests.
  std::uint32_t spare_slots = 0;        // Requested beyond the demand.
  millis demand_time_constant = 3'000;  // For the mean demand.
  millis peak_half_life = 10'000;       // For the peak of short requests.
};

// A request that waits for a slot or holds one.
struct admission_ticket {
  std::uint64_t id = 0;
  request_class duration = request_class::kShort;
  double expected_ms = 50;  // Expected service time.
  millis deadline = 0;      // On the VM's monotonic clock.
};

enum class admission_verdict { kRun, kQueued, kRefused };

struct admission_answer {
  admission_verdict verdict = admission_verdict::kRefused;
  std::string reason;  // Set when refused.
};

// Ids of the queued requests that start now, and of those past their deadline.
struct admission_step {
  std::vector<std::uint64_t> start;
  std::vector<std::uint64_t> expired;
};

// The slots, with one bounded queue for short and one for long requests.
class slot_admission {
 public:
  explicit slot_admission(admission_options options);

  // Sets the number of slots that have processors; at most the configured one.
  void SetGrantedSlots(std::uint32_t granted) { granted_ = granted; }

  std::uint32_t GrantedSlots() const { return granted_; }

  // Starts, queues or refuses a new request.
  admission_answer Offer(const admission_ticket& ticket, millis now);

  // Releases the slot of a request that ended and records its service time.
  void OnRequestDone(const admission_ticket& ticket, double service_ms);

  // Removes expired requests from the queues and starts those that get a slot.
  admission_step Advance(millis now);

  // Returns the number of slots that the requests need: the current demand, or
  // its recent mean if that is higher.
  std::uint32_t WantedSlots(millis now);

  // Returns whether a control step is needed before the next regular one, since
  // short requests wait for slots that batch tasks hold and that the last step
  // did not ask for. If that step could not free enough slots, no further one
  // is requested for the same demand.
  bool NeedsControlStep() const {
    return !short_queue_.empty() && granted_ < options_.slots &&
           wanted_ < options_.slots && Demand() > wanted_;
  }

  // Returns the number of requests that hold or wait for a slot, divided by the
  // number of slots. Exceeds 1 if there are more requests than slots.
  double SlotsInUse() const {
    return static_cast<double>(Demand()) / options_.slots;
  }

  // Returns the expected queueing time of a new request in milliseconds.
  double ExpectedWaitMs(request_class duration) const;

  std::uint32_t Busy() const { return busy_short_ + busy_long_; }
  std::size_t Queued(request_class duration) const {
    return QueueOf(duration).size();
  }

 private:
  std::deque<admission_ticket>& QueueOf(request_class duration) {
    return duration == request_class::kShort ? short_queue_ : long_queue_;
  }
  const std::deque<admission_ticket>& QueueOf(request_class duration) const {
    return duration == request_class::kShort ? short_queue_ : long_queue_;
  }
  double& MeanServiceMs(request_class duration) {
    return duration == request_class::kShort ? short_ms_ : long_ms_;
  }
  double MeanServiceMs(request_class duration) const {
    return duration == request_class::kShort ? short_ms_ : long_ms_;
  }
  // Returns the number of requests that hold a slot or wait for one.
  std::size_t Demand() const {
    return Busy() + short_queue_.size() + long_queue_.size();
  }
  bool HasFreeSlot(request_class duration) const;
  std::uint32_t SlotsReservedForShort() const;
  void OccupySlot(request_class duration);
  void Advance(request_class duration, millis now, admission_step& step);
  void UpdateDemand(millis now);

  const admission_options options_;
  std::uint32_t granted_ = 0;
  std::uint32_t wanted_ = 0;  // In the last control step.
  std::uint32_t busy_short_ = 0;
  std::uint32_t busy_long_ = 0;
  std::deque<admission_ticket> short_queue_;
  std::deque<admission_ticket> long_queue_;
  double short_ms_ = 50;  // Mean service times.
  double long_ms_ = 1000;
  bool short_measured_ = false;
  bool long_measured_ = false;
  double short_peak_ = 0;   // Decaying peak of short requests, in slots.
  double demand_mean_ = 0;  // Of all requests, in slots.
  millis demand_updated_at_ = 0;
};

}  // namespace chervilkeel
