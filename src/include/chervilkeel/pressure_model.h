// How much batch tasks press on the services beside them, learned by pairs of
// images from the tails that services report.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "chervilkeel/clock.h"
#include "chervilkeel/result.h"

namespace chervilkeel {

// Batch work beside a service: its image, and the share of the worker's cores
// that it uses.
struct pressing_work {
  std::string image;
  double share = 0;
  // Of the share, the part that may not show yet, or shows no more: the work
  // has only just started, changed its pace or ended.
  double unsettled = 0;
};

// A report of a service task.
struct service_report {
  std::string group;  // Tasks of one group carry the same load of their own.
  std::string image;
  double tail = 0;      // ms, as it is now; see PresentTail().
  double reported = 0;  // ms, as the executor said.
  millis target = 0;
  millis at = 0;  // When the executor said so.
};

// A service slows like a queue: its tail is the unloaded tail over what is left
// of its utilization. Work beside it adds to its utilization in proportion to
// its share of the worker, by a factor that differs by pair of images.
//
// The tasks of a service share one load, which swings within seconds; factors
// stay. So all tasks of a group are evidence for the group's load, those with
// nothing beside them most of all, and what a task shows beyond it is due to
// the work beside it. One Kalman filter a group follows the load and its trend,
// and one a pair the factor.
class pressure_model {
 public:
  // The utilization that a tail means; `target` above 0.
  double Utilization(const std::string& image,
                     double tail,
                     millis target) const;

  // The utilization at which the tail is over its target.
  double Limit(const std::string& image) const;

  // Learns from one report of a service.
  void Observe(const service_report& report,
               const std::vector<pressing_work>& beside);

  // The utilization of a group by its own load, followed up to `at`.
  double OwnLoad(const std::string& group, millis at) const;

  // What a batch image would add to a service's utilization if it used the
  // whole worker; 0 where it is too little to be told from noise.
  double Factor(const std::string& service, const std::string& batch) const;

  // The same, with a margin for what is not known of the pair yet: one task of
  // an unknown image may try, not many at once.
  double CautiousFactor(const std::string& service,
                        const std::string& batch) const;

  // What was learned of images, to be read by Restore() of another model; the
  // loads of groups change too quickly to be worth keeping.
  std::string Encode() const;

  // Takes over what another model had learned. Fails with kInvalid, and leaves
  // the model as it was.
  result<void> Restore(const std::string& text);

  // Undoes the smoothing of a tail by executors, from two reports of it.
  static double PresentTail(double before, double after, millis between);

 private:
  // A load with its trend a second, and their covariance.
  struct followed_load {
    double level = 0;
    double trend = 0;
    double level_variance = 0;
    double covariance = 0;
    double trend_variance = 0;
    millis at = 0;

    void Advance(millis to);
    void Correct(double error, double spread);
  };

  // A value with its variance.
  struct estimate {
    double value = 0;
    double variance = 0;
  };

  double UnloadedTail(const std::string& image) const;

  static constexpr double kUnloadedTail = 0.25;  // Tail over target.
  // Of the smallest tail seen: services have some load even in their lulls.
  static constexpr double kUnloadedPart = 0.8;
  static constexpr double kOwnLoad = 0.4;  // Before the first report.
  static constexpr double kLevelVariance = 0.04;
  static constexpr double kTrendVariance = 0.02;
  // Variance of the trend gained a second: a load that swings by half of itself
  // within 10 s bends by about 0.1 a second.
  static constexpr double kTrendDrift = 0.004;
  static constexpr double kLongestAdvance = 2.0;  // Seconds; then it levels.
  static constexpr double kUnknownFactor = 0.6;   // Most pairs press little.
  static constexpr double kFactorVariance = 4.0;
  static constexpr double kCaution = 0.4;        // Standard deviations.
  static constexpr double kFactorDrift = 0.001;  // Variance gained a report.
  static constexpr double kNoise = 0.002;        // Of a report.
  static constexpr double kPressNoise = 0.6;     // Of what is pressed, a part.
  // Reports are rounded and loads swing: a smaller factor is taken for none.
  static constexpr double kNegligibleFactor = 0.35;
  static constexpr double kLargestFactor = 16.0;
  static constexpr double kSaturated = 1.1;  // Beyond it tails say no more.
  static constexpr double kSaturatedRatio = 4.0;     // Of tail and target.
  static constexpr std::size_t kMostGroups = 5'000;  // Remembered at once.
  static constexpr double kSmoothing = 500;  // ms; executors report over it.

  std::map<std::string, double> unloaded_;    // By image of a service.
  std::map<std::string, followed_load> own_;  // By group.
  std::map<std::pair<std::string, std::string>, estimate> factors_;
};

}  // namespace chervilkeel
