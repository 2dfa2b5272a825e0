// The messages between an agent and the job scheduler: reports about the worker
// and orders to it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "chervilkeel/amount.h"
#include "chervilkeel/clock.h"
#include "chervilkeel/job.h"

namespace chervilkeel {

// One process lifetime of an executor. Each restart is a new boot, even if the
// executor keeps its id.
struct executor_boot {
  std::string id;
  std::int64_t started_ms = 0;  // Wall clock, since the Unix epoch.
  bool operator==(const executor_boot&) const = default;
};

// A worker as announced by its executor.
struct executor_description {
  executor_boot boot;
  std::string service;
  std::string data_centre;
  std::vector<std::string> labels;  // Kind of worker, then rack.
  amount capacity;
  bool draining = false;
  millis remaining = 0;  // Minimum time left while it drains.
};

// A run as listed by the executor.
struct run_status {
  task_name task;
  std::uint64_t run = 0;
  std::string checkpoint;
  std::uint32_t percent = 0;
  // Tail latency in ms for a service, otherwise the number of cores in use.
  std::int64_t load = 0;
};

// The way in which a run ended.
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

// An ended run. The executor lists it until its end is acknowledged as
// recorded.
struct ended_run {
  std::uint64_t number = 0;  // Increases within a boot, starting at 1.
  task_name task;
  std::uint64_t run = 0;
  run_end end = run_end::kDone;
  std::string checkpoint;
};

// The result of an order to start a run.
enum class start_outcome {
  kStarted,     // The run is active or has already ended.
  kNoCapacity,  // The executor lacks free capacity.
  kOutdated,    // The executor has seen this run number or a higher one.
  kRefused,     // The executor refused for another reason.
  kUnhealthy,   // The executor is unhealthy and took no action.
  kWithdrawn,   // No reply; the run was stopped before it could start.
};

struct start_outcome_name {
  start_outcome outcome;
  const char* name;
};

inline constexpr start_outcome_name kStartOutcomeNames[] = {
    {start_outcome::kStarted, "started"},
    {start_outcome::kNoCapacity, "no room"},
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
  millis known_at = 0;  // When the agent knew it, by its clock.
};

// A run is proven once its executor has answered this long after its start, in
// ms: a task that crashes its executor usually does so right away.
inline constexpr millis kProvingTime = 250;

// A run that was lost with its executor.
struct lost_run {
  task_name task;
  std::uint64_t run = 0;
  bool proven = false;
};

// An executor that has crashed, and what ran there as far as its agent knows.
struct crashed_executor {
  executor_boot boot;
  std::vector<lost_run> runs;
};

// A call of an agent to the owner.
struct agent_call {
  // Of the agent's process; another one knows nothing of former orders.
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;  // Rises in a process.
  // By the clock of the agent's VM, which goes on while processes change; 0:
  // not told.
  millis sent_at = 0;
};

// How a call of an agent relates to those that have come before.
enum class call_order {
  kLatest,
  kOvertaken,        // A later call of the same process has come.
  kOfFormerProcess,  // A later call of another process has come.
};

// A report of an agent. `runs` is complete if `has_runs` is set. Otherwise it
// may still name some runs, but a run that is missing may be there: a row of
// the list could not be read, or the report has no list.
struct worker_report {
  std::string agent;
  agent_call call;
  executor_description worker;
  bool has_runs = false;
  millis runs_age = 0;  // From the list's coming to the call.
  // The executor made the list between these times of the agent's clock.
  millis listed_after = 0;
  millis listed_before = 0;
  std::vector<run_status> runs;
  std::vector<ended_run> ends;
  std::vector<start_result> starts;
  // The latest crashes; an owner may be told of one more than once.
  std::vector<crashed_executor> crashes;
  std::size_t unreadable_rows = 0;  // That were left out.
};

enum class order_kind { kStart, kStop, kPace };

struct order_kind_name {
  order_kind kind;
  const char* name;
};

inline constexpr order_kind_name kOrderKindNames[] = {
    {order_kind::kStart, "start"},
    {order_kind::kStop, "stop"},
    {order_kind::kPace, "pace"},
};

// An order to an agent.
struct worker_order {
  order_kind kind = order_kind::kStart;
  executor_boot boot;  // Other boots must not carry it out.
  task_name task;
  std::uint64_t run = 0;
  std::string payload;          // kStart only; see OrdersFor().
  std::string checkpoint;       // kStart only; empty: from the beginning.
  std::string reason;           // For the logs.
  std::uint32_t percent = 100;  // kPace only: speed limit.
  // kStart only: another process of the agent may have tried it, and that try
  // may still be carried out.
  bool was_tried = false;
};

}  // namespace chervilkeel
