// Interface through which an agent controls an executor. The executor runs
// tasks under a lease that the agent renews.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "chervilkeel/clock.h"
#include "chervilkeel/result.h"
#include "chervilkeel/worker_report.h"

namespace chervilkeel {

// An executor's reply to an order.
enum class executor_verdict {
  kAccepted,
  kFenced,        // The executor has seen a higher epoch.
  kOutdated,      // This run or a later one was already received.
  kLeaseExpired,  // The lease in the order has expired.
  kNoCapacity,    // Not enough free capacity.
  kBadTicket,
  kInvalid,    // The order is malformed.
  kUnhealthy,  // The order was not carried out.
  kOtherBoot,  // The reply came from a different boot.
};

struct executor_verdict_name {
  executor_verdict verdict;
  const char* name;
};

inline constexpr executor_verdict_name kExecutorVerdictNames[] = {
    {executor_verdict::kAccepted, "accepted"},
    {executor_verdict::kFenced, "fenced"},
    {executor_verdict::kOutdated, "outdated"},
    {executor_verdict::kLeaseExpired, "too late"},
    {executor_verdict::kNoCapacity, "no room"},
    {executor_verdict::kBadTicket, "bad ticket"},
    {executor_verdict::kInvalid, "invalid"},
    {executor_verdict::kUnhealthy, "unhealthy"},
    {executor_verdict::kOtherBoot, "other boot"},
};

const char* NameOf(executor_verdict verdict);

struct executor_answer {
  executor_verdict verdict = executor_verdict::kAccepted;
  millis clock = 0;  // The executor's steady clock; 0: not reported.
};

// The running runs of an executor, and the ended ones that it still stores.
// Rows that can't be read are left out and counted. Such a row may be of any
// run, so a run that is missing from an incomplete list may be there, or have
// ended.
struct executor_run_list {
  executor_verdict verdict = executor_verdict::kAccepted;
  millis clock = 0;
  std::int64_t started_ms = 0;  // Start of the replying boot; 0: not reported.
  std::vector<run_status> running;
  std::vector<ended_run> ended;
  std::size_t unreadable_runs = 0;
  std::size_t unreadable_ends = 0;
  // The lowest number that an end that can't be read may have; 0: there is
  // none. Neither this end nor a later one may be acknowledged as recorded, or
  // the executor would forget an end that nobody has read.
  std::uint64_t first_unreadable_end = 0;
  // True if there may be more ends than the executor lists at a time.
  bool lacks_ends = false;

  bool IsComplete() const {
    return unreadable_runs == 0 && unreadable_ends == 0 && !lacks_ends;
  }
};

// Whether a list was made by that boot. Executors that don't report their start
// are told apart by their ids alone.
inline bool IsMadeBy(const executor_run_list& listing,
                     const executor_boot& boot) {
  return listing.started_ms == 0 || listing.started_ms == boot.started_ms;
}

// The parameters common to all orders.
struct order_context {
  // No other boot carries out the order, nor takes a lease from it: an executor
  // that starts again may keep its id, but not its clock, runs and fencing
  // token. With a start time of 0, any boot under that id does.
  executor_boot boot;
  std::uint64_t epoch = 0;
  millis timeout = 0;
};

template <class value_type>
using executor_callback = std::function<void(result<value_type>)>;

// The interface that executor plug-ins implement. Each call invokes its
// callback exactly once. Errors: kUnavailable if the order certainly was not
// sent, or another boot answers; kUnknown if it may have been carried out or
// may still be.
class task_executor {
 public:
  virtual ~task_executor() = default;

  // Starts a run. `lease_end` is a time on the executor's clock.
  virtual void Start(const order_context& context,
                     const worker_order& order,
                     millis lease_end,
                     executor_callback<executor_answer> callback) = 0;

  virtual void Stop(const order_context& context,
                    const task_name& task,
                    std::uint64_t run,
                    executor_callback<executor_answer> callback) = 0;

  virtual void SetPace(const order_context& context,
                       const worker_order& order,
                       executor_callback<executor_answer> callback) = 0;

  // Extends the lease of all running runs to `lease_end` (0: leaves it
  // unchanged), lets the executor discard ended runs up to number
  // `recorded_end`, and lists the running runs and the remaining ended ones.
  // Waits up to `wait` for another run to end.
  virtual void RenewLeases(const order_context& context,
                           millis lease_end,
                           std::uint64_t recorded_end,
                           millis wait,
                           executor_callback<executor_run_list> callback) = 0;
};

}  // namespace chervilkeel
