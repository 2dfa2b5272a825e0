// The two houses as the policy bench plays them: what is declared to the
// policy, and what it has to find out for itself.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "chervilkeel/manifest.h"
#include "chervilkeel/placement.h"

namespace chervilkeel::bench {

// A class of batch tasks.
struct batch_class {
  std::string name;
  std::uint32_t milli_processors = 0;
  std::uint32_t memory_mb = 0;
  double declared_seconds = 0;
  // What follows is hidden from the policy.
  double run_seconds = 0;     // Median of the true run time, alone and whole.
  double used_share = 1;      // Of the declared processors.
  double request_effect = 0;  // Slowdown of requests if it filled a worker.
  double batch_effect = 0;    // The same of other batch tasks.
};

// A service whose requests come as a Poisson process.
struct request_stream {
  std::string name;
  request_class duration = request_class::kShort;
  double per_second = 0;  // Outside crests.
  double declared_ms = 0;
  double median_ms = 0;  // Hidden, without neighbours.
  double sigma = 0;      // Of the log of the service time.
  double straggler_share = 0;
  std::int64_t deadline_ms = 0;
};

struct house_scenario {
  std::string name;
  policy_lean lean = policy_lean::kBatch;
  std::uint32_t workers = 11;
  std::uint32_t milli_processors = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t slots = 8;
  std::uint32_t connections = 64;
  std::vector<batch_class> classes;
  std::vector<request_stream> streams;
};

// A span of virtual time in seconds.
struct time_span {
  double from = 0;
  double until = 0;
  bool Holds(double seconds) const {
    return seconds >= from && seconds < until;
  }
};

inline constexpr double kRunSeconds = 200;
inline constexpr double kWarmUpSeconds = 20;
inline constexpr double kCrestFactor = 5;
inline constexpr double kCrestRiseSeconds = 2;
inline constexpr time_span kCrests[] = {{60, 85}, {130, 155}};
// While a wave lasts, each batch task slows its neighbours twice as much.
inline constexpr double kWaveFactor = 2;
inline constexpr time_span kWaves[] = {{40, 70}, {140, 170}};

// By what the requests' rate is multiplied at an instant.
double DemandFactor(double seconds);

// By what effects on neighbours are multiplied at an instant.
double WaveFactor(double seconds);

// Says whether an instant lies in a crest, its rise included.
bool InCrest(double seconds);

house_scenario Tesfaye();
house_scenario Kruszwica();

}  // namespace chervilkeel::bench
