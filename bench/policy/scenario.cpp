#include "scenario.h"

#include <algorithm>

namespace chervilkeel::bench {

double DemandFactor(double seconds) {
  for (const time_span& crest : kCrests) {
    if (crest.Holds(seconds)) {
      const double risen = (seconds - crest.from) / kCrestRiseSeconds;
      return 1 + (kCrestFactor - 1) * std::min(1.0, risen);
    }
  }
  return 1;
}

double WaveFactor(double seconds) {
  for (const time_span& wave : kWaves) {
    if (wave.Holds(seconds)) {
      return kWaveFactor;
    }
  }
  return 1;
}

bool InCrest(double seconds) {
  return DemandFactor(seconds) > 1;
}

house_scenario Tesfaye() {
  house_scenario house;
  house.name = "tesfaye";
  house.lean = policy_lean::kBatch;
  house.milli_processors = 16'000;
  house.memory_mb = 60'000;
  house.classes = {
      {"coffee-tracing", 2'000, 4'000, 20, 30, 0.9, 0.10, 0.05},
      {"sesame-tracing", 3'000, 6'000, 60, 40, 0.8, 0.40, 0.30},
      {"cutting-paths", 4'000, 8'000, 40, 60, 1.0, 0.80, 0.15},
  };
  house.streams = {
      {"preview", request_class::kShort, 250, 40, 24, 0.35, 0, 2'000},
      {"plotter", request_class::kLong, 5, 200, 300, 0.4, 0.05, 8'000},
  };
  return house;
}

house_scenario Kruszwica() {
  house_scenario house;
  house.name = "kruszwica";
  house.lean = policy_lean::kTail;
  house.milli_processors = 64'000;
  house.memory_mb = 250'000;
  house.classes = {
      {"council-renewals", 4'000, 8'000, 20, 30, 0.9, 0.08, 0.05},
      {"sign-proofs", 8'000, 16'000, 60, 90, 1.0, 0.35, 0.20},
      {"large-proofs", 8'000, 24'000, 60, 60, 0.8, 0.70, 0.25},
  };
  house.streams = {
      {"quote", request_class::kShort, 400, 25, 15, 0.35, 0, 1'500},
      {"proof", request_class::kLong, 4, 200, 350, 0.4, 0.05, 8'000},
  };
  return house;
}

}  // namespace chervilkeel::bench
