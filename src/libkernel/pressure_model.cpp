#include "chervilkeel/pressure_model.h"

#include <algorithm>

namespace chervilkeel {

double pressure_model::UnloadedTail(const std::string& image) const {
  const auto found = unloaded_.find(image);
  return found == unloaded_.end() ? kUnloadedTail : found->second;
}

double pressure_model::Utilization(const std::string& image,
                                   std::int64_t tail,
                                   millis target) const {
  const double ratio = static_cast<double>(tail) /
                       static_cast<double>(std::max<millis>(target, 1));
  const double unloaded = UnloadedTail(image);
  if (ratio <= unloaded) {
    return 0;
  }
  return ratio >= kSaturatedRatio ? kSaturated : 1.0 - unloaded / ratio;
}

double pressure_model::Limit(const std::string& image) const {
  return 1.0 - UnloadedTail(image);
}

double pressure_model::Factor(const std::string& service,
                              const std::string& batch) const {
  const auto found = factors_.find({service, batch});
  return found == factors_.end() ? kUnknownFactor : found->second.value;
}

void pressure_model::Observe(const service_report& report,
                             const std::vector<pressing_work>& beside) {
  if (report.tail <= 0 || report.target <= 0) {
    return;
  }
  const double ratio =
      static_cast<double>(report.tail) / static_cast<double>(report.target);
  double& unloaded =
      unloaded_.try_emplace(report.image, kUnloadedTail).first->second;
  unloaded = std::min(unloaded, 0.9 * ratio);
  if (own_.size() > kMostTasks) {
    own_.clear();
  }
  estimate& own =
      own_.try_emplace(report.task, estimate{kOwnLoad, kOwnVariance})
          .first->second;
  own.variance = std::min(own.variance + kOwnDrift, kOwnVariance);

  // Work of one image counts together.
  std::map<std::string, double> shares;
  for (const pressing_work& work : beside) {
    shares[work.image] += work.share;
  }
  double expected = own.value;
  double spread = own.variance + kNoise;
  for (const auto& [image, share] : shares) {
    estimate& factor =
        factors_
            .try_emplace({report.image, image},
                         estimate{kUnknownFactor, kFactorVariance})
            .first->second;
    factor.variance = std::min(factor.variance + kFactorDrift, kFactorVariance);
    expected += factor.value * share;
    spread += factor.variance * share * share;
  }
  const double seen = Utilization(report.image, report.tail, report.target);
  double error = seen - expected;
  // A saturated service says only that its utilization is at least this.
  if (seen >= kSaturated && error < 0) {
    error = 0;
  }
  const double own_gain = own.variance / spread;
  own.value = std::clamp(own.value + own_gain * error, 0.0, 0.9);
  own.variance *= 1.0 - own_gain;
  for (const auto& [image, share] : shares) {
    estimate& factor = factors_.at({report.image, image});
    const double gain = factor.variance * share / spread;
    factor.value = std::clamp(factor.value + gain * error, 0.0, kLargestFactor);
    factor.variance *= 1.0 - gain * share;
  }
}

}  // namespace chervilkeel
