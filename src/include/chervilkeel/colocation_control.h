// Controls on one worker how much batch tasks may slow the colocated requests,
// based on the service times of these requests.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "chervilkeel/clock.h"
#include "chervilkeel/placement.h"
#include "wire/chervilkeel.pb.h"

namespace chervilkeel {

// Sum of a service's service times since the last control step.
struct service_times {
  std::string service;
  std::uint32_t count = 0;
  double log_ms_sum = 0;
};

// Accumulates service times between two control steps.
class service_time_sums {
 public:
  // Adds the service time of one request.
  void Add(const std::string& service, double service_ms);

  // Returns the sums and resets them.
  std::vector<service_times> Take();

 private:
  std::map<std::string, service_times> sums_;
};

// Settings of the controller. A tolerance is the allowed ratio of the mean
// service time to its baseline; 1 allows no slowdown.
struct colocation_options {
  double low_load_tolerance = 1.5;  // At low_load_until or below.
  double peak_tolerance = 1.16;     // At peak_from or above.
  double low_load_until = 0.3;      // Fraction of slots in use.
  double peak_from = 0.65;
};

// Returns the settings for a policy lean.
colocation_options ColocationOptionsFor(policy_lean lean);

// The fraction of a worker that tasks of a class have or would have.
struct class_share {
  std::string task_class;
  double share = 0;
};

// Effects are in the unit of request_effect_model: the increase of the natural
// logarithm of service times.
class colocation_control {
 public:
  explicit colocation_control(colocation_options options);

  // Updates the effects and baselines, which the owner learns from all workers
  // of the cell.
  void UpdateEffects(const wire::owner_reply& reply);

  // Processes the requests since the last step, the tasks that ran alongside
  // them, and the fraction of slots that requests hold or wait for.
  void Step(const std::vector<service_times>& times,
            const std::vector<class_share>& loads,
            double slots_in_use,
            millis now);

  // Returns the effect that a class's tasks would have if they used the whole
  // worker.
  double EffectOf(const std::string& task_class) const;

  // Returns the predicted effect of tasks with these shares.
  double PredictedEffect(const std::vector<class_share>& loads) const;

  // Returns the largest predicted effect that batch tasks may have now. It
  // shrinks when requests are slower than predicted.
  double Budget() const;

  // Returns the measured ratio of recent service times to their baseline; 1
  // while too few requests have ended recently.
  double MeasuredSlowdown() const;

  // Returns the measurements since the last call, to be sent to the owner.
  wire::effect_sample TakeSample();

 private:
  double Tolerance() const;

  const colocation_options options_;
  std::map<std::string, double> effects_;
  std::map<std::string, double> baselines_;
  std::map<std::string, service_times> sampled_;
  std::map<std::string, double> sampled_loads_;  // Summed over requests.
  double sampled_requests_ = 0;
  double recent_requests_ = 0;
  double recent_log_ratio_ = 0;         // Sum of log ratios to baseline.
  double recent_predicted_effect_ = 0;  // Sum of their predictions.
  double slots_in_use_ = 0;
  millis stepped_at_ = 0;
};

}  // namespace chervilkeel
