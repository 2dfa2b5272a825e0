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

// Batch work beside a service: its image and the cores that it uses.
struct pressing_work {
  std::string image;
  double cores = 0;
};

// A service slows like a queue: its tail is the unloaded tail over what is left
// of its utilization. Work beside it adds to its utilization in proportion to
// its cores, by an amount that differs by pair of images.
class pressure_model {
 public:
  // The utilization at which the tail meets its target, less a margin for the
  // swing of the service's own load.
  static constexpr double kComfortable = 0.62;

  // The utilization that a tail means; `target` above 0.
  double Utilization(const std::string& service,
                     std::int64_t tail,
                     millis target) const;

  // The utilization at which the tail is over its target.
  double Limit(const std::string& service) const;

  // Learns from one report of a service.
  void Observe(const std::string& service,
               std::int64_t tail,
               millis target,
               const std::vector<pressing_work>& beside);

  // What one core of a batch image adds to a service's utilization.
  double PerCore(const std::string& service, const std::string& batch) const;

 private:
  struct service_estimate {
    double unloaded = kUnloadedTail;  // Tail over target without any load.
    double own_load = kOwnLoad;       // Utilization by its own users.
  };

  static constexpr double kUnloadedTail = 0.25;
  static constexpr double kOwnLoad = 0.4;
  static constexpr double kUnknownPair = 0.06;  // Per core; most press little.
  static constexpr double kMostPerCore = 1.0;
  static constexpr double kSaturated = 1.1;     // Beyond it tails say no more.
  static constexpr double kLearningRate = 0.35;

  std::map<std::string, service_estimate> services_;
  std::map<std::pair<std::string, std::string>, double> pairs_;
};

}  // namespace chervilkeel
