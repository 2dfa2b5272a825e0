// Speed limits of best-effort tasks, which use cores that services reserve but
// leave idle. A limit (pace) keeps the tail latency of the colocated services
// within its target.
#include <algorithm>
#include <tuple>

#include "chervilkeel/job_scheduler.h"

namespace chervilkeel {

namespace {

// Paces are recomputed when a worker reports new tail latencies, and on all
// workers at this interval, in ms.
constexpr millis kPaceInterval = 500;

// Time in ms until a change of the best-effort tasks shows in full in the tail
// latencies: executors measure them over half a second.
constexpr double kTailSettleTime = 600;

// Delay in ms between a pace order and its effect: transmission and the
// executor's own delay.
constexpr millis kPaceOrderDelay = 150;

// Time in ms over its target after which a service gets the best-effort tasks
// that interfere most with it paused, then all of them. Operators treat 4 s
// over the target as a violation, and reports lag by up to 1 s.
constexpr millis kPauseWorstAfter = 1'800;
constexpr millis kPauseAllAfter = 2'600;

// Time in ms for which a service's own load is predicted: reports are up to
// half a second old, and a pace order takes effect after kPaceOrderDelay.
constexpr millis kPredictionHorizon = 700;

// Safety margin, in utilization, below the limit at which the tail latency
// exceeds its target. It covers the prediction error of a service's own load.
constexpr double kUtilizationMargin = 0.06;

// Fraction of the utilization not explained by a service's own load and the
// modelled interference that is treated as lasting, unmodelled interference.
constexpr double kUnexplainedWeight = 0.7;

// Images with a smaller factor are not considered a cause of a high tail
// latency.
constexpr double kMinCausalFactor = 0.5;

// Images whose factor is at least this fraction of the highest one on the
// worker are considered causes as well.
constexpr double kCausalFraction = 0.5;

// Largest increase of a pace in one step, in percent.
constexpr std::uint32_t kMaxPaceIncrease = 50;

// A smaller addition to a service's utilization is ignored: reports are
// rounded.
constexpr double kNegligibleUtilization = 0.01;

// Longest time in ms between two reports from which the smoothing of the tail
// latency is undone; after a longer gap the earlier value is irrelevant.
constexpr millis kMaxReportGap = 1'500;

// Time in ms after the start of a service during which its tail latencies are
// not learned from: they are averages that include the time before it worked.
constexpr millis kServiceWarmUp = 2'000;

// Smallest pace change that is ordered, in percent, unless the new pace is 0 or
// 100.
constexpr std::uint32_t kMinPaceChange = 8;

}  // namespace

namespace {

// Returns the fraction of a worker's cores that a best-effort task uses at a
// pace.
double ShareAt(const scheduled_worker& worker,
               const job_step& step,
               std::uint32_t pace) {
  const auto cores = static_cast<double>(
      std::max<std::int64_t>(worker.description.capacity.milli_processors, 1));
  return static_cast<double>(step.size.milli_processors) / cores *
         static_cast<double>(pace) / 100.0;
}

}  // namespace

job_scheduler::worker_runs job_scheduler::RunsOf(
    const scheduled_worker& worker) {
  worker_runs runs;
  for (const task_name& name : worker.tasks) {
    scheduled_task* task = FindTask(name);
    if (task == nullptr) {
      continue;
    }
    const job_step& step = jobs_.at(name.job).record.spec.steps[name.step];
    for (task_run& run : task->runs) {
      if (run.agent != worker.agent || run.phase == run_phase::kStopping) {
        continue;
      }
      if (step.tail_target > 0) {
        runs.services.push_back({name, &run, &step});
      } else if (step.filler) {
        runs.best_effort.push_back({name, &run, &step});
      }
    }
  }
  return runs;
}

sharing_summary job_scheduler::SummarizeSharing() {
  sharing_summary summary;
  summary.reserved_workers = reservations_.ByWorker().size();
  summary.mean_duration_error = durations_.MeanError();
  std::uint64_t shared_workers = 0;
  std::size_t images = 0;
  double paced_milli_processors = 0;
  for (const auto& [agent, worker] : workers_) {
    if (!worker.runs_known || worker.description.draining) {
      continue;
    }
    ++summary.workers;
    summary.service_milli_processors += worker.service_milli_processors;
    if (worker.service_milli_processors == 0) {
      ++summary.workers_without_services;
    }
    const worker_runs runs = RunsOf(worker);
    std::set<std::string> service_images;
    for (const service_run& service : runs.services) {
      service_images.insert(service.step->image);
    }
    shared_workers += service_images.empty() ? 0 : 1;
    images += service_images.size();
    for (const best_effort_run& other : runs.best_effort) {
      ++summary.best_effort_runs;
      summary.best_effort_milli_processors += other.step->size.milli_processors;
      paced_milli_processors +=
          static_cast<double>(other.step->size.milli_processors) *
          other.run->pace;
    }
  }
  if (shared_workers > 0) {
    summary.service_images_per_worker =
        static_cast<double>(images) / static_cast<double>(shared_workers);
  }
  if (summary.best_effort_milli_processors > 0) {
    summary.mean_pace_percent =
        paced_milli_processors /
        static_cast<double>(summary.best_effort_milli_processors);
  }
  for (const std::string& id : active_jobs_) {
    const scheduled_job& job = jobs_.at(id);
    if (!job.has_waiting_tasks) {
      continue;
    }
    for (const auto& [number, occurrence] : job.occurrences) {
      for (const scheduled_step& step : occurrence.steps) {
        if (!step.ready) {
          continue;
        }
        const auto& tracked = step.tasks.Tracked();
        summary.waiting_tasks +=
            step.tasks.UntouchedCount() +
            static_cast<std::uint64_t>(std::count_if(
                tracked.begin(), tracked.end(), [](const auto& entry) {
                  return !entry.second.done && entry.second.runs.empty();
                }));
      }
    }
  }
  return summary;
}

// Returns the name of the group of tasks that share a service's load.
std::string job_scheduler::LoadGroup(const task_name& name) {
  return name.job + "." + std::to_string(name.step);
}

// Records a best-effort run that has ended, as its interference still shows in
// the tail latencies for up to kTailSettleTime.
void job_scheduler::RecordEndedBestEffortRun(scheduled_worker& worker,
                                             const job_step& step,
                                             const task_run& run,
                                             millis now) {
  if (step.filler && run.phase != run_phase::kOrdered) {
    worker.ended_best_effort_runs.push_back(
        {step.image, ShareAt(worker, step, run.pace), now});
  }
}

// Returns the best-effort work that ran alongside a worker's services when its
// executor listed the runs, at `listed`.
std::vector<colocated_work> job_scheduler::InterferingWork(
    scheduled_worker& worker,
    const worker_runs& runs,
    millis listed) {
  const auto uncertain_fraction = [listed](millis since) {
    return std::clamp(
        1.0 - static_cast<double>(listed - since) / kTailSettleTime, 0.0, 1.0);
  };
  std::vector<colocated_work> colocated;
  for (const auto& filler : runs.best_effort) {
    const task_run& run = *filler.run;
    if (run.estimated_start == 0 || run.estimated_start > listed) {
      continue;
    }
    const double share = ShareAt(worker, *filler.step, run.pace);
    const double share_before =
        ShareAt(worker, *filler.step, run.previous_pace);
    const millis pace_effective_at = run.pace_changed_at + kPaceOrderDelay;
    colocated.push_back(
        {filler.step->image, listed < pace_effective_at ? share_before : share,
         std::max(share * uncertain_fraction(run.estimated_start),
                  std::abs(share - share_before) *
                      (run.pace_changed_at > 0
                           ? uncertain_fraction(pace_effective_at)
                           : 0))});
  }
  std::erase_if(worker.ended_best_effort_runs,
                [&](const ended_best_effort_run& ended) {
                  return uncertain_fraction(ended.ended_at) <= 0;
                });
  for (const ended_best_effort_run& ended : worker.ended_best_effort_runs) {
    colocated.push_back(
        {ended.image, 0,
         ended.core_share * uncertain_fraction(ended.ended_at)});
  }
  return colocated;
}

// Updates the pressure model with the runs that the executor listed at
// `listed`.
void job_scheduler::UpdatePressureModel(scheduled_worker& worker,
                                        millis listed,
                                        millis now) {
  const worker_runs runs = RunsOf(worker);
  const std::vector<colocated_work> colocated =
      InterferingWork(worker, runs, listed);
  worker.has_new_tail_latencies =
      worker.has_new_tail_latencies || !runs.services.empty();
  for (const auto& service : runs.services) {
    task_run& run = *service.run;
    const auto reported = static_cast<double>(run.load);
    if (run.load_listed_at == listed) {
      continue;
    }
    const bool is_successive = run.load_listed_at > 0 &&
                               listed > run.load_listed_at &&
                               listed - run.load_listed_at < kMaxReportGap;
    run.unsmoothed_tail_latency = is_successive
                                      ? pressure_model::UnsmoothedTail(
                                            run.reported_tail_latency, reported,
                                            listed - run.load_listed_at)
                                      : reported;
    run.reported_tail_latency = reported;
    run.load_listed_at = listed;
    const double utilization = pressure_model_.Utilization(
        service.step->image, reported, service.step->tail_target);
    if (utilization <
        pressure_model_.UtilizationAtTarget(service.step->image)) {
      run.over_target_since = 0;
    } else if (run.over_target_since == 0) {
      run.over_target_since = now;
    }
    if (options_.learns_interference && run.percent >= 100 && run.pace == 100 &&
        listed - run.active_since > kServiceWarmUp) {
      pressure_model_.Observe({LoadGroup(service.name), service.step->image,
                               run.unsmoothed_tail_latency, reported,
                               service.step->tail_target, listed},
                              colocated);
    }
  }
}

// Returns the utilization that best-effort tasks may add to a service: its
// limit less the margin, the service's own load (the higher of now and
// kPredictionHorizon later) and interference that the model does not explain.
double job_scheduler::InterferenceHeadroom(const scheduled_worker& worker,
                                           const worker_runs& runs,
                                           const service_run& service,
                                           millis now) const {
  const std::string group = LoadGroup(service.name);
  const std::string& image = service.step->image;
  const double own_load =
      std::max(pressure_model_.OwnLoad(group, now),
               pressure_model_.OwnLoad(group, now + kPredictionHorizon));
  double unexplained = 0;
  if (service.run->load_listed_at > 0) {
    double modelled =
        pressure_model_.OwnLoad(group, service.run->load_listed_at);
    for (const auto& other : runs.best_effort) {
      modelled += pressure_model_.Factor(image, other.step->image) *
                  ShareAt(worker, *other.step, other.run->pace);
    }
    unexplained =
        pressure_model_.Utilization(image, service.run->unsmoothed_tail_latency,
                                    service.step->tail_target) -
        modelled;
  }
  return pressure_model_.UtilizationAtTarget(image) - kUtilizationMargin -
         own_load - kUnexplainedWeight * std::max(unexplained, 0.0);
}

// Returns the runs of a worker, cached for the current Tick(); a start on the
// worker invalidates its entry.
const job_scheduler::worker_runs& job_scheduler::RoomsOf(
    const scheduled_worker& worker,
    millis now) {
  std::shared_ptr<worker_runs>& runs = runs_cache_[&worker];
  if (runs == nullptr) {
    runs = std::make_shared<worker_runs>(RunsOf(worker));
  }
  if (runs->rooms.size() == runs->services.size()) {
    return *runs;
  }
  for (const service_run& service : runs->services) {
    double added = 0;
    for (const best_effort_run& other : runs->best_effort) {
      added += pressure_model_.Factor(service.step->image, other.step->image) *
               ShareAt(worker, *other.step, 100);
    }
    runs->rooms.emplace_back(InterferenceHeadroom(worker, *runs, service, now),
                             added);
  }
  return *runs;
}

// Returns the fraction of full speed at which a best-effort task may start on a
// worker, given the services and best-effort tasks that run there.
double job_scheduler::PaceAlongsideServices(const scheduled_worker& worker,
                                            const job_step& filler,
                                            millis now) {
  const worker_runs& runs = RoomsOf(worker, now);
  const double share = ShareAt(worker, filler, 100);
  double pace = 1.0;
  for (std::size_t i = 0; i < runs.services.size(); ++i) {
    const double added = pressure_model_.UpperConfidenceFactor(
                             runs.services[i].step->image, filler.image) *
                         share;
    if (added >= kNegligibleUtilization) {
      const auto& [headroom, added_by_others] = runs.rooms[i];
      pace =
          std::min(pace, std::max(headroom, 0.0) / (added + added_by_others));
    }
  }
  return pace;
}

void job_scheduler::UpdatePaces(millis now) {
  if (!options_.limits_best_effort_pace) {
    return;
  }
  const bool all_workers = now >= next_pace_update_;
  if (all_workers) {
    next_pace_update_ = now + kPaceInterval;
  }
  for (auto& [agent, worker] : workers_) {
    if (std::exchange(worker.has_new_tail_latencies, false) || all_workers) {
      UpdateWorkerPaces(worker, now);
    }
  }
}

// Returns the smallest factor with which an image is considered a cause of a
// service's high tail latency.
double job_scheduler::MinBlamedFactor(const worker_runs& runs,
                                      const std::string& service) const {
  double highest = 0;
  for (const auto& other : runs.best_effort) {
    if (other.run->pace > 0) {
      highest =
          std::max(highest, pressure_model_.Factor(service, other.step->image));
    }
  }
  return std::max(kCausalFraction * highest, kMinCausalFactor);
}

// Returns the indexes of a worker's best-effort runs in the order in which they
// get headroom: jobs that can still meet their objective first, then those with
// the fewest tasks left, as a job ends with its last task.
std::vector<std::size_t> job_scheduler::OrderByUrgency(
    const worker_runs& runs) const {
  using urgency = std::tuple<bool, std::size_t, std::uint32_t, std::size_t>;
  std::vector<urgency> keys;
  for (std::size_t i = 0; i < runs.best_effort.size(); ++i) {
    const best_effort_run& filler = runs.best_effort[i];
    const scheduled_job& job = jobs_.at(filler.name.job);
    const scheduled_step& step =
        job.occurrences.at(filler.name.occurrence).steps[filler.name.step];
    const std::uint32_t percent_left =
        100 - std::min(filler.run->percent, 100U);
    const millis left =
        job.remaining_paths[filler.name.step] * percent_left / 100;
    const auto expected_end =
        static_cast<double>(wall_ms_ - job.record.accepted_ms + left);
    keys.emplace_back(expected_end > ObjectiveOf(job),
                      step.tasks.Size() - step.tasks.DoneCount(), percent_left,
                      i);
  }
  std::sort(keys.begin(), keys.end());
  std::vector<std::size_t> order;
  order.reserve(keys.size());
  for (const urgency& key : keys) {
    order.push_back(std::get<3>(key));
  }
  return order;
}

// Lowers the paces of a worker's best-effort tasks (1 is full speed) until they
// fit into a service's headroom. The first in `order` get it first: slowing all
// of them equally would delay every job.
void job_scheduler::LimitInterference(const scheduled_worker& worker,
                                      const worker_runs& runs,
                                      const service_run& service,
                                      double room,
                                      const std::vector<std::size_t>& order,
                                      std::vector<double>& paces) const {
  for (const std::size_t i : order) {
    const job_step& step = *runs.best_effort[i].step;
    const double added =
        pressure_model_.Factor(service.step->image, step.image) *
        ShareAt(worker, step, 100);
    if (added >= kNegligibleUtilization) {
      paces[i] = std::min(paces[i], std::max(room, 0.0) / added);
      room -= paces[i] * added;
    }
  }
}

// Sets the paces of a worker's best-effort tasks so that, according to the
// model, its services meet their targets. Tasks colocated with a service that
// has been over its target for too long are paused regardless of the model.
void job_scheduler::UpdateWorkerPaces(scheduled_worker& worker, millis now) {
  const worker_runs runs = RunsOf(worker);
  const std::vector<std::size_t> order = OrderByUrgency(runs);
  std::vector<double> paces(runs.best_effort.size(), 1.0);
  // For each best-effort run, the service that last lowered its pace, and the
  // headroom of that service.
  std::vector<std::pair<const service_run*, double>> limits(
      runs.best_effort.size(), {nullptr, 0});
  for (const auto& service : runs.services) {
    const double headroom = InterferenceHeadroom(worker, runs, service, now);
    const std::vector<double> former_paces = paces;
    LimitInterference(worker, runs, service, headroom, order, paces);
    const millis over_target = service.run->over_target_since == 0
                                   ? 0
                                   : now - service.run->over_target_since;
    const double min_factor = MinBlamedFactor(runs, service.step->image);
    for (std::size_t i = 0; i < paces.size(); ++i) {
      const double factor = pressure_model_.Factor(
          service.step->image, runs.best_effort[i].step->image);
      if (over_target > kPauseAllAfter ||
          (over_target > kPauseWorstAfter && factor >= min_factor)) {
        paces[i] = 0;
      }
      if (paces[i] < former_paces[i]) {
        limits[i] = {&service, headroom};
      }
    }
  }
  for (std::size_t i = 0; i < paces.size(); ++i) {
    const auto& filler = runs.best_effort[i];
    const std::uint32_t old_pace = filler.run->pace;
    if (filler.run->throttling_counted_until > 0) {
      filler.run->throttling_loss +=
          (now - filler.run->throttling_counted_until) * (100 - old_pace) / 100;
    }
    filler.run->throttling_counted_until = now;
    const auto new_pace = std::min(static_cast<std::uint32_t>(100 * paces[i]),
                                   old_pace + kMaxPaceIncrease);
    const bool is_small_change = new_pace + kMinPaceChange > old_pace &&
                                 new_pace < old_pace + kMinPaceChange;
    if (filler.run->phase != run_phase::kRunning || new_pace == old_pace ||
        (is_small_change && new_pace != 100 && new_pace != 0)) {
      continue;
    }
    const auto& [limiting, limiting_headroom] = limits[i];
    Emit("filler_paced", filler.name.ToString(), worker.agent,
         "image=" + filler.step->image +
             " from_percent=" + std::to_string(old_pace) +
             " to_percent=" + std::to_string(new_pace) + " service_image=" +
             (limiting != nullptr ? limiting->step->image : "-") +
             " room=" + std::to_string(limiting_headroom) + " factor=" +
             std::to_string(limiting != nullptr
                                ? pressure_model_.Factor(limiting->step->image,
                                                         filler.step->image)
                                : 0.0) +
             " tail_age_ms=" +
             std::to_string(limiting != nullptr
                                ? now - limiting->run->load_listed_at
                                : 0));
    OrderPace(filler.name, *filler.run, new_pace, now);
  }
}

void job_scheduler::OrderPace(const task_name& name,
                              task_run& run,
                              std::uint32_t percent,
                              millis now) {
  run.previous_pace = run.pace;
  run.pace = percent;
  run.pace_changed_at = now;
  run.percent_changed_at = now;
  worker_order order;
  order.kind = order_kind::kPace;
  order.boot = run.boot;
  order.task = name;
  order.run = run.run;
  order.percent = percent;
  AddOrder(run.agent, std::move(order));
}

}  // namespace chervilkeel
