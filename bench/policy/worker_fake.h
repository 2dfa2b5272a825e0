// A worker and its executor as the policy bench plays them: tasks and requests
// slow each other in ways that the policy is not told.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "chervilkeel/agent_core.h"
#include "scenario.h"

namespace chervilkeel::bench {

// What a worker has done so far. Processors are counted as declared.
struct worker_totals {
  double useful_processor_seconds = 0;  // Of batch work, lost work taken off.
  double task_seconds = 0;
  double request_processor_seconds = 0;
  std::uint64_t finished = 0;
  std::uint64_t over_size = 0;  // Instants at which it was given too much.
};

class worker_fake {
 public:
  worker_fake(const house_scenario& house, std::uint64_t seed);

  // Carries out an agent's orders and lists all tasks.
  std::vector<worker_task> Act(const std::vector<worker_action>& actions,
                               double seconds);

  // Brings the tasks' progress to an instant.
  void Advance(double seconds);

  // Takes a request into a slot and returns its service time in seconds. It is
  // drawn from `draw`, so that it is the same under every policy.
  double StartRequest(double alone_seconds, double seconds);
  void EndRequest(double seconds);

  // Processors that batch tasks are given now.
  double BatchProcessors() const;

  const worker_totals& Totals() const { return totals_; }

 private:
  struct running_task {
    const batch_class* kind = nullptr;
    amount need;
    double share = 1;
    double length = 0;      // Seconds of work in all.
    double done = 0;        // Seconds of work done.
    double checkpoint = 0;  // Seconds of work that a checkpoint keeps.
    worker_task_state state = worker_task_state::kRunning;
  };

  void Start(const worker_action& action);
  void Apply(const worker_action& action);
  double LengthOf(const wire::assignment& assignment,
                  const batch_class& kind) const;
  double Used(const running_task& task) const;
  double Slowdown(double batch_class::*effect,
                  const running_task* without,
                  double seconds) const;
  double Contention() const;
  void CheckSize();

  const house_scenario& house_;
  const std::uint64_t seed_;
  std::map<std::string, running_task> tasks_;
  std::uint32_t busy_ = 0;
  double advanced_to_ = 0;
  worker_totals totals_;
};

}  // namespace chervilkeel::bench
