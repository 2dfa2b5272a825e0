// Chooses the worker of a task.
#pragma once

#include <array>
#include <limits>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "chervilkeel/amount.h"

namespace chervilkeel {

// What operators weigh more heavily where the two can't both be had.
enum class policy_lean { kBatch, kTail };

struct lean_name {
  policy_lean lean;
  const char* name;
};

// The names of the leans in settings.
inline constexpr std::array<lean_name, 2> kLeanNames = {{
    {policy_lean::kBatch, "batch"},
    {policy_lean::kTail, "tail"},
}};

// Learns how much slower a task of one class runs beside another class.
// Reports move a mean per pair; few reports leave a wide uncertainty.
class interference_model {
 public:
  // Learns that a task of `task_class` took `slowdown` times its usual time
  // while `neighbours` ran beside it. 1 means no effect.
  void Learn(const std::string& task_class,
             const std::vector<std::string>& neighbours,
             double slowdown);

  // Returns the expected slowdown of a pair. A pair with few reports is drawn
  // towards 1, so that it is tried and learned.
  double Expected(const std::string& task_class,
                  const std::string& neighbour) const;

 private:
  struct pair_estimate {
    double mean = 1.0;
    double weight = 0.0;
  };
  std::map<std::pair<std::string, std::string>, pair_estimate> pairs_;
};

// How many tasks of one class a worker is assigned.
struct class_count {
  std::string task_class;
  std::uint32_t tasks = 0;
};

// A worker as placement sees it.
struct placement_candidate {
  std::string agent;
  std::string rack;
  amount capacity;                   // The whole worker.
  amount room;                       // What batch work may still take.
  std::vector<class_count> classes;  // Of the tasks assigned to it.
  // What tasks may still slow its requests.
  double effect_room = std::numeric_limits<double>::infinity();
  std::size_t same_job_in_rack = 0;  // Tasks of the same job in its rack.
  bool usable = true;  // Heard lately, not leaving, no quarantine.

  // Counts one more task.
  void AddTask(const std::string& task_class);
};

// A task to be placed.
struct placement_request {
  std::string task_class;
  amount need;
  double effect = 0;  // On requests, if its class were given a whole worker.
  std::vector<std::string> avoid;  // Agents on which the task failed before.
  std::size_t first = 0;  // Candidate to begin with, modulo their count.
};

// Returns the part of a worker's processors that a need takes.
double ShareOfWorker(const amount& need, const placement_candidate& candidate);

// Says whether a task's effect on requests fits a worker; one without any task
// takes every task, so that none waits for ever.
bool EffectFits(const placement_request& request,
                const placement_candidate& candidate);

// The choice and its reason.
struct placement_choice {
  int index = -1;  // Into the candidates; -1 when there is none.
  std::string reason;
};

// Chooses, of the first few usable candidates with room from request.first on,
// the one whose predicted slowdown, effect on requests, spread over racks and
// left-over room score best. The cost of scoring doesn't grow with the number
// of candidates.
placement_choice ChooseWorker(
    const placement_request& request,
    const std::vector<placement_candidate>& candidates,
    const interference_model& interference);

}  // namespace chervilkeel
