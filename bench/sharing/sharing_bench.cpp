// Plays how workers are shared between services and batch tasks, under the
// product's policy and simpler ones, on the same seeds.
//
//   sharing_bench [--seeds 8] [--policy NAME] [--scenario NAME]
#include <algorithm>
#include <cstdio>

#include <CLI/CLI.hpp>

#include "chervilkeel/name_table.h"
#include "sharing_scenarios.h"
#include "sharing_world.h"

int main(int argc, char** argv) {
  using namespace chervilkeel::bench;
  CLI::App app("Shares workers between services and batch tasks.");
  std::uint64_t seeds = 8;
  app.add_option("--seeds", seeds, "Seeds to play, from 1.");
  std::string only;
  app.add_option("--policy", only, "Plays only this policy.");
  std::string only_scenario;
  app.add_option("--scenario", only_scenario, "Plays only this scenario.");
  CLI11_PARSE(app, argc, argv);
  std::printf("%-16s %-12s %6s %8s %6s %7s %8s %6s %6s %7s %7s\n", "scenario",
              "policy", "batch", "services", "both", "over_s", "longest",
              "cores", "stops", "large", "small");
  for (const sharing_scenario& scenario : kSharingScenarios) {
    if (!only_scenario.empty() && only_scenario != scenario.name) {
      continue;
    }
    for (const auto& [policy, name] : kSharingPolicyNames) {
      if (!only.empty() && only != name) {
        continue;
      }
      sharing_figures mean;
      for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const sharing_figures one =
            sharing_world(scenario, policy, seed).Play();
        const auto part = 1.0 / static_cast<double>(seeds);
        mean.batch += part * one.batch;
        mean.services += part * one.services;
        mean.over_seconds += part * one.over_seconds;
        mean.large_wait += part * one.large_wait;
        mean.small_wait += part * one.small_wait;
        mean.batch_cores += part * one.batch_cores;
        mean.batch_stops += one.batch_stops;
        mean.longest_over = std::max(mean.longest_over, one.longest_over);
      }
      std::printf(
          "%-16s %-12s %6.3f %8.3f %6.3f %7.1f %8lld %6.1f %6llu %7.0f "
          "%7.0f\n",
          scenario.name, name, mean.batch, mean.services,
          (mean.batch + mean.services) / 2, mean.over_seconds,
          static_cast<long long>(mean.longest_over), mean.batch_cores,
          static_cast<unsigned long long>(mean.batch_stops / seeds),
          mean.large_wait, mean.small_wait);
    }
  }
  return 0;
}
