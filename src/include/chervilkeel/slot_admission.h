// Admits requests to the slots of one executor, so that short ones never wait
// behind long ones and nothing waits past its deadline.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "chervilkeel/clock.h"
#include "chervilkeel/manifest.h"

namespace chervilkeel {

// The settings of admission.
struct admission_options {
  std::uint32_t slots = 8;
  std::uint32_t connections = 64;  // Requests running or queued, at most.
  std::uint32_t margin = 0;        // Slots wanted beyond learned demand.
  millis demand_memory = 3'000;    // How long demand counts in its mean.
  millis peak_memory = 10'000;     // Half-life of a learned peak.
};

// A request that waits for a slot or holds one.
struct admission_ticket {
  std::uint64_t id = 0;
  request_class duration = request_class::kShort;
  double expected_ms = 50;  // Of service.
  millis deadline = 0;      // On the VM's monotonic clock.
};

enum class admission_verdict { kRun, kQueued, kRefused };

struct admission_answer {
  admission_verdict verdict = admission_verdict::kRefused;
  std::string reason;  // Set when refused.
};

// Requests that a change of state lets start, and those too late to start.
struct admission_step {
  std::vector<std::uint64_t> start;
  std::vector<std::uint64_t> expired;
};

// The slots and the two bounded queues before them.
class slot_admission {
 public:
  explicit slot_admission(admission_options options);

  // Sets how many slots have processors, from 0 to the configured number.
  void SetGrantedSlots(std::uint32_t granted) { granted_ = granted; }

  std::uint32_t GrantedSlots() const { return granted_; }

  // Takes a new request.
  admission_answer Offer(const admission_ticket& ticket, millis now);

  // Takes the end of a request that held a slot, and its service time.
  void Done(const admission_ticket& ticket, double service_ms);

  // Returns what may start now and what has to be refused.
  admission_step Advance(millis now);

  // How many slots the requests want: the present demand, or its mean over
  // the last seconds if that is more.
  std::uint32_t WantedSlots(millis now);

  // Says whether short requests wait for slots that batch tasks still hold and
  // that the last control step was not asked for. A step that could free no
  // more is not asked for again before the next regular one.
  bool WantsStep() const {
    return !short_queue_.empty() && granted_ < options_.slots &&
           wanted_ < options_.slots && Present() > wanted_;
  }

  // The share of the slots that requests hold or wait for; above 1 when more
  // wait than there are slots.
  double SlotsInUse() const {
    return static_cast<double>(Present()) / options_.slots;
  }

  // The wait that a request of a class would meet now, in milliseconds.
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
  double& ServiceOf(request_class duration) {
    return duration == request_class::kShort ? short_ms_ : long_ms_;
  }
  double ServiceOf(request_class duration) const {
    return duration == request_class::kShort ? short_ms_ : long_ms_;
  }
  // Requests that hold a slot or wait for one.
  std::size_t Present() const {
    return Busy() + short_queue_.size() + long_queue_.size();
  }
  bool HasSlot(request_class duration) const;
  std::uint32_t KeptForShort() const;
  void Occupy(request_class duration);
  void Advance(request_class duration, millis now, admission_step& step);
  void LearnDemand(millis now);

  const admission_options options_;
  std::uint32_t granted_ = 0;
  std::uint32_t wanted_ = 0;  // At the last control step.
  std::uint32_t busy_short_ = 0;
  std::uint32_t busy_long_ = 0;
  std::deque<admission_ticket> short_queue_;
  std::deque<admission_ticket> long_queue_;
  double short_ms_ = 50;  // Learned service times.
  double long_ms_ = 1000;
  bool short_learned_ = false;
  bool long_learned_ = false;
  double short_peak_ = 0;   // Learned demand, in slots.
  double demand_mean_ = 0;  // Of all requests, over time, in slots.
  millis learned_at_ = 0;
};

}  // namespace chervilkeel
