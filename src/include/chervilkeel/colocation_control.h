// Decides on one worker how much batch tasks may slow the requests beside
// them, from the requests' own service times.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "chervilkeel/clock.h"
#include "chervilkeel/placement.h"
#include "wire/chervilkeel.pb.h"

namespace chervilkeel {

// Service times of one service since the last control step.
struct service_times {
  std::string service;
  std::uint32_t count = 0;
  double log_ms_sum = 0;
};

// Sums up service times between two control steps.
class service_time_sums {
 public:
  // Adds one request's service time in milliseconds.
  void Add(const std::string& service, double service_ms);

  // Returns the sums and begins anew.
  std::vector<service_times> Take();

 private:
  std::map<std::string, service_times> sums_;
};

// The settings of the control. A tolerance is by how much the mean service
// time may grow over its baseline; 1 means not at all.
struct colocation_options {
  double calm_tolerance = 1.5;    // While few slots are in use.
  double crest_tolerance = 1.16;  // While many are.
  double calm_until = 0.3;        // Share of the slots in use.
  double crest_from = 0.65;
};

// Returns the tolerances that suit a lean.
colocation_options ColocationFor(policy_lean lean);

// The share of a worker that tasks of a class are given or would be given.
struct class_share {
  std::string task_class;
  double share = 0;
};

// Effects are in the unit of request_effect_model: the growth of the log of
// service times.
class colocation_control {
 public:
  explicit colocation_control(colocation_options options);

  // Takes what the owner has learned from all workers of the cell.
  void TakeEffects(const wire::owner_reply& reply);

  // Takes the requests since the last step, the tasks that ran beside them,
  // and the share of the slots that requests hold or wait for.
  void Step(const std::vector<service_times>& times,
            const std::vector<class_share>& loads,
            double slots_in_use,
            millis now);

  // Returns the effect of a class's tasks if they were given the whole worker.
  double EffectOf(const std::string& task_class) const;

  // Returns the predicted effect of a load.
  double Predicted(const std::vector<class_share>& loads) const;

  // Returns the predicted effect that batch tasks may have now. It shrinks
  // when requests turn out slower than predicted.
  double Budget() const;

  // Returns the seen growth of service times as a factor; 1 while too few
  // requests ended lately.
  double SeenSlowdown() const;

  // Returns what was seen since the last call, for the owner.
  wire::effect_sample TakeSample();

 private:
  double Tolerance() const;

  const colocation_options options_;
  std::map<std::string, double> effects_;
  std::map<std::string, double> baselines_;
  std::map<std::string, service_times> sampled_;
  std::map<std::string, double> sampled_loads_;  // Sums over the requests.
  double sampled_requests_ = 0;
  double recent_requests_ = 0;
  double recent_growth_ = 0;     // Sum of log growths.
  double recent_predicted_ = 0;  // Sum of the growths predicted for them.
  double slots_in_use_ = 0;
  millis stepped_at_ = 0;
};

}  // namespace chervilkeel
