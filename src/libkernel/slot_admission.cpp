#include "chervilkeel/slot_admission.h"

#include <algorithm>
#include <cmath>

namespace chervilkeel {

namespace {

// The weight of a new service time in the moving average.
constexpr double kServiceWeight = 0.1;

}  // namespace

slot_admission::slot_admission(admission_options options)
    : options_(options), granted_(options.slots) {}

// Returns the number of slots reserved for short requests: their recent peak
// demand, but at least one if there is more than one slot.
std::uint32_t slot_admission::SlotsReservedForShort() const {
  if (granted_ <= 1) {
    return 0;
  }
  const auto peak_slots = static_cast<std::uint32_t>(std::ceil(short_peak_));
  return std::clamp<std::uint32_t>(peak_slots, 1, granted_ - 1);
}

bool slot_admission::HasFreeSlot(request_class duration) const {
  if (Busy() >= granted_) {
    return false;
  }
  return duration == request_class::kShort ||
         busy_long_ + SlotsReservedForShort() < granted_;
}

void slot_admission::OccupySlot(request_class duration) {
  ++(duration == request_class::kShort ? busy_short_ : busy_long_);
}

double slot_admission::ExpectedWaitMs(request_class duration) const {
  if (HasFreeSlot(duration)) {
    return 0;
  }
  const std::uint32_t reserved =
      duration == request_class::kShort ? 0 : SlotsReservedForShort();
  const double servers =
      std::max(1.0, static_cast<double>(granted_) - reserved);
  const auto queue_position = static_cast<double>(QueueOf(duration).size()) + 1;
  return queue_position * MeanServiceMs(duration) / servers;
}

admission_answer slot_admission::Offer(const admission_ticket& ticket,
                                       millis now) {
  const bool is_measured = ticket.duration == request_class::kShort
                               ? short_measured_
                               : long_measured_;
  if (!is_measured) {
    MeanServiceMs(ticket.duration) = ticket.expected_ms;
  }
  if (QueueOf(ticket.duration).empty() && HasFreeSlot(ticket.duration)) {
    OccupySlot(ticket.duration);
    UpdateDemand(now);
    return {admission_verdict::kRun, ""};
  }
  const std::size_t active_requests = Demand();
  if (active_requests >= options_.connections) {
    return {admission_verdict::kRefused,
            "all " + std::to_string(options_.connections) +
                " connections of the executor are in use"};
  }
  const double wait = ExpectedWaitMs(ticket.duration);
  const auto left = static_cast<double>(ticket.deadline - now);
  if (wait + MeanServiceMs(ticket.duration) > left) {
    return {admission_verdict::kRefused,
            "expected wait of " + std::to_string(std::lround(wait)) +
                " ms plus service time of " +
                std::to_string(std::lround(MeanServiceMs(ticket.duration))) +
                " ms exceeds the " + std::to_string(std::lround(left)) +
                " ms left before the deadline"};
  }
  QueueOf(ticket.duration).push_back(ticket);
  UpdateDemand(now);
  return {admission_verdict::kQueued, ""};
}

void slot_admission::OnRequestDone(const admission_ticket& ticket,
                                   double service_ms) {
  --(ticket.duration == request_class::kShort ? busy_short_ : busy_long_);
  bool& is_measured = ticket.duration == request_class::kShort ? short_measured_
                                                               : long_measured_;
  double& mean = MeanServiceMs(ticket.duration);
  mean = is_measured ? mean + kServiceWeight * (service_ms - mean) : service_ms;
  is_measured = true;
}

admission_step slot_admission::Advance(millis now) {
  admission_step step;
  Advance(request_class::kShort, now, step);
  Advance(request_class::kLong, now, step);
  UpdateDemand(now);
  return step;
}

void slot_admission::Advance(request_class duration,
                             millis now,
                             admission_step& step) {
  std::deque<admission_ticket>& queue = QueueOf(duration);
  std::erase_if(queue, [&](const admission_ticket& ticket) {
    const bool late = now >= ticket.deadline;
    if (late) {
      step.expired.push_back(ticket.id);
    }
    return late;
  });
  while (!queue.empty() && HasFreeSlot(duration)) {
    OccupySlot(duration);
    step.start.push_back(queue.front().id);
    queue.pop_front();
  }
}

// Updates the demand estimates. The peak of short requests rises immediately
// and decays with a half-life, so that slots are still reserved if another peak
// follows soon. The mean demand of all requests is an exponential moving
// average.
void slot_admission::UpdateDemand(millis now) {
  const auto elapsed = static_cast<double>(now - demand_updated_at_);
  demand_updated_at_ = now;
  const double peak_decay =
      std::exp2(-elapsed / static_cast<double>(options_.peak_half_life));
  short_peak_ = std::max(static_cast<double>(busy_short_ + short_queue_.size()),
                         short_peak_ * peak_decay);
  const double decay =
      std::exp(-elapsed / static_cast<double>(options_.demand_time_constant));
  const auto demand =
      static_cast<double>(Busy() + short_queue_.size() + long_queue_.size());
  demand_mean_ = decay * demand_mean_ + (1 - decay) * demand;
}

std::uint32_t slot_admission::WantedSlots(millis now) {
  UpdateDemand(now);
  const auto demand = static_cast<std::uint32_t>(
      std::ceil(std::max(demand_mean_, static_cast<double>(Demand()))));
  wanted_ = std::min(options_.slots, demand + options_.spare_slots);
  return wanted_;
}

}  // namespace chervilkeel
