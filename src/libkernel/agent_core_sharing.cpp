// The part of an agent that shares its worker between requests and batch
// tasks: throttling, eviction, giving back, starting.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <tuple>

#include "chervilkeel/agent_core.h"
#include "chervilkeel/cell_state.h"

namespace chervilkeel {

namespace {

constexpr const char* kPart = "agent";
constexpr double kBudgetUsed = 0.9;      // By starting and giving back.
constexpr double kLeastThrottle = 0.02;  // Change of a share worth an order.
constexpr double kEffectEviction = 1.5;  // Times the budget, past throttling.
constexpr millis kEffectPatience = 5;    // Times the wait before an eviction.

// Shares are whole milli-processors, rounded down.
double WholeShare(double share, const amount& need) {
  const auto milli = static_cast<double>(need.milli_processors);
  return milli > 0 ? std::floor(share * milli) / milli : share;
}

// Says by how much batch tasks slow requests and what is allowed.
std::string EffectText(double in_use, const colocation_control& control) {
  char text[160];
  std::snprintf(text, sizeof text,
                "batch tasks are expected to slow requests by %.0f%%, %.0f%% "
                "is allowed now; seen lately: %.2f times as long as alone",
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

// The effect on requests that a task has if it is given its whole need.
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

double agent_core::EffectRoom() const {
  double room = colocation_.Budget() * kBudgetUsed - EffectInUse();
  for (const auto& [name, task] : tasks_) {
    if (task.phase == local_phase::kBacklog) {
      room -= EffectOf(task);
    }
  }
  return room;
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

// Plans the shares of running tasks, those with the largest effect on requests
// first: cut until the effects fit the budget, then until the processors fit.
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
      const double cut = std::min((effects - budget) / entry.effect,
                                  1.0 - options_.lowest_share);
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
          std::min((used - limit) / need, entry.share - options_.lowest_share);
      entry.share -= std::max(cut, 0.0);
      used -= std::max(cut, 0.0) * need;
    }
    entry.share = WholeShare(entry.share, entry.task->need);
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

void agent_core::RelievePressure(std::vector<worker_action>& actions,
                                 const amount& allowed,
                                 millis now) {
  const std::vector<planned_task> plan = PlanShares(allowed);
  const bool crowded = BatchInUse().milli_processors > allowed.milli_processors;
  const bool harmful = EffectInUse() > colocation_.Budget();
  if (!crowded && !harmful) {
    pressure_since_ = 0;
    if (calm_since_ == 0) {
      calm_since_ = now;
    }
    if (now - calm_since_ >= options_.give_back_after) {
      GiveBack(actions, plan, allowed);
    }
    return;
  }
  calm_since_ = 0;
  if (pressure_since_ == 0) {
    pressure_since_ = now;
  }
  Throttle(actions, plan, crowded);
  EvictUnderPressure(actions, plan, allowed, now);
}

void agent_core::Throttle(std::vector<worker_action>& actions,
                          const std::vector<planned_task>& plan,
                          bool crowded) {
  for (const planned_task& entry : plan) {
    const double cut = entry.task->share - entry.share;
    if (cut <= 0 || (cut < kLeastThrottle && entry.share > 0.5)) {
      continue;
    }
    worker_action action;
    action.kind = worker_action_kind::kThrottle;
    action.task = NameOf(entry.task->id);
    action.share = entry.share;
    actions.push_back(action);
    if (entry.task->share >= 1.0) {
      log_.Add(kPart, action.task, "throttled the task",
               crowded ? "requests want more of the processors"
                       : EffectText(EffectInUse(), colocation_));
    }
  }
}

// Evicts when throttling everything to the lowest share was not enough: soon
// for want of processors, late for an effect on requests.
void agent_core::EvictUnderPressure(std::vector<worker_action>& actions,
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
  const millis pressed = now - pressure_since_;
  if (processors > static_cast<double>(allowed.milli_processors) &&
      pressed >= options_.evict_after) {
    EvictCheapest(actions, now,
                  "throttling did not free enough processors for the requests");
    pressure_since_ = now;
  } else if (effects > kEffectEviction * colocation_.Budget() &&
             pressed >= kEffectPatience * options_.evict_after) {
    EvictCheapest(actions, now,
                  "requests are too slow beside it, even throttled");
    pressure_since_ = now;
  }
}

// Evicts the running task whose loss costs least: the lowest priority first,
// then the one whose newest checkpoint loses least, then the least progress.
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

// Raises throttled shares a step towards the plan, those with the least effect
// on requests first, while processors and effects stay within what is allowed.
void agent_core::GiveBack(std::vector<worker_action>& actions,
                          const std::vector<planned_task>& plan,
                          const amount& allowed) {
  auto room = static_cast<double>(allowed.milli_processors -
                                  BatchInUse().milli_processors);
  double effect_room = colocation_.Budget() * kBudgetUsed - EffectInUse();
  for (auto entry = plan.rbegin(); entry != plan.rend(); ++entry) {
    const local_task& task = *entry->task;
    const auto need = static_cast<double>(task.need.milli_processors);
    double raise = std::min(entry->share - task.share, options_.give_back_step);
    raise = std::min(raise, room / std::max(need, 1.0));
    if (entry->effect > 0) {
      raise = std::min(raise, effect_room / entry->effect);
    }
    const double share = WholeShare(task.share + raise, task.need);
    if (share <= task.share) {
      continue;
    }
    room -= (share - task.share) * need;
    effect_room -= (share - task.share) * entry->effect;
    worker_action action;
    action.kind = worker_action_kind::kThrottle;
    action.task = NameOf(task.id);
    action.share = share;
    actions.push_back(action);
  }
}

// Starts tasks by priority while the whole need of each fits beside the full
// needs of the others. Throttled tasks count whole, so that starting one never
// keeps another throttled.
void agent_core::StartBacklog(std::vector<worker_action>& actions,
                              const amount& allowed,
                              millis now) {
  amount room = allowed;
  std::vector<local_task*> backlog;
  for (auto& [name, task] : tasks_) {
    if (task.phase == local_phase::kStarting ||
        task.phase == local_phase::kRunning) {
      room -= task.need;
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
  double effect_room = colocation_.Budget() * kBudgetUsed - EffectInUse();
  bool empty = Loads().empty();
  for (local_task* task : backlog) {
    const double effect = EffectOf(*task);
    if (!Fits(task->need, room) || (effect > effect_room && !empty)) {
      continue;
    }
    room -= task->need;
    effect_room -= effect;
    empty = false;
    task->phase = local_phase::kStarting;
    task->checkpoint_at = now;
    worker_action action;
    action.kind = worker_action_kind::kStart;
    action.task = NameOf(task->id);
    action.lease_until = LeaseEnd(now);
    action.assignment = task->assignment;
    task->start_until = action.lease_until;
    actions.push_back(std::move(action));
    log_.Add(kPart, NameOf(task->id), "started the task",
             "it fits beside " + std::to_string(planned_slots_) +
                 " slots of requests");
  }
}

}  // namespace chervilkeel
