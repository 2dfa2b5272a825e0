// What an agent tells the scheduler about its worker, and what it is told.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "chervilkeel/amount.h"
#include "chervilkeel/clock.h"
#include "chervilkeel/job.h"

namespace chervilkeel {

// One life of an executor. A restart, even under the same id, is another boot.
struct executor_boot {
  std::string id;
  std::int64_t started_ms = 0;  // Wall clock, since 1970.
  bool operator==(const executor_boot&) const = default;
};

// A worker as its executor announces it.
struct executor_description {
  executor_boot boot;
  std::string service;
  std::string data_centre;
  std::vector<std::string> labels;  // The kind first, then the rack.
  amount capacity;
  bool draining = false;
  millis remaining = 0;  // Least time left while it drains.
};

// A run that the executor lists.
struct run_status {
  task_name task;
  std::uint64_t run = 0;
  std::string checkpoint;
  std::uint32_t percent = 0;
  std::int64_t load = 0;  // A service's tail in ms; else the cores in use.
};

// How a run ended.
enum class run_end { kDone, kFailed, kStopped, kLapsed, kBroken, kAlone };

struct run_end_name {
  run_end end;
  const char* name;
};

inline constexpr run_end_name kRunEndNames[] = {
    {run_end::kDone, "done"},       {run_end::kFailed, "failed"},
    {run_end::kStopped, "stopped"}, {run_end::kLapsed, "lapsed"},
    {run_end::kBroken, "broken"},   {run_end::kAlone, "alone"},
};

const char* NameOf(run_end end);
bool ParseRunEnd(std::string_view name, run_end& out);

// An end that the executor lists until it is told that it was recorded.
struct ended_run {
  std::uint64_t number = 0;  // Rises within a boot, from 1.
  task_name task;
  std::uint64_t run = 0;
  run_end end = run_end::kDone;
  std::string checkpoint;
};

// What became of the order to start a run.
enum class start_outcome {
  kStarted,    // It runs, or has run.
  kNoRoom,     // The executor has no room for it.
  kOutdated,   // A higher or equal run has been there already.
  kRefused,    // The executor refused it for another reason.
  kUnhealthy,  // The executor is sick and has done nothing.
  kWithdrawn,  // No answer came; the run was stopped before it could start.
};

struct start_outcome_name {
  start_outcome outcome;
  const char* name;
};

inline constexpr start_outcome_name kStartOutcomeNames[] = {
    {start_outcome::kStarted, "started"},
    {start_outcome::kNoRoom, "no room"},
    {start_outcome::kOutdated, "outdated"},
    {start_outcome::kRefused, "refused"},
    {start_outcome::kUnhealthy, "unhealthy"},
    {start_outcome::kWithdrawn, "withdrawn"},
};

const char* NameOf(start_outcome outcome);

struct start_result {
  task_name task;
  std::uint64_t run = 0;
  start_outcome outcome = start_outcome::kStarted;
};

// One report of an agent. `runs` is complete when `has_runs` is set.
struct worker_report {
  std::string agent;
  executor_description worker;
  bool has_runs = false;
  millis runs_age = 0;  // Since the executor listed them.
  std::vector<run_status> runs;
  std::vector<ended_run> ends;
  std::vector<start_result> starts;
};

enum class order_kind { kStart, kStop, kPace };

// An order to an agent.
struct worker_order {
  order_kind kind = order_kind::kStart;
  executor_boot boot;  // Only this boot may carry it out.
  task_name task;
  std::uint64_t run = 0;
  std::string payload;          // Of a start.
  std::string checkpoint;       // Of a start; empty: from the beginning.
  std::string reason;           // For the logs.
  std::uint32_t percent = 100;  // Of a pace.
};

}  // namespace chervilkeel
