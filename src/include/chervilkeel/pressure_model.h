// Interference of batch tasks with colocated services, learned for each pair of
// images from the tail latencies that services report.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "chervilkeel/clock.h"
#include "chervilkeel/result.h"

namespace chervilkeel {

// Batch work colocated with a service: its image, and the fraction of the
// worker's cores that it uses.
struct colocated_work {
  std::string image;
  double share = 0;
  // Part of the share whose effect on the tail latency is uncertain, because
  // the work has only just started, changed its pace or ended.
  double uncertain_share = 0;
};

// One tail-latency report of a service task.
struct tail_report {
  std::string group;  // All tasks of a group have the same own load.
  std::string image;
  double unsmoothed_tail = 0;  // ms, without smoothing; see UnsmoothedTail().
  double reported_tail = 0;    // ms, as reported by the executor.
  millis target = 0;
  millis at = 0;  // When the executor took it.
};

// The latency model is that of a queue: tail latency = unloaded tail latency /
// (1 - utilization). Colocated work adds to a service's utilization in
// proportion to its share of the worker, by a factor that depends on the pair
// of images.
//
// The tasks of a service share one load, which varies within seconds, while
// factors are constant. So the reports of all tasks of a group, most of all
// those without colocated work, determine the group's own load, and the rest of
// a task's utilization is due to the work colocated with it. One Kalman filter
// per group tracks the own load and its trend, and one per pair the factor.
class pressure_model {
 public:
  // Returns the utilization at which a service has this tail latency; `target`
  // has to be above 0.
  double Utilization(const std::string& image,
                     double tail,
                     millis target) const;

  // Returns the utilization above which the tail latency exceeds its target.
  double UtilizationAtTarget(const std::string& image) const;

  // Updates the model with one report of a service and the batch work that ran
  // alongside it.
  void Observe(const tail_report& report,
               const std::vector<colocated_work>& colocated);

  // Returns the utilization of a group due to its own load, extrapolated to
  // `at`.
  double OwnLoad(const std::string& group, millis at) const;

  // Returns what a batch image would add to a service's utilization if it used
  // the whole worker; 0 where that cannot be distinguished from noise.
  double Factor(const std::string& service, const std::string& batch) const;

  // Returns the factor plus a margin for its uncertainty, so that one task of
  // an unknown image may start, but not many at once.
  double UpperConfidenceFactor(const std::string& service,
                               const std::string& batch) const;

  // Returns the learned parameters of images in the format that Restore()
  // reads. The loads of groups are left out, as they change too quickly to be
  // of use later.
  std::string Encode() const;

  // Replaces the parameters of images by those that Encode() returned. Fails
  // with kInvalid on malformed text and then leaves the model unchanged.
  result<void> Restore(const std::string& text);

  // Estimates the current tail latency from two successive reports, by undoing
  // the executors' exponential smoothing.
  static double UnsmoothedTail(double previous, double latest, millis interval);

 private:
  // Kalman filter state: a load, its trend per second and their covariance.
  struct tracked_load {
    double level = 0;
    double trend = 0;
    double level_variance = 0;
    double covariance = 0;
    double trend_variance = 0;
    millis at = 0;

    void Predict(millis to);
    void Correct(double residual, double residual_variance);
  };

  // A value and its variance.
  struct estimate {
    double value = 0;
    double variance = 0;
  };

  double UnloadedRatio(const std::string& image) const;

  // Ratio of the unloaded tail latency to the target: initial and largest
  // value.
  static constexpr double kInitialUnloadedRatio = 0.25;
  // Unloaded tail latency over the smallest one reported: services have some
  // load even when they are least busy.
  static constexpr double kUnloadedFraction = 0.8;
  // Own load before the first report.
  static constexpr double kInitialOwnLoad = 0.4;
  // Initial and largest variances of the own load and of its trend.
  static constexpr double kMaxLevelVariance = 0.04;
  static constexpr double kMaxTrendVariance = 0.02;
  // Growth of the trend's variance per second: the trend of a load that varies
  // by half of its mean with a period of 10 s changes by about 0.1 per second.
  static constexpr double kTrendVarianceGrowth = 0.004;
  // Seconds for which the trend is extrapolated; the load is constant after it.
  static constexpr double kMaxExtrapolationSeconds = 2.0;
  // Factor of an unknown pair: most pairs interfere little.
  static constexpr double kInitialFactor = 0.6;
  // Initial and largest variance of a factor.
  static constexpr double kMaxFactorVariance = 4.0;
  // Margin of UpperConfidenceFactor(), in standard deviations.
  static constexpr double kConfidenceDeviations = 0.4;
  // Growth of a factor's variance per report.
  static constexpr double kFactorVarianceGrowth = 0.001;
  // Variance of a report's utilization.
  static constexpr double kReportVariance = 0.002;
  // Standard deviation of the interference, as a fraction of it.
  static constexpr double kInterferenceDeviation = 0.6;
  // Smaller factors count as 0, as reports are rounded and loads vary.
  static constexpr double kNegligibleFactor = 0.35;
  static constexpr double kMaxFactor = 16.0;
  // Utilization of a service whose tail latency is kSaturatedRatio times its
  // target or more; above that, the tail latency does not indicate how much.
  static constexpr double kSaturatedUtilization = 1.1;
  static constexpr double kSaturatedRatio = 4.0;
  // All groups are dropped once there are more of them.
  static constexpr std::size_t kMaxGroups = 5'000;
  // Time constant, in ms, of the executors' smoothing of tail latencies.
  static constexpr double kSmoothingMs = 500;

  std::map<std::string, double> unloaded_ratios_;  // By service image.
  std::map<std::string, tracked_load> own_loads_;  // By group.
  std::map<std::pair<std::string, std::string>, estimate> factors_;
};

}  // namespace chervilkeel
