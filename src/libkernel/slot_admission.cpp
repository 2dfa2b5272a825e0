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
std::uint32_t slot_admission::KeptForShort() const {
  if (granted_ <= 1) {
    return 0;
  }
  const auto learned = static_cast<std::uint32_t>(std::ceil(short_peak_));
  return std::clamp<std::uint32_t>(learned, 1, granted_ - 1);
}

bool slot_admission::HasSlot(request_class duration) const {
  if (Busy() >= granted_) {
    return false;
  }
  return duration == request_class::kShort ||
         busy_long_ + KeptForShort() < granted_;
}

void slot_admission::Occupy(request_class duration) {
  ++(duration == request_class::kShort ? busy_short_ : busy_long_);
}

double slot_admission::ExpectedWaitMs(request_class duration) const {
  if (HasSlot(duration)) {
    return 0;
  }
  const std::uint32_t kept =
      duration == request_class::kShort ? 0 : KeptForShort();
  const double servers = std::max(1.0, static_cast<double>(granted_) - kept);
  const auto ahead = static_cast<double>(QueueOf(duration).size()) + 1;
  return ahead * ServiceOf(duration) / servers;
}

admission_answer slot_admission::Offer(const admission_ticket& ticket,
                                       millis now) {
  const bool learned =
      ticket.duration == request_class::kShort ? short_learned_ : long_learned_;
  if (!learned) {
    ServiceOf(ticket.duration) = ticket.expected_ms;
  }
  if (QueueOf(ticket.duration).empty() && HasSlot(ticket.duration)) {
    Occupy(ticket.duration);
    LearnDemand(now);
    return {admission_verdict::kRun, ""};
  }
  const std::size_t inside = Present();
  if (inside >= options_.connections) {
    return {admission_verdict::kRefused,
            "all " + std::to_string(options_.connections) +
                " connections of the executor are taken"};
  }
  const double wait = ExpectedWaitMs(ticket.duration);
  const auto left = static_cast<double>(ticket.deadline - now);
  if (wait + ServiceOf(ticket.duration) > left) {
    return {admission_verdict::kRefused,
            "expected wait of " + std::to_string(std::lround(wait)) +
                " ms and service of " +
                std::to_string(std::lround(ServiceOf(ticket.duration))) +
                " ms exceed the " + std::to_string(std::lround(left)) +
                " ms left"};
  }
  QueueOf(ticket.duration).push_back(ticket);
  LearnDemand(now);
  return {admission_verdict::kQueued, ""};
}

void slot_admission::Done(const admission_ticket& ticket, double service_ms) {
  --(ticket.duration == request_class::kShort ? busy_short_ : busy_long_);
  bool& learned =
      ticket.duration == request_class::kShort ? short_learned_ : long_learned_;
  double& mean = ServiceOf(ticket.duration);
  mean = learned ? mean + kServiceWeight * (service_ms - mean) : service_ms;
  learned = true;
}

admission_step slot_admission::Advance(millis now) {
  admission_step step;
  Advance(request_class::kShort, now, step);
  Advance(request_class::kLong, now, step);
  LearnDemand(now);
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
  while (!queue.empty() && HasSlot(duration)) {
    Occupy(duration);
    step.start.push_back(queue.front().id);
    queue.pop_front();
  }
}

// Updates the demand estimates. The peak of short requests rises immediately
// and decays with a half-life, so that slots are still reserved if another peak
// follows soon. The mean demand of all requests is an exponential moving
// average.
void slot_admission::LearnDemand(millis now) {
  const auto passed = static_cast<double>(now - learned_at_);
  learned_at_ = now;
  const double faded =
      std::exp2(-passed / static_cast<double>(options_.peak_memory));
  short_peak_ = std::max(static_cast<double>(busy_short_ + short_queue_.size()),
                         short_peak_ * faded);
  const double kept =
      std::exp(-passed / static_cast<double>(options_.demand_memory));
  const auto demand =
      static_cast<double>(Busy() + short_queue_.size() + long_queue_.size());
  demand_mean_ = kept * demand_mean_ + (1 - kept) * demand;
}

std::uint32_t slot_admission::WantedSlots(millis now) {
  LearnDemand(now);
  const auto demand = static_cast<std::uint32_t>(
      std::ceil(std::max(demand_mean_, static_cast<double>(Present()))));
  wanted_ = std::min(options_.slots, demand + options_.margin);
  return wanted_;
}

}  // namespace chervilkeel
