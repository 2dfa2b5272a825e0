#include "chervilkeel/agent_core.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "chervilkeel/cell_state.h"

namespace chervilkeel {

namespace {

constexpr const char* kPart = "agent";
// Tasks are evicted this long before the grant to run them expires.
constexpr millis kGrantMargin = 1'000;
constexpr double kRoundingTolerance = 1e-6;  // In milli-processors.

}  // namespace

const char* NameOf(worker_action_kind kind) {
  for (const auto& entry : kWorkerActionNames) {
    if (entry.kind == kind) {
      return entry.name;
    }
  }
  return "?";
}

agent_options OptionsForPolicy(agent_options options, policy_lean lean) {
  options.colocation = ColocationOptionsFor(lean);
  if (lean == policy_lean::kTail) {
    options.eviction_delay = 1'000;
    options.restore_delay = 200;
  }
  return options;
}

agent_core::agent_core(agent_options options, decision_log& log, millis now)
    : options_(std::move(options)),
      log_(log),
      colocation_(options_.colocation),
      earlier_starts_expire_at_(now + options_.worker_lease) {}

void agent_core::OnReply(const wire::owner_reply& reply,
                         millis sent_at,
                         millis now) {
  if (reply.outcome() != wire::report_accepted || reply.epoch() < epoch_) {
    return;
  }
  if (reply.epoch() > epoch_) {
    epoch_ = reply.epoch();
    last_sequence_ = 0;
    grant_sequence_ = 0;
    longest_right_ = 0;
  }
  if (reply.sequence() <= last_sequence_) {
    return;
  }
  last_sequence_ = reply.sequence();
  colocation_.UpdateEffects(reply);
  auto granted = static_cast<millis>(reply.hold_ms() > 0 ? reply.hold_ms()
                                                         : reply.tenure_ms());
  if (longest_right_ > 0) {
    granted = std::min(granted, longest_right_);
  }
  // A shorter grant is accepted, and thereby confirmed to the owner, only if
  // no lease on the worker ends after it.
  if (granted > 0 && sent_at + granted > now &&
      sent_at + granted >= latest_lease_end_) {
    grant_expires_at_ = sent_at + granted;
    grant_sequence_ = reply.sequence();
  }
  for (const auto& id : reply.withdraw()) {
    HandleWithdrawal(id);
  }
  for (const auto& id : reply.give_back()) {
    HandleRecall(id, now);
  }
  for (const auto& id : reply.acknowledged()) {
    HandleAcknowledgement(id);
  }
  for (const auto& assignment : reply.start()) {
    HandleStart(assignment);
  }
}

// Leases on the worker are shorter than a tenure, so none ends later.
void agent_core::ShortenRight(millis tenure, millis now) {
  longest_right_ = tenure;
  grant_expires_at_ = std::min(grant_expires_at_, now + tenure);
}

void agent_core::HandleStart(const wire::assignment& assignment) {
  const auto [at, added] = tasks_.try_emplace(NameOf(assignment.id()));
  local_task& task = at->second;
  if (!added) {
    if (task.assignment.task_class().empty()) {
      task.assignment = assignment;  // The task was adopted.
    }
    return;
  }
  task.id = assignment.id();
  task.assignment = assignment;
  task.need = FromWire(assignment.need());
  task.checkpoint = assignment.checkpoint();
}

void agent_core::HandleWithdrawal(const wire::task_id& id) {
  const auto found = tasks_.find(NameOf(id));
  if (found == tasks_.end() || found->second.phase == local_phase::kEnded) {
    return;
  }
  found->second.withdrawn = true;
}

// Ends withdrawn tasks of the backlog, and all of it when draining. Waits until
// no earlier agent process on this VM can still start one of them.
void agent_core::EndWithdrawnBacklog(millis now) {
  if (now < earlier_starts_expire_at_) {
    return;
  }
  for (auto& [name, task] : tasks_) {
    if (task.phase == local_phase::kBacklog && (task.withdrawn || draining_)) {
      task.phase = local_phase::kEnded;
      task.reason =
          draining_ ? "the agent is draining" : "withdrawn before it started";
    }
  }
}

void agent_core::HandleRecall(const wire::task_id& id, millis now) {
  const auto found = tasks_.find(NameOf(id));
  if (found == tasks_.end() || now < earlier_starts_expire_at_ ||
      found->second.phase != local_phase::kBacklog) {
    return;
  }
  found->second.phase = local_phase::kEnded;
  found->second.reason = "recalled before it started";
}

void agent_core::HandleAcknowledgement(const wire::task_id& id) {
  const auto found = tasks_.find(NameOf(id));
  if (found != tasks_.end() && found->second.phase == local_phase::kEnded) {
    found->second.acknowledged = true;
  }
}

void agent_core::OnWorkerTasks(const std::vector<worker_task>& tasks,
                               millis asked_at) {
  std::map<std::string, const worker_task*> listed;
  for (const worker_task& task : tasks) {
    listed[task.task] = &task;
    if (tasks_.count(task.task) == 0) {
      Adopt(task);
    }
  }
  for (auto& [name, task] : tasks_) {
    const auto found = listed.find(name);
    if (found != listed.end()) {
      UpdateListedTask(task, *found->second);
    } else {
      HandleUnlistedTask(task, asked_at);
    }
  }
  std::erase_if(tasks_, [&](const auto& entry) {
    return entry.second.phase == local_phase::kEnded &&
           entry.second.acknowledged && listed.count(entry.first) == 0;
  });
  const std::int64_t free =
      options_.capacity.milli_processors - BatchInUse().milli_processors;
  const std::int64_t granted = std::clamp<std::int64_t>(
      free / options_.milli_processors_per_slot, 0, options_.slots);
  granted_slots_ = static_cast<std::uint32_t>(granted);
}

// Registers a task that was started by an earlier process of this agent.
void agent_core::Adopt(const worker_task& listed) {
  const auto id = ParseTaskId(listed.task);
  if (!id.has_value()) {
    return;
  }
  local_task& task = tasks_[listed.task];
  task.id = id.value();
  task.need = listed.need;
  task.phase = local_phase::kRunning;
  log_.Add(kPart, listed.task, "adopted the task",
           "the worker lists it, but this agent process did not start it");
}

void agent_core::UpdateListedTask(local_task& task, const worker_task& listed) {
  if (task.phase == local_phase::kEnded) {
    return;
  }
  task.phase = local_phase::kRunning;
  task.share = listed.share;
  task.progress_ms = listed.progress_ms;
  if (!listed.checkpoint.empty()) {
    task.checkpoint = listed.checkpoint;
  }
  if (listed.state == worker_task_state::kRunning) {
    return;
  }
  task.phase = local_phase::kEnded;
  task.end_phase = EndPhaseOf(task, listed.state);
  if (listed.state == worker_task_state::kFailed) {
    task.reason = "failed: " + listed.reason;
  } else if (listed.state == worker_task_state::kLapsed) {
    task.reason = "its worker lease expired";
  }
}

wire::task_phase agent_core::EndPhaseOf(const local_task& task,
                                        worker_task_state state) {
  switch (state) {
    case worker_task_state::kFinished:
      return wire::phase_finished;
    case worker_task_state::kFailed:
      return wire::phase_failed;
    case worker_task_state::kLapsed:
      return wire::phase_evicted;
    default:
      return task.withdrawn ? wire::phase_stopped : wire::phase_evicted;
  }
}

// Handles a task that the worker does not list. A start request may still be
// in transit until the lease that it carried has expired; after that, the task
// can no longer start. A running task that is not listed was lost together with
// its worker.
void agent_core::HandleUnlistedTask(local_task& task, millis asked_at) {
  if (task.phase == local_phase::kStarting && asked_at > task.start_deadline) {
    task.phase = task.withdrawn || draining_ ? local_phase::kEnded
                                             : local_phase::kBacklog;
    task.reason = "the worker did not start the task";
  }
  if (task.phase == local_phase::kRunning) {
    task.phase = local_phase::kEnded;
    task.end_phase = wire::phase_evicted;
    task.reason = "the worker no longer lists the task";
  }
}

amount agent_core::BatchInUse() const {
  amount used;
  for (const auto& [name, task] : tasks_) {
    if (task.phase == local_phase::kStarting) {
      used += task.need;
    }
    if (task.phase == local_phase::kRunning) {
      amount need = task.need;
      // Rounded up, because rounding down would let the sum of all needs exceed
      // the capacity of the worker.
      need.milli_processors = static_cast<std::int64_t>(
          std::ceil(static_cast<double>(need.milli_processors) * task.share -
                    kRoundingTolerance));
      used += need;
    }
  }
  return used;
}

amount agent_core::BatchCapacity(std::uint32_t wanted_slots) const {
  amount allowed = options_.capacity;
  allowed.milli_processors -= options_.milli_processors_per_slot * wanted_slots;
  allowed.memory_mb -= options_.executor_memory_mb;
  return allowed;
}

std::vector<worker_action> agent_core::Tick(std::uint32_t wanted_slots,
                                            millis now) {
  std::vector<worker_action> actions;
  planned_slots_ = std::min(wanted_slots, options_.slots);
  const amount allowed = BatchCapacity(planned_slots_);
  EndWithdrawnBacklog(now);
  AddForgetActions(actions);
  MaintainRunningTasks(actions, now);
  ResolveOverload(actions, allowed, now);
  if (!draining_ && MayRun(now)) {
    StartBacklog(actions, allowed, now);
  }
  return actions;
}

void agent_core::AddForgetActions(std::vector<worker_action>& actions) {
  for (const auto& [name, task] : tasks_) {
    if (task.phase == local_phase::kEnded && task.acknowledged) {
      worker_action action;
      action.kind = worker_action_kind::kForget;
      action.task = name;
      actions.push_back(action);
    }
  }
}

void agent_core::MaintainRunningTasks(std::vector<worker_action>& actions,
                                      millis now) {
  const bool grant_expires_soon = grant_expires_at_ - now <= kGrantMargin;
  for (auto& [name, task] : tasks_) {
    if (task.phase != local_phase::kRunning) {
      continue;
    }
    worker_action action;
    action.task = name;
    if (task.withdrawn) {
      action.kind = worker_action_kind::kStop;
      task.reason = "withdrawn by the owner";
      actions.push_back(action);
    } else if (draining_) {
      Evict(actions, task, "the agent is draining");
    } else if (grant_expires_soon && grant_expires_at_ != 0) {
      Evict(actions, task, "the grant to run tasks is about to expire");
    } else if (MayRun(now)) {
      action.kind = worker_action_kind::kRenew;
      action.lease_until = LeaseEnd(now);
      actions.push_back(action);
      if (now - task.checkpoint_at >= options_.checkpoint_interval) {
        task.checkpoint_at = now;
        action.kind = worker_action_kind::kCheckpoint;
        actions.push_back(action);
      }
    }
  }
}

// Returns the end of a worker lease that is requested now and records it.
millis agent_core::LeaseEnd(millis now) {
  const millis end = std::min(now + options_.worker_lease, grant_expires_at_);
  latest_lease_end_ = std::max(latest_lease_end_, end);
  return end;
}

void agent_core::FillReport(wire::agent_report& report) const {
  report.set_epoch(epoch_);
  report.set_right_sequence(grant_sequence_);
  report.set_draining(draining_);
  *report.mutable_capacity() = ToWire(options_.capacity);
  *report.mutable_batch_room() = ToWire(BatchCapacity(planned_slots_));
  report.set_effect_room(EffectHeadroom());
  for (const auto& [name, task] : tasks_) {
    auto* entry = report.add_tasks();
    *entry->mutable_id() = task.id;
    entry->set_progress_ms(static_cast<std::uint64_t>(task.progress_ms));
    entry->set_checkpoint(task.checkpoint);
    entry->set_reason(task.reason);
    entry->set_throttled(task.share < 1.0);
    switch (task.phase) {
      case local_phase::kBacklog:
        entry->set_phase(wire::phase_backlog);
        break;
      case local_phase::kEnded:
        entry->set_phase(task.end_phase);
        break;
      default:
        entry->set_phase(wire::phase_running);
        break;
    }
  }
}

void agent_core::Drain() {
  draining_ = true;
}

}  // namespace chervilkeel
