// Task placement of the job scheduler: order of waiting tasks, choice of
// workers and speculative copies.
#include <algorithm>
#include <set>
#include <tuple>

#include "chervilkeel/job_scheduler.h"

namespace chervilkeel {

namespace {

// A job that ends after its objective still has partial value until this
// multiple of the objective, and none after it.
constexpr double kMaxObjectiveMultiple = 3.0;

// Part of a job's value that does not depend on its work: to its caller, a
// small job is worth more than its share of the work.
constexpr double kFixedValue = 0.3;

// A speculative copy of a task is started once the task has run for this
// multiple of its estimate plus kSpeculationGrace (ms).
constexpr double kSpeculationFactor = 1.3;
constexpr millis kSpeculationGrace = 300;

// Score bonus that a worker with services gets for a best-effort task that does
// not interfere with them, as a fraction of the worker's cores.
constexpr double kColocationBonus = 0.1;

// Delay between the decision to start a task and its start by the executor, ms.
constexpr millis kStartDelay = 50;

// After waiting for kMaxWaitForPace (ms) a best-effort task starts on any
// worker, whatever its pace there; the first task of a job without runs already
// does so after kMaxWaitOfIdleJob (ms), so that every job makes progress.
constexpr millis kMaxWaitForPace = 20'000;
constexpr millis kMaxWaitOfIdleJob = 2'500;

// Index of the rack in an executor's labels.
constexpr std::size_t kRackLabelIndex = 1;

const std::string& RackOf(const executor_description& worker) {
  static const std::string kNone;
  return worker.labels.size() > kRackLabelIndex ? worker.labels[kRackLabelIndex]
                                                : kNone;
}

// Iterates by index over the waiting tasks of a step: those that are tracked,
// and those that are not if they may start. Tasks may start meanwhile.
class waiting_tasks_cursor {
 public:
  waiting_tasks_cursor(const std::vector<std::uint32_t>& tracked,
                       bool has_untouched,
                       const task_table& tasks)
      : tracked_(tracked), tasks_(tasks) {
    if (has_untouched) {
      untouched_ = tasks_.NextUntouched(0);
    }
  }

  std::optional<std::uint32_t> Peek() const {
    return IsAtTracked() ? tracked_[position_] : untouched_;
  }

  void Advance() {
    if (IsAtTracked()) {
      ++position_;
    } else {
      untouched_ = tasks_.NextUntouched(*untouched_ + 1);
    }
  }

 private:
  bool IsAtTracked() const {
    return position_ < tracked_.size() &&
           (!untouched_ || tracked_[position_] < *untouched_);
  }

  const std::vector<std::uint32_t>& tracked_;
  const task_table& tasks_;
  std::size_t position_ = 0;
  std::optional<std::uint32_t> untouched_;
};

}  // namespace

std::uint64_t job_scheduler::NextRunNumber(const scheduled_task& task) const {
  return std::max(task.highest_run,
                  (options_.epoch - 1) * options_.runs_per_epoch) +
         1;
}

void job_scheduler::AddOrder(const std::string& agent, worker_order order) {
  scheduled_worker& worker = workers_.at(agent);
  worker.orders.emplace_back(++worker.last_order_number, std::move(order));
  agents_to_notify_.insert(agent);
}

std::vector<std::pair<std::uint64_t, worker_order>> job_scheduler::OrdersFor(
    const std::string& agent,
    std::uint64_t acked) {
  const auto found = workers_.find(agent);
  if (found == workers_.end()) {
    return {};
  }
  auto& orders = found->second.orders;
  while (!orders.empty() && orders.front().first <= acked) {
    orders.pop_front();
  }
  std::vector<std::pair<std::uint64_t, worker_order>> reply;
  std::size_t bytes = 0;
  for (const auto& [number, order] : orders) {
    const auto job = order.kind == order_kind::kStart
                         ? jobs_.find(order.task.job)
                         : jobs_.end();
    bytes += kOrderBytes + order.checkpoint.size() +
             (job == jobs_.end() ? 0 : job->second.record.spec.payload.size());
    if (bytes > kMaxReplyBytes && !reply.empty()) {
      break;
    }
    reply.emplace_back(number, order);
    if (job != jobs_.end()) {
      reply.back().second.payload = job->second.record.spec.payload;
    }
  }
  return reply;
}

bool job_scheduler::HasOrdersFor(const std::string& agent,
                                 std::uint64_t acked) const {
  const auto found = workers_.find(agent);
  return found != workers_.end() && !found->second.orders.empty() &&
         found->second.orders.back().first > acked;
}

bool job_scheduler::IsOrderWindowFull(const scheduled_worker& worker) {
  return worker.open_starts >= kMaxOpenStarts ||
         worker.open_start_bytes >= kMaxOpenStartBytes;
}

void job_scheduler::CloseStart(task_run& run) {
  const std::size_t bytes = std::exchange(run.open_start_bytes, 0);
  const auto found = workers_.find(run.agent);
  if (bytes == 0 || found == workers_.end()) {
    return;
  }
  scheduled_worker& worker = found->second;
  placement_requested_ = placement_requested_ || IsOrderWindowFull(worker);
  --worker.open_starts;
  worker.open_start_bytes -= bytes;
}

std::size_t job_scheduler::RunLimit() const {
  return std::clamp(
      kMaxRunsOfLargeJobs / std::max<std::size_t>(workers_.size(), 1),
      kMinRunsPerWorker, kMaxRunsPerWorker);
}

void job_scheduler::OrderStart(scheduled_worker& worker,
                               scheduled_job& job,
                               const task_name& key,
                               scheduled_task& task,
                               std::uint64_t number,
                               millis now) {
  task.highest_run = number;
  if (task.runs.empty()) {
    runs_cache_.erase(&worker);
  } else {
    runs_cache_.clear();  // push_back() below may reallocate the task's runs.
  }
  task_run run;
  run.agent = worker.agent;
  run.boot = worker.description.boot;
  run.run = number;
  run.active_since = now;
  run.estimated_start = now + kStartDelay;
  run.percent_changed_at = now;
  run.open_start_bytes =
      kOrderBytes + job.record.spec.payload.size() + task.checkpoint.size();
  ++worker.open_starts;
  worker.open_start_bytes += run.open_start_bytes;
  task.runs.push_back(run);
  ++job.runs;
  NoteStartForReservations(worker, job, key, now);
  ReserveResources(worker, job, key);
  if (worker.health.IsSuspect()) {
    worker.health.OnProbe(now);
  }
  job.waited += now - task.ready_since;
  SendStart(key, task, run);
  Emit("start_ordered", key.ToString(), worker.agent,
       "run=" + std::to_string(number) +
           " waited_ms=" + std::to_string(now - task.ready_since) +
           " used_milli=" + std::to_string(worker.used.milli_processors) +
           " filler_milli=" +
           std::to_string(worker.best_effort_milli_processors) +
           " failures=" + std::to_string(task.failed_runs.size()));
}

void job_scheduler::SendStart(const task_name& key,
                              const scheduled_task& task,
                              const task_run& run) {
  worker_order order;
  order.kind = order_kind::kStart;
  order.boot = run.boot;
  order.task = key;
  order.run = run.run;
  order.checkpoint = task.checkpoint;
  order.was_tried = run.was_tried;
  AddOrder(run.agent, std::move(order));
}

bool job_scheduler::IsOrderQueued(const scheduled_worker& worker,
                                  order_kind kind,
                                  const task_name& key,
                                  std::uint64_t run) {
  return std::any_of(
      worker.orders.begin(), worker.orders.end(), [&](const auto& entry) {
        return entry.second.kind == kind && entry.second.task == key &&
               entry.second.run == run;
      });
}

void job_scheduler::DropQueuedStart(scheduled_worker& worker,
                                    const task_name& key,
                                    std::uint64_t run) {
  std::erase_if(worker.orders, [&](const auto& entry) {
    return entry.second.kind == order_kind::kStart &&
           entry.second.task == key && entry.second.run == run;
  });
}

void job_scheduler::RepeatOpenStarts(const scheduled_worker& worker) {
  for (const task_name& key : worker.tasks) {
    const scheduled_task* task = FindTask(key);
    if (task == nullptr) {
      continue;
    }
    for (const task_run& run : task->runs) {
      if (run.agent == worker.agent && run.phase == run_phase::kOrdered &&
          !IsOrderQueued(worker, order_kind::kStart, key, run.run)) {
        SendStart(key, *task, run);
        Emit("start_repeated", key.ToString(), worker.agent,
             "run=" + std::to_string(run.run));
      }
    }
  }
}

void job_scheduler::OrderStop(const task_name& key,
                              task_run& run,
                              const char* reason,
                              const std::string& detail) {
  if (run.phase == run_phase::kStopping) {
    return;
  }
  run.phase = run_phase::kStopping;
  if (run.stop_ordered_at == 0) {
    run.stop_ordered_at = last_tick_;
  }
  worker_order order;
  order.kind = order_kind::kStop;
  order.boot = run.boot;
  order.task = key;
  order.run = run.run;
  order.reason = reason;
  AddOrder(run.agent, std::move(order));
  Emit(
      "stop_ordered", key.ToString(), run.agent,
      "run=" + std::to_string(run.run) + " reason=\"" + reason + "\"" + detail);
}

void job_scheduler::RepeatLostStop(const scheduled_worker& worker,
                                   const task_name& key,
                                   task_run& run) {
  if (run.phase != run_phase::kStopping) {
    return;
  }
  if (run.listed_since_stop == 0) {
    run.listed_since_stop = worker.listed_at;
  } else if (worker.listed_at - run.listed_since_stop > kStopRepeatInterval) {
    run.listed_since_stop = worker.listed_at;
    run.phase = run_phase::kRunning;
    OrderStop(key, run, "it still runs after an order to stop");
  }
}

// Returns the latency objective of a job: the time in ms from its acceptance
// within which it has to end.
double job_scheduler::ObjectiveOf(const scheduled_job& job) {
  return job.policy.stretch * static_cast<double>(job.critical_path) +
         static_cast<double>(job.policy.latency_target);
}

double job_scheduler::RemainingWork(const scheduled_job& job,
                                    const scheduled_occurrence& occurrence) {
  double work = 0;
  for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
    const scheduled_step& step = occurrence.steps[i];
    const job_step& spec = job.record.spec.steps[i];
    work += static_cast<double>(step.tasks.Size() - step.tasks.DoneCount()) *
            static_cast<double>(spec.size.milli_processors) *
            static_cast<double>(spec.expected);
  }
  return work;
}

double job_scheduler::WorkPerValue(
    const scheduled_job& job,
    const scheduled_occurrence& occurrence) const {
  const auto found = mean_work_.find(job.record.queue.name);
  const double mean = found == mean_work_.end()
                          ? job.total_work
                          : found->second.sum / found->second.jobs;
  const double value =
      kFixedValue * mean + (1.0 - kFixedValue) * job.total_work;
  return RemainingWork(job, occurrence) / std::max(value, 1.0);
}

std::vector<job_scheduler::waiting_step> job_scheduler::WaitingSteps(
    millis now) {
  std::vector<waiting_step> waiting;
  for (const std::string& id : active_jobs_) {
    scheduled_job& job = jobs_.at(id);
    if (!job.has_waiting_tasks) {
      continue;
    }
    job.has_waiting_tasks = false;
    const std::int64_t age =
        std::max<std::int64_t>(wall_ms_ - job.record.accepted_ms, 0);
    const double objective = ObjectiveOf(job);
    for (auto& [number, occurrence] : job.occurrences) {
      if (occurrence.steps_done == occurrence.steps.size()) {
        continue;
      }
      const double rank = options_.orders_by_value
                              ? WorkPerValue(job, occurrence)
                              : static_cast<double>(job.record.accepted_ms);
      for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
        scheduled_step& step = occurrence.steps[s];
        const job_step& spec = job.record.spec.steps[s];
        if (!step.ready || step.tasks.IsComplete()) {
          continue;
        }
        const auto expected_end =
            static_cast<double>(age + job.remaining_paths[s]);
        int lateness = 0;
        if (!spec.service && job.record.spec.repeats == 0) {
          lateness = expected_end > kMaxObjectiveMultiple * objective ? 2
                     : expected_end > objective                       ? 1
                                                                      : 0;
        }
        waiting_step entry{&job, number, s, {}, false, lateness, rank};
        for (const auto& [i, task] : step.tasks.Tracked()) {
          if (task.done || !task.runs.empty()) {
            continue;
          }
          job.has_waiting_tasks = true;
          if (now >= task.restart_at &&
              (!task.possibly_running || unreported_members_.empty())) {
            entry.tasks.push_back(i);
            waiting_suspects_[job.policy.service] += task.is_suspect ? 1 : 0;
          }
        }
        if (step.tasks.UntouchedCount() > 0) {
          job.has_waiting_tasks = true;
          entry.has_untouched =
              !step.tasks.ArePossiblyRunning() || unreported_members_.empty();
        }
        if (!entry.tasks.empty() || entry.has_untouched) {
          waiting.push_back(std::move(entry));
        }
      }
    }
  }
  std::sort(waiting.begin(), waiting.end(),
            [](const waiting_step& left, const waiting_step& right) {
              using order =
                  std::tuple<bool, std::uint32_t, int, double, std::int64_t,
                             const std::string&, std::uint32_t, std::uint32_t>;
              const auto key = [](const waiting_step& step) {
                return order(step.lateness == 2, step.job->policy.priority,
                             step.lateness, step.rank,
                             step.job->record.accepted_ms, step.job->record.id,
                             step.occurrence, step.step_index);
              };
              return key(left) < key(right);
            });
  return waiting;
}

void job_scheduler::PlaceWaiting(millis now) {
  if (!std::exchange(placement_requested_, false) && now < next_placement_) {
    return;
  }
  next_placement_ = now + kPlacementInterval;
  services_without_trials_.clear();
  waiting_suspects_.clear();
  const bool places_best_effort = now >= next_best_effort_placement_;
  bool is_crowded = false;
  std::vector<waiting_step> steps = WaitingSteps(now);
  std::erase_if(steps, [&](const waiting_step& waiting) {
    return !places_best_effort &&
           waiting.job->record.spec.steps[waiting.step_index].filler;
  });
  UpdateReservations(now);
  StartOverdueTrials(steps, now);
  // Steps of which one has found no worker, so that the others find none: their
  // job, their needs and the time at which they became ready.
  using alike_steps = std::tuple<const scheduled_job*, std::uint32_t, millis>;
  std::set<alike_steps> without_worker;
  for (const waiting_step& waiting : steps) {
    const job_step& step = waiting.job->record.spec.steps[waiting.step_index];
    if (step.gang) {
      PlaceGang(waiting, now);
      continue;
    }
    const scheduled_step& state =
        waiting.job->occurrences.at(waiting.occurrence)
            .steps[waiting.step_index];
    const bool is_alike = waiting.tasks.empty() && !state.most_runs_fail &&
                          step.most_per_worker == 0 && options_.lookahead == 0;
    const alike_steps key{waiting.job,
                          waiting.job->first_alike[waiting.step_index],
                          state.tasks.ReadySince()};
    if (is_alike && without_worker.count(key) != 0) {
      continue;
    }
    if (PlaceTasks(waiting, now)) {
      continue;
    }
    is_crowded = is_crowded || step.filler;
    if (is_alike) {
      without_worker.insert(key);
    }
  }
  // Tasks that have crashed two executors are likely to crash a third one, and
  // each crash takes a worker away for seconds: they are tried last.
  for (const waiting_step& waiting : steps) {
    if (!waiting.job->record.spec.steps[waiting.step_index].gang) {
      StartTrials(waiting, suspect_kind::kRepeat, now);
    }
  }
  if (is_crowded) {
    next_best_effort_placement_ = now + kCrowdedPlacementInterval;
  }
  if (next_best_effort_placement_ > now) {
    next_placement_ = std::min(next_placement_, next_best_effort_placement_);
  }
}

// All tasks of a step have the same requirements: when one finds no worker, the
// others will not find one either.
bool job_scheduler::PlaceTasks(const waiting_step& waiting, millis now) {
  scheduled_job& job = *waiting.job;
  const bool is_best_effort = job.record.spec.steps[waiting.step_index].filler;
  task_table& tasks =
      job.occurrences.at(waiting.occurrence).steps[waiting.step_index].tasks;
  waiting_tasks_cursor next(waiting.tasks, waiting.has_untouched, tasks);
  if (!next.Peek()) {
    return true;
  }
  const scheduled_task untouched = tasks.Untouched();
  task_name key{job.record.id, waiting.occurrence, waiting.step_index,
                *next.Peek()};
  StartTrials(waiting, suspect_kind::kFirst, now);
  std::vector<candidate> candidates =
      Candidates(job, key, start_kind::kNormal, now);
  for (; next.Peek(); next.Advance()) {
    key.index = *next.Peek();
    const auto tracked = tasks.Tracked().find(key.index);
    const scheduled_task& task =
        tracked != tasks.Tracked().end() ? tracked->second : untouched;
    if (task.is_suspect) {
      continue;
    }
    candidate* best = BestCandidate(
        candidates, key, task, is_best_effort ? MaxWaitForPace(job) : 0, now);
    if (best == nullptr) {
      ReserveRoom(waiting, key.index, now);
      return false;
    }
    OrderStart(*best->worker, job, key, tasks.Track(key.index),
               NextRunNumber(task), now);
    const auto reevaluated =
        Evaluate(*best->worker, job, key, start_kind::kNormal, now);
    if (reevaluated) {
      *best = *reevaluated;
    } else {
      *best = candidates.back();
      candidates.pop_back();
    }
  }
  return true;
}

// Starts either all members of a gang, with one run number, or none of them.
void job_scheduler::PlaceGang(const waiting_step& waiting, millis now) {
  scheduled_job& job = *waiting.job;
  scheduled_step& step =
      job.occurrences.at(waiting.occurrence).steps[waiting.step_index];
  std::uint64_t run = 0;
  for (std::size_t i = 0; i < step.tasks.Size(); ++i) {
    const scheduled_task& task = step.tasks[i];
    if (!task.runs.empty() || now < task.restart_at) {
      return;
    }
    run = std::max(run, NextRunNumber(task));
  }
  std::vector<scheduled_worker*> chosen;
  for (std::uint32_t i = 0; i < step.tasks.Size(); ++i) {
    const task_name key{job.record.id, waiting.occurrence, waiting.step_index,
                        i};
    scheduled_worker* worker =
        ChooseWorker(job, key, step.tasks.CopyOf(i), now);
    if (worker == nullptr) {
      break;
    }
    ReserveResources(*worker, job, key);
    chosen.push_back(worker);
  }
  for (std::uint32_t i = 0; i < chosen.size(); ++i) {
    ReleaseResources(
        *chosen[i], job,
        {job.record.id, waiting.occurrence, waiting.step_index, i});
  }
  if (chosen.size() < step.tasks.Size()) {
    ReserveRoom(waiting, 0, now);
    return;
  }
  // Members share one checkpoint: each starts from the greatest one of them.
  std::string checkpoint;
  for (const auto& [index, task] : step.tasks.Tracked()) {
    checkpoint = std::max(checkpoint, task.checkpoint);
  }
  for (std::uint32_t i = 0; i < chosen.size(); ++i) {
    scheduled_task& task = step.tasks.Track(i);
    task.checkpoint = checkpoint;
    OrderStart(*chosen[i], job,
               {job.record.id, waiting.occurrence, waiting.step_index, i}, task,
               run, now);
  }
}

// Services reserve cores for their peak load. Returns the milli-processors that
// best-effort tasks may still use: unreserved cores plus the part of the
// reservations that services usually leave idle.
std::int64_t job_scheduler::BestEffortHeadroom(const scheduled_worker& worker) {
  const auto unused = static_cast<std::int64_t>(
      (1.0 - kServiceUtilization) *
      static_cast<double>(worker.service_milli_processors));
  return worker.description.capacity.milli_processors -
         worker.used.milli_processors + unused -
         worker.best_effort_milli_processors;
}

std::optional<start_obstacle> job_scheduler::FindEvacuation(
    const scheduled_worker& worker) const {
  const evacuation_state* evacuations = options_.evacuations.get();
  if (evacuations == nullptr) {
    return std::nullopt;
  }
  if (!evacuations->IsKnown()) {
    return start_obstacle::kEvacuationUnknown;
  }
  if (evacuations->IsEvacuated(worker.description.data_centre)) {
    return start_obstacle::kEvacuated;
  }
  return std::nullopt;
}

std::optional<start_obstacle> job_scheduler::FindObstacle(
    const scheduled_worker& worker,
    const scheduled_job& job,
    const task_name& key,
    millis now) const {
  const executor_description& description = worker.description;
  const job_step& step = job.record.spec.steps[key.step];
  if (!worker.runs_known) {
    return start_obstacle::kNoRunList;
  }
  if (description.draining) {
    return start_obstacle::kDraining;
  }
  if (description.service != job.policy.service) {
    return start_obstacle::kOtherService;
  }
  const auto evacuation = FindEvacuation(worker);
  if (evacuation) {
    return evacuation;
  }
  if (now < worker.start_backoff_until) {
    return start_obstacle::kBackOff;
  }
  if (IsOrderWindowFull(worker)) {
    return start_obstacle::kOrderWindow;
  }
  if (job.runs >= kManyRuns && worker.tasks.size() >= RunLimit()) {
    return start_obstacle::kRunLimit;
  }
  const scheduled_step& state =
      job.occurrences.at(key.occurrence).steps[key.step];
  if (worker.health.IsSuspect() &&
      !worker.health.MayStart(now, state.most_runs_fail)) {
    return start_obstacle::kUnhealthy;
  }
  if (!step.required_label.empty() &&
      std::find(description.labels.begin(), description.labels.end(),
                step.required_label) == description.labels.end()) {
    return start_obstacle::kLabel;
  }
  amount need = step.size;
  if (step.filler) {
    if (BestEffortHeadroom(worker) < need.milli_processors) {
      return start_obstacle::kCapacity;
    }
    need.milli_processors = 0;
  }
  if (!Fits(need, description.capacity - worker.used)) {
    return start_obstacle::kCapacity;
  }
  if (!IsMember(worker.agent)) {
    return start_obstacle::kNoMember;
  }
  if (!HasConsent()) {
    return start_obstacle::kNoConsent;
  }
  if (IsAtTaskLimit(worker, step, key)) {
    return start_obstacle::kTaskLimit;
  }
  return std::nullopt;
}

std::vector<job_scheduler::candidate> job_scheduler::Candidates(
    const scheduled_job& job,
    const task_name& step_key,
    start_kind kind,
    millis now) {
  std::vector<candidate> candidates;
  for (auto& [agent, worker] : workers_) {
    const auto found = Evaluate(worker, job, step_key, kind, now);
    if (found) {
      candidates.push_back(*found);
    }
  }
  return candidates;
}

// Returns a worker's score for the tasks of a step, or nothing if the worker
// may not run any of them.
std::optional<job_scheduler::candidate> job_scheduler::Evaluate(
    scheduled_worker& worker,
    const scheduled_job& job,
    const task_name& step_key,
    start_kind kind,
    millis now) {
  if ((kind == start_kind::kNormal && IsReserved(worker, now)) ||
      FindObstacle(worker, job, step_key, now) ||
      (kind == start_kind::kNormal && IsHeld(worker, job, step_key, now))) {
    return std::nullopt;
  }
  const job_step& step = job.record.spec.steps[step_key.step];
  const auto size = static_cast<double>(
      std::max<std::int64_t>(worker.description.capacity.milli_processors, 1));
  candidate found{&worker,
                  static_cast<double>(BestEffortHeadroom(worker)) / size, 1.0};
  if (!step.filler) {
    // Packs services onto few workers and short tasks into the capacity that is
    // left there, so that other workers have no services with which best-effort
    // tasks would interfere.
    found.score = static_cast<double>(worker.service_milli_processors) / size +
                  0.1 * found.score;
  } else {
    found.pace = PaceAlongsideServices(worker, step, now);
    found.score -= 2.0 * (1.0 - found.pace);
    // Saves workers without services for tasks that interfere with services.
    if (found.pace >= kUnthrottledPace && worker.service_milli_processors > 0) {
      found.score += kColocationBonus;
    }
  }
  found.score -= 2.0 * worker.health.FailureRatio();
  if (!step.data_rack.empty() && RackOf(worker.description) == step.data_rack) {
    found.score += 1.0;
  }
  return found;
}

millis job_scheduler::MaxWaitForPace(const scheduled_job& job) {
  return HasRuns(job) ? kMaxWaitForPace : kMaxWaitOfIdleJob;
}

job_scheduler::candidate* job_scheduler::BestCandidate(
    std::vector<candidate>& candidates,
    const task_name& key,
    const scheduled_task& task,
    millis max_wait_for_pace,
    millis now) {
  candidate* best = nullptr;
  double best_score = 0;
  const bool waits_for_pace = now - task.ready_since < max_wait_for_pace;
  for (candidate& entry : candidates) {
    if ((waits_for_pace && entry.pace < kMinStartPace) ||
        entry.worker->tasks.count(key) != 0) {
      continue;
    }
    const double score =
        entry.score -
        static_cast<double>(std::count(
            task.failed_on.begin(), task.failed_on.end(), entry.worker->agent));
    if (best == nullptr || score > best_score) {
      best = &entry;
      best_score = score;
    }
  }
  return best;
}

scheduled_worker* job_scheduler::ChooseWorker(const scheduled_job& job,
                                              const task_name& key,
                                              const scheduled_task& task,
                                              millis now) {
  std::vector<candidate> candidates =
      Candidates(job, key, start_kind::kNormal, now);
  const candidate* best = BestCandidate(
      candidates, key, task,
      job.record.spec.steps[key.step].filler ? MaxWaitForPace(job) : 0, now);
  return best == nullptr ? nullptr : best->worker;
}

// Starts a speculative copy of tasks that allow it and run longer than
// expected.
void job_scheduler::StartSpeculativeCopies(millis now) {
  for (const std::string& id : active_jobs_) {
    scheduled_job& job = jobs_.at(id);
    for (auto& [number, occurrence] : job.occurrences) {
      for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
        const job_step& spec = job.record.spec.steps[s];
        scheduled_step& step = occurrence.steps[s];
        if (!spec.speculative || spec.service || !step.ready) {
          continue;
        }
        const millis limit =
            kSpeculationGrace +
            static_cast<millis>(kSpeculationFactor *
                                static_cast<double>(spec.expected));
        for (auto& [i, task] : step.tasks.Tracked()) {
          if (task.done || task.is_suspect || task.runs.size() != 1 ||
              now - task.runs.front().active_since < limit) {
            continue;
          }
          const task_name key{id, number, s, i};
          scheduled_worker* worker = ChooseWorker(job, key, task, now);
          if (worker != nullptr) {
            OrderStart(*worker, job, key, task, NextRunNumber(task), now);
          }
        }
      }
    }
  }
}

double job_scheduler::BacklogSeconds(const std::string& service) const {
  double cores = 0;
  for (const auto& [agent, worker] : workers_) {
    if (worker.runs_known && !worker.description.draining &&
        worker.description.service == service && !FindEvacuation(worker)) {
      cores +=
          static_cast<double>(worker.description.capacity.milli_processors) /
          1'000.0;
    }
  }
  double work = 0;
  for (const std::string& id : active_jobs_) {
    const scheduled_job& job = jobs_.at(id);
    if (job.policy.service != service) {
      continue;
    }
    for (const auto& [number, occurrence] : job.occurrences) {
      for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
        const job_step& spec = job.record.spec.steps[s];
        if (!spec.service) {
          work += static_cast<double>(spec.tasks -
                                      occurrence.steps[s].tasks.DoneCount()) *
                  static_cast<double>(spec.size.milli_processors) *
                  static_cast<double>(spec.expected) / 1e6;
        }
      }
    }
  }
  return cores > 0 ? work / cores : 0;
}

}  // namespace chervilkeel
