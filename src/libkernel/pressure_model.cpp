#include "chervilkeel/pressure_model.h"

#include <algorithm>

namespace chervilkeel {

namespace {

// Weight of the newest report in the estimate of a service's own load.
constexpr double kOwnLoadRate = 0.05;

// Work below this pressure leaves a report to the service's own load.
constexpr double kNoPressure = 0.05;

// Keeps small amounts of work from taking the blame for large errors.
constexpr double kRegularisation = 0.5;

}  // namespace

double pressure_model::Utilization(const std::string& service,
                                   std::int64_t tail,
                                   millis target) const {
  const double ratio =
      static_cast<double>(tail) / static_cast<double>(std::max<millis>(target, 1));
  const auto found = services_.find(service);
  const double unloaded =
      found == services_.end() ? kUnloadedTail : found->second.unloaded;
  if (ratio <= unloaded) {
    return 0;
  }
  // Far over its target a service is saturated, and how far says no more.
  return ratio >= 4.0 ? kSaturated : 1.0 - unloaded / ratio;
}

double pressure_model::Limit(const std::string& service) const {
  const auto found = services_.find(service);
  return 1.0 -
         (found == services_.end() ? kUnloadedTail : found->second.unloaded);
}

double pressure_model::PerCore(const std::string& service,
                               const std::string& batch) const {
  const auto found = pairs_.find({service, batch});
  return found == pairs_.end() ? kUnknownPair : found->second;
}

void pressure_model::Observe(const std::string& service,
                             std::int64_t tail,
                             millis target,
                             const std::vector<pressing_work>& beside) {
  if (tail <= 0 || target <= 0) {
    return;
  }
  service_estimate& estimate = services_[service];
  const double ratio =
      static_cast<double>(tail) / static_cast<double>(target);
  estimate.unloaded = std::min(estimate.unloaded, 0.9 * ratio);
  const double seen = Utilization(service, tail, target);
  double pressure = 0;
  double squares = 0;
  for (const pressing_work& work : beside) {
    pressure += PerCore(service, work.image) * work.cores;
    squares += work.cores * work.cores;
  }
  if (pressure < kNoPressure) {
    estimate.own_load += kOwnLoadRate * (std::min(seen, 0.8) - estimate.own_load);
  }
  if (squares <= 0) {
    return;
  }
  const double error = seen - estimate.own_load - pressure;
  for (const pressing_work& work : beside) {
    double& known =
        pairs_.try_emplace({service, work.image}, kUnknownPair).first->second;
    known += kLearningRate * error * work.cores / (squares + kRegularisation);
    known = std::clamp(known, 0.0, kMostPerCore);
  }
}

}  // namespace chervilkeel
