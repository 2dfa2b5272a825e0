#include "chervilkeel/colocation_control.h"

#include <algorithm>
#include <cmath>

namespace chervilkeel {

namespace {

// Effect of a class for which the owner has reported none.
constexpr double kInitialEffect = 0.2;

// Number of requests from which on their service times are evaluated.
constexpr double kMinRequests = 20;

// Time constants of the exponential decay of measured service times and of the
// slots in use after a peak.
constexpr double kServiceTimeDecayMs = 1'500;
constexpr double kSlotUseDecayMs = 3'000;

// Weight of the newest value when the slots in use rise.
constexpr double kSlotUseRiseWeight = 0.5;

// Bounds of the measured effect over the predicted one.
constexpr double kMinCorrection = 0.7;
constexpr double kMaxCorrection = 4.0;

// Smaller effects are dominated by noise and are raised to this value before
// the ratio is taken.
constexpr double kMinEffect = 0.03;

// Shorter service times count as this one, as log(0) is undefined.
constexpr double kMinServiceTimeMs = 0.001;

}  // namespace

void service_time_sums::Add(const std::string& service, double service_ms) {
  service_times& sum = sums_[service];
  sum.service = service;
  ++sum.count;
  sum.log_ms_sum += std::log(std::max(service_ms, kMinServiceTimeMs));
}

std::vector<service_times> service_time_sums::Take() {
  std::vector<service_times> sums;
  for (auto& [name, sum] : sums_) {
    sums.push_back(std::move(sum));
  }
  sums_.clear();
  return sums;
}

colocation_options ColocationOptionsFor(policy_lean lean) {
  colocation_options options;
  if (lean == policy_lean::kTail) {
    options.low_load_until = 0.2;
    options.peak_tolerance = 1.1;
  }
  return options;
}

colocation_control::colocation_control(colocation_options options)
    : options_(options) {}

void colocation_control::UpdateEffects(const wire::owner_reply& reply) {
  for (const wire::class_effect& entry : reply.class_effects()) {
    effects_[entry.task_class()] = entry.effect();
  }
  for (const wire::service_baseline& entry : reply.baselines()) {
    baselines_[entry.service()] = entry.mean_log_ms();
  }
}

double colocation_control::EffectOf(const std::string& task_class) const {
  const auto found = effects_.find(task_class);
  return found == effects_.end() ? kInitialEffect : found->second;
}

double colocation_control::PredictedEffect(
    const std::vector<class_share>& loads) const {
  double sum = 0;
  for (const class_share& load : loads) {
    sum += EffectOf(load.task_class) * load.share;
  }
  return sum;
}

void colocation_control::Step(const std::vector<service_times>& times,
                              const std::vector<class_share>& loads,
                              double slots_in_use,
                              millis now) {
  const auto elapsed = static_cast<double>(now - stepped_at_);
  stepped_at_ = now;
  const double decay = std::exp(-elapsed / kServiceTimeDecayMs);
  recent_requests_ *= decay;
  recent_log_ratio_ *= decay;
  recent_predicted_effect_ *= decay;
  const double predicted = PredictedEffect(loads);
  for (const service_times& entry : times) {
    service_times& sample = sampled_[entry.service];
    sample.count += entry.count;
    sample.log_ms_sum += entry.log_ms_sum;
    sampled_requests_ += entry.count;
    for (const class_share& load : loads) {
      sampled_loads_[load.task_class] += load.share * entry.count;
    }
    const auto baseline = baselines_.find(entry.service);
    if (baseline != baselines_.end()) {
      recent_requests_ += entry.count;
      recent_log_ratio_ += entry.log_ms_sum - entry.count * baseline->second;
      recent_predicted_effect_ += entry.count * predicted;
    }
  }
  const double decayed = slots_in_use_ * std::exp(-elapsed / kSlotUseDecayMs);
  const double raised =
      slots_in_use_ + kSlotUseRiseWeight * (slots_in_use - slots_in_use_);
  slots_in_use_ = std::max(decayed, raised);
}

double colocation_control::Tolerance() const {
  const double peak_weight =
      std::clamp((slots_in_use_ - options_.low_load_until) /
                     (options_.peak_from - options_.low_load_until),
                 0.0, 1.0);
  return options_.low_load_tolerance +
         peak_weight * (options_.peak_tolerance - options_.low_load_tolerance);
}

double colocation_control::Budget() const {
  const double allowed = std::log(Tolerance());
  if (recent_requests_ < kMinRequests) {
    return allowed;
  }
  const double measured = recent_log_ratio_ / recent_requests_;
  const double predicted = recent_predicted_effect_ / recent_requests_;
  const double correction = std::clamp(
      std::max(measured, kMinEffect) / std::max(predicted, kMinEffect),
      kMinCorrection, kMaxCorrection);
  return allowed / correction;
}

double colocation_control::MeasuredSlowdown() const {
  if (recent_requests_ < kMinRequests) {
    return 1;
  }
  return std::exp(recent_log_ratio_ / recent_requests_);
}

wire::effect_sample colocation_control::TakeSample() {
  wire::effect_sample sample;
  for (const auto& [name, entry] : sampled_) {
    if (entry.count == 0) {
      continue;
    }
    wire::service_sample* service = sample.add_services();
    service->set_service(name);
    service->set_count(entry.count);
    service->set_mean_log_ms(entry.log_ms_sum / entry.count);
  }
  for (const auto& [name, sum] : sampled_loads_) {
    if (sampled_requests_ > 0 && sum > 0) {
      wire::class_load* load = sample.add_loads();
      load->set_task_class(name);
      load->set_share(sum / sampled_requests_);
    }
  }
  sampled_.clear();
  sampled_loads_.clear();
  sampled_requests_ = 0;
  return sample;
}

}  // namespace chervilkeel
