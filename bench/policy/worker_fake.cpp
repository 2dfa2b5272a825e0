#include "worker_fake.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

#include "chervilkeel/cell_state.h"

namespace chervilkeel::bench {

namespace {

constexpr double kMilli = 1000.0;
constexpr double kRunSigma = 0.5;         // Of the log of a task's length.
constexpr double kStragglerShare = 0.03;  // Of the tasks.
constexpr double kStragglerFactor = 8;    // Times the usual length.
constexpr double kIdleEffect = 0.6;       // Of effects on an idle worker.
constexpr double kLoadEffect = 0.8;       // Added on a busy one.

}  // namespace

worker_fake::worker_fake(const house_scenario& house, std::uint64_t seed)
    : house_(house), seed_(seed) {}

// The length of a task is the same on every worker and under every policy.
double worker_fake::LengthOf(const wire::assignment& assignment,
                             const batch_class& kind) const {
  std::seed_seq mix{seed_, std::uint64_t{assignment.id().index()},
                    std::uint64_t{kind.milli_processors},
                    std::uint64_t{kind.memory_mb}};
  std::mt19937_64 random(mix);
  double length = std::lognormal_distribution(std::log(kind.run_seconds),
                                              kRunSigma)(random);
  if (std::uniform_real_distribution<>()(random) < kStragglerShare) {
    length *= kStragglerFactor;
  }
  return length;
}

void worker_fake::Start(const worker_action& action) {
  running_task task;
  for (const batch_class& kind : house_.classes) {
    if (kind.name == action.assignment.task_class()) {
      task.kind = &kind;
    }
  }
  task.need = FromWire(action.assignment.need());
  task.length = LengthOf(action.assignment, *task.kind);
  if (!action.assignment.checkpoint().empty()) {
    task.done = std::strtod(action.assignment.checkpoint().c_str(), nullptr);
    task.checkpoint = task.done;
  }
  tasks_.emplace(action.task, task);
}

void worker_fake::Apply(const worker_action& action) {
  if (action.kind == worker_action_kind::kStart) {
    Start(action);
    return;
  }
  const auto found = tasks_.find(action.task);
  if (found == tasks_.end()) {
    return;
  }
  running_task& task = found->second;
  const bool running = task.state == worker_task_state::kRunning;
  switch (action.kind) {
    case worker_action_kind::kThrottle:
      task.share = action.share;
      break;
    case worker_action_kind::kCheckpoint:
      task.checkpoint = task.done;
      break;
    case worker_action_kind::kEvict:
      task.checkpoint = task.done;
      task.state = running ? worker_task_state::kStopped : task.state;
      break;
    case worker_action_kind::kStop:
      task.state = running ? worker_task_state::kStopped : task.state;
      break;
    case worker_action_kind::kForget:
      tasks_.erase(found);
      break;
    default:
      break;
  }
}

std::vector<worker_task> worker_fake::Act(
    const std::vector<worker_action>& actions,
    double seconds) {
  Advance(seconds);
  for (const worker_action& action : actions) {
    Apply(action);
  }
  CheckSize();
  std::vector<worker_task> listed;
  for (const auto& [name, task] : tasks_) {
    worker_task entry;
    entry.task = name;
    entry.state = task.state;
    entry.need = task.need;
    entry.share = task.share;
    entry.progress_ms = static_cast<millis>(task.done * kMilli);
    if (task.checkpoint > 0) {
      entry.checkpoint = std::to_string(task.checkpoint);
    }
    listed.push_back(entry);
  }
  return listed;
}

double worker_fake::Used(const running_task& task) const {
  if (task.state != worker_task_state::kRunning) {
    return 0;
  }
  return static_cast<double>(task.need.milli_processors) *
         std::min(task.share, task.kind->used_share);
}

double worker_fake::Slowdown(double batch_class::*effect,
                             const running_task* without,
                             double seconds) const {
  double used = busy_ * kMilli;
  double sum = 0;
  for (const auto& [name, task] : tasks_) {
    used += Used(task);
    if (&task != without) {
      sum += task.kind->*effect * Used(task);
    }
  }
  const double load = std::min(1.0, used / house_.milli_processors);
  return 1 + WaveFactor(seconds) * (kIdleEffect + kLoadEffect * load) * sum /
                 house_.milli_processors;
}

// Everything slows alike when more is used than there is.
double worker_fake::Contention() const {
  double used = busy_ * kMilli;
  for (const auto& [name, task] : tasks_) {
    used += Used(task);
  }
  return std::max(1.0, used / house_.milli_processors);
}

void worker_fake::Advance(double seconds) {
  const double step = seconds - advanced_to_;
  if (step <= 0) {
    return;
  }
  advanced_to_ = seconds;
  const double contention = Contention();
  totals_.request_processor_seconds += step * busy_;
  for (auto& [name, task] : tasks_) {
    if (task.state != worker_task_state::kRunning) {
      continue;
    }
    const double speed = std::min(1.0, task.share / task.kind->used_share) /
                         contention /
                         Slowdown(&batch_class::batch_effect, &task, seconds);
    const double work = std::min(step * speed, task.length - task.done);
    task.done += work;
    totals_.task_seconds += step;
    totals_.useful_processor_seconds +=
        work * static_cast<double>(task.need.milli_processors) / kMilli;
    if (task.done >= task.length) {
      task.state = worker_task_state::kFinished;
      ++totals_.finished;
    }
  }
}

double worker_fake::StartRequest(double alone_seconds, double seconds) {
  Advance(seconds);
  ++busy_;
  CheckSize();
  return alone_seconds * Contention() *
         Slowdown(&batch_class::request_effect, nullptr, seconds);
}

void worker_fake::EndRequest(double seconds) {
  Advance(seconds);
  --busy_;
}

double worker_fake::BatchProcessors() const {
  double given = 0;
  for (const auto& [name, task] : tasks_) {
    if (task.state == worker_task_state::kRunning) {
      given += static_cast<double>(task.need.milli_processors) * task.share;
    }
  }
  return given / kMilli;
}

void worker_fake::CheckSize() {
  std::int64_t memory = 0;
  for (const auto& [name, task] : tasks_) {
    if (task.state == worker_task_state::kRunning) {
      memory += task.need.memory_mb;
    }
  }
  const double processors = BatchProcessors() + busy_;
  constexpr double kRounding = 1e-6;
  if (processors * kMilli > house_.milli_processors + kRounding ||
      memory > house_.memory_mb) {
    ++totals_.over_size;
  }
}

}  // namespace chervilkeel::bench
