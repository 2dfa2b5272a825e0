// Workers reserved for large tasks that wait: small ones would otherwise take
// each gap before it is large enough. docs/design/lookahead.md weighs other
// ways.
//
// Cost of a pass of PlaceWaiting(): one search, over the workers and the runs
// of kMaxTimelines of them; an update of the reserved workers, at most one in
// sixteen; and one look-up for each waiting step and worker that has room for
// it.
#include <algorithm>

#include "chervilkeel/job_scheduler.h"

namespace chervilkeel {

namespace {

// Delay between the decision to start a task and its start by the executor, and
// from its end until the owner knows of it, ms.
constexpr millis kDelays = 100;

// A run that was ordered to stop has ended by then, ms: executors allow their
// tasks up to 900.
constexpr millis kStopTime = 600;

// Timelines that a search compares. The earliest of so many workers is hardly
// later than that of all of them, as expected ends are rough.
constexpr std::size_t kMaxTimelines = 32;

}  // namespace

worker_room job_scheduler::RoomOf(const scheduled_worker& worker) {
  return {worker.description.capacity - worker.used,
          BestEffortHeadroom(worker)};
}

task_need job_scheduler::NeedOf(const job_step& step) {
  task_need need{{step.size, step.size.milli_processors}, step.filler};
  if (step.filler) {
    need.use.free.milli_processors = 0;
  } else if (step.service) {
    need.use.best_effort_milli_processors = static_cast<std::int64_t>(
        kServiceUtilization * static_cast<double>(step.size.milli_processors));
  }
  return need;
}

std::string job_scheduler::DurationGroup(const scheduled_job& job,
                                         const job_step& step) {
  return step.image.empty() ? "queue " + job.record.queue.name
                            : "image " + step.image;
}

bool job_scheduler::IsAtTaskLimit(const scheduled_worker& worker,
                                  const job_step& step,
                                  const task_name& key) {
  if (step.most_per_worker == 0) {
    return false;
  }
  const auto first =
      worker.tasks.lower_bound(task_name{key.job, key.occurrence, key.step, 0});
  const auto last = worker.tasks.upper_bound(
      task_name{key.job, key.occurrence, key.step, kMaxTasksPerStep});
  return std::distance(first, last) >= step.most_per_worker;
}

// The first run of a task under this owner began with the task: later ones may
// have begun at a checkpoint, and those of a former owner before it knew.
bool job_scheduler::BeganAnew(const task_run& run) const {
  return run.run == (options_.epoch - 1) * options_.runs_per_epoch + 1;
}

room_timeline job_scheduler::TimelineOf(const scheduled_worker& worker,
                                        millis now) {
  room_timeline timeline(RoomOf(worker), now);
  for (const task_name& key : worker.tasks) {
    const scheduled_task* task = FindTask(key);
    if (task == nullptr) {
      continue;
    }
    const scheduled_job& job = jobs_.at(key.job);
    const job_step& step = job.record.spec.steps[key.step];
    for (const task_run& run : task->runs) {
      if (run.agent != worker.agent) {
        continue;
      }
      if (run.phase == run_phase::kStopping) {
        timeline.AddEnd(run.stop_ordered_at + kStopTime, NeedOf(step).use);
      } else if (!step.service) {
        timeline.AddEnd(durations_.ExpectedEnd(
                            DurationGroup(job, step),
                            {step.expected, run.estimated_start,
                             run.throttling_loss, run.percent,
                             run.percent_changed_at, run.pace, BeganAnew(run)}),
                        NeedOf(step).use);
      }
    }
  }
  return timeline;
}

std::optional<millis> job_scheduler::LatestEnd(const scheduled_job& job,
                                               const job_step& step,
                                               millis now) const {
  if (step.service) {
    return std::nullopt;
  }
  return now + kDelays +
         durations_.Longest(DurationGroup(job, step), step.expected);
}

std::optional<reservation_end> job_scheduler::FindEnd(
    const room_reservation& reservation,
    millis now) {
  const scheduled_task* task = PeekTask(reservation.task);
  if (task == nullptr || task->done ||
      IsFinal(jobs_.at(reservation.task.job).state)) {
    return reservation_end::kTaskEnded;
  }
  if (!task->runs.empty()) {
    return reservation_end::kStartedElsewhere;
  }
  const auto worker = workers_.find(reservation.worker);
  if (worker == workers_.end() || !worker->second.runs_known ||
      worker->second.description.boot != reservation.boot) {
    return reservation_end::kWorkerLost;
  }
  if (worker->second.description.draining) {
    return reservation_end::kDraining;
  }
  if (FindEvacuation(worker->second)) {
    return reservation_end::kEvacuated;
  }
  if (now >= reservation.until) {
    return reservation_end::kExpired;
  }
  const room_timeline timeline = TimelineOf(worker->second, now);
  const auto expected = timeline.FirstFit(reservation.need);
  if (!expected) {
    return reservation_end::kNoRoom;
  }
  worker_room spare = timeline.RoomAt(*expected);
  spare -= reservation.need.use;
  reservations_.Update(reservation.worker, *expected, spare);
  return std::nullopt;
}

void job_scheduler::UpdateReservations(millis now) {
  std::map<step_name, reservation_end> ended;
  for (const auto& [agent, reservation] : reservations_.ByWorker()) {
    const auto cause = FindEnd(reservation, now);
    if (cause) {
      ended.emplace(reservation.task.Step(), *cause);
    }
  }
  for (const auto& [step, cause] : ended) {
    for (const room_reservation& given_up :
         reservations_.End(step, cause, now)) {
      EmitReleased(given_up, cause, now);
    }
  }
}

void job_scheduler::EmitReleased(const room_reservation& reservation,
                                 reservation_end cause,
                                 millis now) const {
  Emit("room_released", reservation.task.ToString(), reservation.worker,
       std::string("cause=") + NameOf(cause) + " held_ms=" +
           std::to_string(now - reservation.made_at) + " expected_held_ms=" +
           std::to_string(reservation.first_expected - reservation.made_at));
}

std::vector<room_offer> job_scheduler::FindOffers(const scheduled_job& job,
                                                  const task_name& key,
                                                  const task_need& need,
                                                  millis now) {
  const job_step& step = job.record.spec.steps[key.step];
  std::vector<room_offer> offers;
  std::size_t timelines = 0;
  auto next = workers_.upper_bound(reservations_.LastSearched());
  for (std::size_t i = 0; i < workers_.size(); ++i, ++next) {
    next = next == workers_.end() ? workers_.begin() : next;
    auto& [agent, worker] = *next;
    const auto obstacle = FindObstacle(worker, job, key, now);
    if (IsReserved(worker, now) || reservations_.Of(agent) != nullptr ||
        (obstacle && *obstacle != start_obstacle::kCapacity)) {
      continue;
    }
    if (!obstacle && !step.gang) {
      return {};  // The task waits for something other than capacity.
    }
    // An obstacle of capacity hides these.
    if (timelines == kMaxTimelines || !IsMember(agent) || !HasConsent() ||
        IsAtTaskLimit(worker, step, key)) {
      continue;
    }
    ++timelines;
    reservations_.NoteSearched(agent);
    const room_timeline timeline = TimelineOf(worker, now);
    const auto expected = timeline.FirstFit(need);
    if (expected) {
      worker_room spare = timeline.RoomAt(*expected);
      spare -= need.use;
      offers.push_back({agent, worker.description.boot, *expected, spare});
    }
  }
  return offers;
}

// A service gets a worker reserved for its first task only: its tasks never
// end, so that reservations for all of them would in time take the capacity of
// the short tasks beside them.
void job_scheduler::ReserveRoom(const waiting_step& waiting,
                                std::uint32_t index,
                                millis now) {
  const scheduled_job& job = *waiting.job;
  const task_name key{job.record.id, waiting.occurrence, waiting.step_index,
                      index};
  const job_step& step = job.record.spec.steps[key.step];
  if (options_.lookahead == 0) {
    return;
  }
  const millis waited = now - TaskCopy(key).ready_since;
  if (waited < options_.lookahead || waiting.lateness != 0 ||
      (step.service && HasRuns(job)) ||
      !(step.gang || reservations_.IsLarge(job.policy.service, step.size)) ||
      !reservations_.MaySearch(key.Step(), now)) {
    return;
  }
  const auto workers = static_cast<std::size_t>(
      std::count_if(workers_.begin(), workers_.end(), [&](const auto& entry) {
        const executor_description& description = entry.second.description;
        return entry.second.runs_known && !description.draining &&
               description.service == job.policy.service;
      }));
  // A gang is spread over as many workers as may be reserved.
  const std::uint32_t tasks = step.gang ? step.tasks : 1;
  const auto most = static_cast<std::uint32_t>(
      std::max<std::size_t>(room_reservations::MaxReserved(workers), 1));
  const std::uint32_t on_each = (tasks + most - 1) / most;
  const std::size_t count = (tasks + on_each - 1) / on_each;
  if ((step.most_per_worker > 0 && on_each > step.most_per_worker) ||
      reservations_.CountOf(job.policy.service) + count >
          room_reservations::MaxReserved(workers)) {
    return;
  }
  room_reservation request;
  request.task = key;
  request.service = job.policy.service;
  request.priority = job.policy.priority;
  request.need = NeedOf(step).Times(on_each);
  const auto made = reservations_.Reserve(
      request, FindOffers(job, key, request.need, now), count, workers, now);
  for (const room_reservation& reservation : made) {
    Emit("room_reserved", reservation.task.ToString(), reservation.worker,
         "waited_ms=" + std::to_string(waited) +
             " expected_in_ms=" + std::to_string(reservation.expected - now) +
             " size_milli=" + std::to_string(step.size.milli_processors) +
             " size_mb=" + std::to_string(step.size.memory_mb) +
             " tasks=" + std::to_string(on_each) +
             " reserved=" + std::to_string(reservations_.ByWorker().size()) +
             " workers=" + std::to_string(workers));
  }
}

bool job_scheduler::IsHeld(const scheduled_worker& worker,
                           const scheduled_job& job,
                           const task_name& key,
                           millis now) {
  if (reservations_.Of(worker.agent) == nullptr) {
    return false;
  }
  const job_step& step = job.record.spec.steps[key.step];
  const scheduled_task task = TaskCopy(key);
  const millis waited =
      (task.runs.empty() ? now : task.runs.front().active_since) -
      task.ready_since;
  return static_cast<double>(waited) <= ObjectiveOf(job) &&
         reservations_.Delays(worker.agent, key.Step(), job.policy.priority,
                              NeedOf(step), LatestEnd(job, step, now));
}

void job_scheduler::NoteStartForReservations(const scheduled_worker& worker,
                                             const scheduled_job& job,
                                             const task_name& key,
                                             millis now) {
  if (options_.lookahead == 0) {
    return;
  }
  const job_step& step = job.record.spec.steps[key.step];
  reservations_.NoteSize(job.policy.service, step.size,
                         worker.description.capacity);
  const auto ended = reservations_.NoteStart(key, worker.agent, NeedOf(step),
                                             LatestEnd(job, step, now));
  if (ended) {
    EmitReleased(*ended, reservation_end::kStarted, now);
  }
}

void job_scheduler::LearnDuration(const scheduled_job& job,
                                  const task_name& key,
                                  const task_run& run,
                                  millis now) {
  const job_step& step = job.record.spec.steps[key.step];
  if (options_.lookahead != 0 && !step.service && BeganAnew(run)) {
    durations_.Learn(DurationGroup(job, step), step.expected,
                     now - run.estimated_start - run.throttling_loss);
  }
}

}  // namespace chervilkeel
