// The part of agent_core that divides the worker between requests and batch
// tasks: throttles, evicts and starts tasks, and raises throttled shares again.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <tuple>

#include "chervilkeel/agent_core.h"
#include "chervilkeel/cell_state.h"

namespace chervilkeel {

namespace {

constexpr const char* kPart = "agent";
// The fraction of the effect budget that may be used when tasks are started or
// their shares raised.
constexpr double kUsableBudgetFraction = 0.9;

// Smaller reductions of a share are skipped unless the target share is at most
// one half.
constexpr double kMinShareReduction = 0.02;

// A task is evicted for slowing requests if the effect after throttling exceeds
// the budget by this factor.
constexpr double kEffectEvictionFactor = 1.5;

// Multiplies `eviction_delay` for evictions that are due to slow requests.
constexpr millis kEffectEvictionDelayFactor = 5;

// Rounds a share down to a whole number of milli-processors.
double RoundDownShare(double share, const amount& need) {
  const auto milli = static_cast<double>(need.milli_processors);
  return milli > 0 ? std::floor(share * milli) / milli : share;
}

// Describes the predicted, allowed and observed slowdown of requests.
std::string DescribeEffect(double in_use, const colocation_control& control) {
  char text[160];
  std::snprintf(
      text, sizeof text,
      "predicted slowdown of requests by batch tasks is %.0f%%, limit "
      "%.0f%%; measured service times are %.2f times the baseline",
      100 * std::expm1(in_use), 100 * std::expm1(control.Budget()),
      control.MeasuredSlowdown());
  return text;
}

}  // namespace

void agent_core::OnRequests(const std::vector<service_times>& times,
                            double slots_in_use,
                            millis now) {
  colocation_.Step(times, Loads(), slots_in_use, now);
}

// Returns the predicted effect of a task on requests at a share of 1, as the
// logarithm of the slowdown factor.
double agent_core::EffectOf(const local_task& task) const {
  if (options_.capacity.milli_processors <= 0) {
    return 0;
  }
  return colocation_.EffectOf(task.assignment.task_class()) *
         static_cast<double>(task.need.milli_processors) /
         static_cast<double>(options_.capacity.milli_processors);
}

double agent_core::EffectInUse() const {
  double sum = 0;
  for (const auto& [name, task] : tasks_) {
    if (task.phase == local_phase::kStarting ||
        task.phase == local_phase::kRunning) {
      sum += EffectOf(task) * task.share;
    }
  }
  return sum;
}

double agent_core::EffectHeadroom() const {
  double headroom =
      colocation_.Budget() * kUsableBudgetFraction - EffectInUse();
  for (const auto& [name, task] : tasks_) {
    if (task.phase == local_phase::kBacklog) {
      headroom -= EffectOf(task);
    }
  }
  return headroom;
}

std::vector<class_share> agent_core::Loads() const {
  std::vector<class_share> loads;
  for (const auto& [name, task] : tasks_) {
    if (task.phase == local_phase::kStarting ||
        task.phase == local_phase::kRunning) {
      loads.push_back(
          {task.assignment.task_class(),
           task.share * static_cast<double>(task.need.milli_processors) /
               static_cast<double>(options_.capacity.milli_processors)});
    }
  }
  return loads;
}

// Returns the target shares of the running tasks. Shares are reduced first
// until the effects fit the budget, then until the processors fit. Tasks of the
// class with the largest effect on requests are reduced first.
std::vector<agent_core::planned_task> agent_core::PlanShares(
    const amount& allowed) {
  std::vector<planned_task> plan;
  double effects = 0;
  double used = 0;
  for (auto& [name, task] : tasks_) {
    if (task.phase != local_phase::kRunning || task.stopping) {
      continue;
    }
    plan.push_back({&task, EffectOf(task), 1.0});
    effects += plan.back().effect;
    used += static_cast<double>(task.need.milli_processors);
  }
  std::stable_sort(
      plan.begin(), plan.end(),
      [this](const planned_task& left, const planned_task& right) {
        return std::make_tuple(
                   -colocation_.EffectOf(left.task->assignment.task_class()),
                   left.task->assignment.priority()) <
               std::make_tuple(
                   -colocation_.EffectOf(right.task->assignment.task_class()),
                   right.task->assignment.priority());
      });
  const double budget = colocation_.Budget();
  for (planned_task& entry : plan) {
    if (effects > budget && entry.effect > 0) {
      const double cut =
          std::min((effects - budget) / entry.effect, 1.0 - options_.min_share);
      entry.share -= cut;
      effects -= cut * entry.effect;
      used -= cut * static_cast<double>(entry.task->need.milli_processors);
    }
  }
  const auto limit = static_cast<double>(allowed.milli_processors);
  for (planned_task& entry : plan) {
    const auto need = static_cast<double>(entry.task->need.milli_processors);
    if (used > limit && need > 0) {
      const double cut =
          std::min((used - limit) / need, entry.share - options_.min_share);
      entry.share -= std::max(cut, 0.0);
      used -= std::max(cut, 0.0) * need;
    }
    entry.share = RoundDownShare(entry.share, entry.task->need);
  }
  return plan;
}

void agent_core::Evict(std::vector<worker_action>& actions,
                       local_task& task,
                       const std::string& why) {
  worker_action action;
  action.kind = worker_action_kind::kEvict;
  action.task = NameOf(task.id);
  actions.push_back(action);
  if (!task.stopping) {
    task.stopping = true;
    task.reason = why;
    ++evictions_;
    log_.Add(kPart, action.task, "evicted the task", why);
  }
}

void agent_core::ResolveOverload(std::vector<worker_action>& actions,
                                 const amount& allowed,
                                 millis now) {
  const std::vector<planned_task> plan = PlanShares(allowed);
  const bool overcommitted =
      BatchInUse().milli_processors > allowed.milli_processors;
  const bool exceeds_effect_budget = EffectInUse() > colocation_.Budget();
  if (!overcommitted && !exceeds_effect_budget) {
    overloaded_since_ = 0;
    if (normal_since_ == 0) {
      normal_since_ = now;
    }
    if (now - normal_since_ >= options_.restore_delay) {
      RestoreShares(actions, plan, allowed);
    }
    return;
  }
  normal_since_ = 0;
  if (overloaded_since_ == 0) {
    overloaded_since_ = now;
  }
  Throttle(actions, plan, overcommitted);
  EvictOnOverload(actions, plan, allowed, now);
}

void agent_core::Throttle(std::vector<worker_action>& actions,
                          const std::vector<planned_task>& plan,
                          bool overcommitted) {
  for (const planned_task& entry : plan) {
    const double cut = entry.task->share - entry.share;
    if (cut <= 0 || (cut < kMinShareReduction && entry.share > 0.5)) {
      continue;
    }
    worker_action action;
    action.kind = worker_action_kind::kThrottle;
    action.task = NameOf(entry.task->id);
    action.share = entry.share;
    actions.push_back(action);
    if (entry.task->share >= 1.0) {
      log_.Add(kPart, action.task, "throttled the task",
               overcommitted ? "requests need more processors"
                             : DescribeEffect(EffectInUse(), colocation_));
    }
  }
}

// Evicts a task if throttling is not enough. A lack of processors leads to an
// eviction sooner than slow requests do.
void agent_core::EvictOnOverload(std::vector<worker_action>& actions,
                                 const std::vector<planned_task>& plan,
                                 const amount& allowed,
                                 millis now) {
  double processors = 0;
  double effects = 0;
  for (const planned_task& entry : plan) {
    processors +=
        entry.share * static_cast<double>(entry.task->need.milli_processors);
    effects += entry.share * entry.effect;
  }
  const millis overloaded_for = now - overloaded_since_;
  if (processors > static_cast<double>(allowed.milli_processors) &&
      overloaded_for >= options_.eviction_delay) {
    EvictCheapest(actions, now,
                  "throttling did not free enough processors for the requests");
    overloaded_since_ = now;
  } else if (effects > kEffectEvictionFactor * colocation_.Budget() &&
             overloaded_for >=
                 kEffectEvictionDelayFactor * options_.eviction_delay) {
    EvictCheapest(actions, now,
                  "requests are too slow even with all batch tasks throttled");
    overloaded_since_ = now;
  }
}

// Evicts the running task that is cheapest to lose: the one with the lowest
// priority, then the shortest time since its last checkpoint, then the least
// progress.
void agent_core::EvictCheapest(std::vector<worker_action>& actions,
                               millis now,
                               const std::string& why) {
  local_task* cheapest = nullptr;
  const auto cost = [&](const local_task& task) {
    return std::make_tuple(task.assignment.priority(), now - task.checkpoint_at,
                           task.progress_ms);
  };
  for (auto& [name, task] : tasks_) {
    if (task.phase == local_phase::kRunning && !task.stopping &&
        (!cheapest || cost(task) < cost(*cheapest))) {
      cheapest = &task;
    }
  }
  if (cheapest) {
    Evict(actions, *cheapest, why);
  }
}

// Raises throttled shares by one step towards the plan, within the limits on
// processors and effect. Tasks with the smallest effect on requests come first.
void agent_core::RestoreShares(std::vector<worker_action>& actions,
                               const std::vector<planned_task>& plan,
                               const amount& allowed) {
  auto free_processors = static_cast<double>(allowed.milli_processors -
                                             BatchInUse().milli_processors);
  double effect_headroom =
      colocation_.Budget() * kUsableBudgetFraction - EffectInUse();
  for (auto entry = plan.rbegin(); entry != plan.rend(); ++entry) {
    const local_task& task = *entry->task;
    const auto need = static_cast<double>(task.need.milli_processors);
    double raise =
        std::min(entry->share - task.share, options_.max_restore_step);
    raise = std::min(raise, free_processors / std::max(need, 1.0));
    if (entry->effect > 0) {
      raise = std::min(raise, effect_headroom / entry->effect);
    }
    const double share = RoundDownShare(task.share + raise, task.need);
    if (share <= task.share) {
      continue;
    }
    free_processors -= (share - task.share) * need;
    effect_headroom -= (share - task.share) * entry->effect;
    worker_action action;
    action.kind = worker_action_kind::kThrottle;
    action.task = NameOf(task.id);
    action.share = share;
    actions.push_back(action);
  }
}

// Starts tasks of the backlog in order of priority as long as their full needs
// fit. Throttled tasks count with their full needs, so that a new task never
// keeps another one throttled.
void agent_core::StartBacklog(std::vector<worker_action>& actions,
                              const amount& allowed,
                              millis now) {
  amount free_capacity = allowed;
  std::vector<local_task*> backlog;
  for (auto& [name, task] : tasks_) {
    if (task.phase == local_phase::kStarting ||
        task.phase == local_phase::kRunning) {
      free_capacity -= task.need;
    }
    if (task.phase == local_phase::kBacklog && !task.withdrawn) {
      backlog.push_back(&task);
    }
  }
  std::stable_sort(backlog.begin(), backlog.end(),
                   [](const local_task* left, const local_task* right) {
                     return left->assignment.priority() >
                            right->assignment.priority();
                   });
  double effect_headroom =
      colocation_.Budget() * kUsableBudgetFraction - EffectInUse();
  bool empty = Loads().empty();
  for (local_task* task : backlog) {
    const double effect = EffectOf(*task);
    if (!Fits(task->need, free_capacity) ||
        (effect > effect_headroom && !empty)) {
      continue;
    }
    free_capacity -= task->need;
    effect_headroom -= effect;
    empty = false;
    task->phase = local_phase::kStarting;
    task->checkpoint_at = now;
    worker_action action;
    action.kind = worker_action_kind::kStart;
    action.task = NameOf(task->id);
    action.lease_until = LeaseEnd(now);
    action.assignment = task->assignment;
    task->start_deadline = action.lease_until;
    actions.push_back(std::move(action));
    log_.Add(kPart, NameOf(task->id), "started the task",
             "it fits alongside " + std::to_string(planned_slots_) +
                 " request slots");
  }
}

}  // namespace chervilkeel
