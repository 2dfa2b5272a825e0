// The loads on which sharing is judged, each named for its pattern.
#pragma once

#include "sharing_world.h"

namespace chervilkeel::bench {

// A small house on a calm day: most of what batch work needs finds room.
inline constexpr sharing_scenario kCalmDay = {.name = "calm_day"};

// Batch jobs come 1.5 times as often for six seconds, while services swing.
inline constexpr sharing_scenario kBurstOfBatch = {.name = "burst_of_batch",
                                                   .batch_jobs_a_second = 1.0,
                                                   .burst_from = 20'000,
                                                   .burst_until = 26'000,
                                                   .burst = 1.8};

// More workers, more images, wider jobs.
inline constexpr sharing_scenario kGrownHouse = {.name = "grown_house",
                                                 .workers = 58,
                                                 .service_jobs = 19,
                                                 .tasks_per_service = 14,
                                                 .service_images = 10,
                                                 .batch_images = 18,
                                                 .batch_jobs_a_second = 1.76,
                                                 .batch_width = 20,
                                                 .length = 40'000};

// Services reserve nearly all cores, estimates are far off, and a surge brings
// more batch work than can be done in time: some jobs have to be late.
inline constexpr sharing_scenario kSurgeOnFullHouse = {
    .name = "surge_full_house",
    .workers = 37,
    .worker_milli = 32'000,
    .service_jobs = 12,
    .tasks_per_service = 14,
    .service_milli = 6'400,
    .service_images = 10,
    .batch_images = 18,
    .batch_jobs_a_second = 2.6,
    .batch_width = 20,
    .batch_milli = 3'500,
    .batch_task = 1'400,
    .estimate_error = 0.9,
    .straggler = 7,
    .stragglers = 0.03,
    .heavy_pairs = 0.6,
    .burst_from = 13'000,
    .burst_until = 19'000,
    .burst = 2.5,
    .length = 45'000};

// Sets what a move costs to the times of a deployment.
constexpr sharing_scenario WithMoveTimes(sharing_scenario scenario,
                                         const char* name,
                                         const move_times& times) {
  scenario.name = name;
  scenario.longest_stop = times.stop;
  scenario.restore = times.restore;
  scenario.checkpoint_interval = times.checkpoint_interval;
  return scenario;
}

// The same loads where stops take time and lose work.
inline constexpr sharing_scenario kCalmDayOfSlowStops =
    WithMoveTimes(kCalmDay, "calm_slow_stops", {400, 100, 500});
inline constexpr sharing_scenario kGrownHouseOfSlowStops =
    WithMoveTimes(kGrownHouse, "grown_slow_stops", {400, 100, 500});
inline constexpr sharing_scenario kSurgeOfSlowStops =
    WithMoveTimes(kSurgeOnFullHouse, "surge_slow_stops", {900, 250, 2'000});

// A fifth of the batch jobs has tasks that need a third of a worker.
inline constexpr sharing_scenario kMixedSizes = {.name = "mixed_sizes",
                                                 .workers = 37,
                                                 .tasks_per_service = 14,
                                                 .batch_jobs_a_second = 5.5,
                                                 .large_jobs = 0.2};

// The same with more work than can be done in time.
inline constexpr sharing_scenario kMixedOverload = {.name = "mixed_overload",
                                                    .workers = 37,
                                                    .tasks_per_service = 14,
                                                    .batch_jobs_a_second = 8,
                                                    .large_jobs = 0.2};

inline constexpr sharing_scenario kSharingScenarios[] = {
    kCalmDay,          kBurstOfBatch,          kGrownHouse,
    kSurgeOnFullHouse, kCalmDayOfSlowStops,    kGrownHouseOfSlowStops,
    kSurgeOfSlowStops, kMixedSizes,            kMixedOverload};

}  // namespace chervilkeel::bench
