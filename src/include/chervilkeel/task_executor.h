// An executor that runs tasks under a lease, as its agent sees it.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "chervilkeel/clock.h"
#include "chervilkeel/result.h"
#include "chervilkeel/worker_report.h"

namespace chervilkeel {

// How an executor answered an order.
enum class executor_verdict {
  kAccepted,
  kFenced,    // It has seen a higher epoch.
  kOutdated,  // That run, or a higher one, has been there.
  kTooLate,   // The lease in the order is over.
  kNoRoom,
  kBadTicket,
  kInvalid,    // It can't read the order.
  kUnhealthy,  // It has done nothing.
  kOtherBoot,  // Another boot answered.
};

struct executor_verdict_name {
  executor_verdict verdict;
  const char* name;
};

inline constexpr executor_verdict_name kExecutorVerdictNames[] = {
    {executor_verdict::kAccepted, "accepted"},
    {executor_verdict::kFenced, "fenced"},
    {executor_verdict::kOutdated, "outdated"},
    {executor_verdict::kTooLate, "too late"},
    {executor_verdict::kNoRoom, "no room"},
    {executor_verdict::kBadTicket, "bad ticket"},
    {executor_verdict::kInvalid, "invalid"},
    {executor_verdict::kUnhealthy, "unhealthy"},
    {executor_verdict::kOtherBoot, "other boot"},
};

const char* NameOf(executor_verdict verdict);

struct executor_answer {
  executor_verdict verdict = executor_verdict::kAccepted;
  millis clock = 0;  // The executor's steady clock; 0: not said.
};

// What an executor runs, and which ends it keeps.
struct executor_listing {
  executor_verdict verdict = executor_verdict::kAccepted;
  millis clock = 0;
  std::int64_t started_ms = 0;  // Of the boot that answers; 0: not said.
  std::vector<run_status> running;
  std::vector<ended_run> ended;
};

// What every order carries.
struct order_context {
  executor_boot boot;
  std::uint64_t epoch = 0;
  millis timeout = 0;
};

template <class value_type>
using executor_callback = std::function<void(result<value_type>)>;

// The interface that executor plug-ins implement. Each call ends with exactly
// one callback. Errors: kUnavailable when the order certainly was not sent,
// kUnknown when it may be carried out, now or later.
class task_executor {
 public:
  virtual ~task_executor() = default;

  // Starts a run; `lease_end` is on the executor's clock.
  virtual void Start(const order_context& context,
                     const worker_order& order,
                     millis lease_end,
                     executor_callback<executor_answer> callback) = 0;

  virtual void Stop(const order_context& context,
                    const task_name& task,
                    std::uint64_t run,
                    executor_callback<executor_answer> callback) = 0;

  virtual void Pace(const order_context& context,
                    const worker_order& order,
                    executor_callback<executor_answer> callback) = 0;

  // Extends the lease of everything that runs to `lease_end` (0: leaves it),
  // lets the executor forget ends up to `recorded_end`, and lists the rest;
  // waits up to `wait` for another end.
  virtual void Hold(const order_context& context,
                    millis lease_end,
                    std::uint64_t recorded_end,
                    millis wait,
                    executor_callback<executor_listing> callback) = 0;
};

}  // namespace chervilkeel
