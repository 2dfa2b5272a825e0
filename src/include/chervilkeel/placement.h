// Selects the worker that a task is assigned to.
#pragma once

#include <array>
#include <limits>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "chervilkeel/amount.h"

namespace chervilkeel {

// The operator's preference where batch throughput and the tail latency of
// services conflict: the setting `lean`.
enum class policy_lean { kBatch, kTail };

struct lean_name {
  policy_lean lean;
  const char* name;
};

// The values of the setting `lean`.
inline constexpr std::array<lean_name, 2> kLeanNames = {{
    {policy_lean::kBatch, "batch"},
    {policy_lean::kTail, "tail"},
}};

// Estimates how much slower a task of one class runs when colocated with a
// task of another class. Keeps a running mean for each ordered pair; the
// estimate of a pair with few reports is uncertain.
class interference_model {
 public:
  // Records that a task of `task_class` took `slowdown` times its usual run
  // time while colocated with `neighbours`. 1 means no effect.
  void Learn(const std::string& task_class,
             const std::vector<std::string>& neighbours,
             double slowdown);

  // Returns the expected slowdown of a pair. The estimate of a pair with few
  // reports shrinks towards 1, so that the pair is colocated and measured.
  double Expected(const std::string& task_class,
                  const std::string& neighbour) const;

 private:
  struct pair_estimate {
    double mean = 1.0;
    double weight = 0.0;
  };
  std::map<std::pair<std::string, std::string>, pair_estimate> pairs_;
};

// The number of tasks of one class that are assigned to a worker.
struct class_count {
  std::string task_class;
  std::uint32_t tasks = 0;
};

// The state of a worker that placement takes into account.
struct placement_candidate {
  std::string agent;
  std::string rack;
  amount capacity;                   // Total resources of the worker.
  amount free_capacity;              // Resources still free for batch tasks.
  std::vector<class_count> classes;  // Tasks assigned to it, by class.
  // Slowdown of the worker's requests that further tasks may still cause.
  double effect_headroom = std::numeric_limits<double>::infinity();
  std::size_t same_job_in_rack = 0;  // Tasks of the same job in its rack.
  // Has reported recently, isn't draining and isn't quarantined.
  bool usable = true;

  // Adds one task of a class to the counts.
  void AddTask(const std::string& task_class);
};

// A task that needs a worker.
struct placement_request {
  std::string task_class;
  amount need;
  // Slowdown of requests if tasks of this class used a whole worker.
  double effect = 0;
  std::vector<std::string> avoid;  // Agents on which the task failed before.
  // Index of the first candidate to examine, modulo their number.
  std::size_t first_candidate = 0;
};

// Returns the fraction of a worker's processors that `need` uses.
double ShareOfWorker(const amount& need, const placement_candidate& candidate);

// Returns whether the slowdown of requests that a task causes is within the
// worker's limit. A worker without tasks accepts every task, so that a task
// with a large effect doesn't wait forever.
bool EffectFits(const placement_request& request,
                const placement_candidate& candidate);

// The selected worker and the reason, for logs and reports.
struct placement_choice {
  int index = -1;  // Of the candidate; -1 if none qualifies.
  std::string reason;
};

// Scores the first few usable candidates with enough free capacity, starting at
// the index given in the request, and returns the one with the lowest cost. The
// cost combines predicted slowdown, effect on requests, spread over racks and
// unused capacity. The number of candidates scored is bounded, so that the cost
// of scoring doesn't grow with the size of the cell.
placement_choice ChooseWorker(
    const placement_request& request,
    const std::vector<placement_candidate>& candidates,
    const interference_model& interference);

}  // namespace chervilkeel
