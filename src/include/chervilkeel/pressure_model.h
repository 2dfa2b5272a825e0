// How much batch tasks press on the services beside them, learned by pairs of
// images from the tails that services report.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "chervilkeel/clock.h"

namespace chervilkeel {

// Batch work beside a service: its image, and the share of the worker's cores
// that it uses.
struct pressing_work {
  std::string image;
  double share = 0;
};

// A report of a service task.
struct service_report {
  std::string task;  // Names the task, as each has a load of its own.
  std::string image;
  std::int64_t tail = 0;  // ms.
  millis target = 0;
};

// A service slows like a queue: its tail is the unloaded tail over what is left
// of its utilization. Work beside it adds to its utilization in proportion to
// its share of the worker, by a factor that differs by pair of images. The
// service's own load drifts within seconds; factors stay. A Kalman filter with
// a diagonal covariance tells the two apart.
class pressure_model {
 public:
  // The utilization to aim at: below the limit by the usual swing of a
  // service's own load.
  static constexpr double kComfortable = 0.62;

  // The utilization that a tail means; `target` above 0.
  double Utilization(const std::string& image,
                     std::int64_t tail,
                     millis target) const;

  // The utilization at which the tail is over its target.
  double Limit(const std::string& image) const;

  // Learns from one report of a service.
  void Observe(const service_report& report,
               const std::vector<pressing_work>& beside);

  // What a batch image would add to a service's utilization if it used the
  // whole worker.
  double Factor(const std::string& service, const std::string& batch) const;

 private:
  // A value with its variance.
  struct estimate {
    double value = 0;
    double variance = 0;
  };

  double UnloadedTail(const std::string& image) const;

  static constexpr double kUnloadedTail = 0.25;  // Tail over target.
  static constexpr double kOwnLoad = 0.4;        // Before the first report.
  static constexpr double kOwnVariance = 0.04;
  static constexpr double kOwnDrift = 0.006;     // Variance gained a report.
  static constexpr double kUnknownFactor = 0.8;  // Most pairs press little.
  static constexpr double kFactorVariance = 4.0;
  static constexpr double kFactorDrift = 0.001;
  static constexpr double kNoise = 0.01;  // Of a report.
  static constexpr double kLargestFactor = 16.0;
  static constexpr double kSaturated = 1.1;  // Beyond it tails say no more.
  static constexpr double kSaturatedRatio = 4.0;     // Of tail and target.
  static constexpr std::size_t kMostTasks = 20'000;  // Remembered at once.

  std::map<std::string, double> unloaded_;  // By image of a service.
  std::map<std::string, estimate> own_;     // By task of a service.
  std::map<std::pair<std::string, std::string>, estimate> factors_;
};

}  // namespace chervilkeel
