// Batch tasks that use left-over cores beside services: how fast they may work
// so that the services meet their targets.
#include <algorithm>
#include <tuple>

#include "chervilkeel/job_scheduler.h"

namespace chervilkeel {

namespace {

// Fillers are paced when new tails come, and after this time without them.
constexpr millis kPaceInterval = 500;

// ms; how long a change among the fillers takes to show in full in the tails:
// executors measure them over half a second.
constexpr double kSettles = 600;

// From an order on pace to its effect: its way, and what the executor takes.
constexpr millis kPaceTakes = 150;

// A service over its target for so long has the fillers that press most on it
// paused, and a little later all of them: operators count it as harmed after
// 4 s, and reports lag by up to a second.
constexpr millis kPauseWorstAfter = 1'800;
constexpr millis kPauseAllAfter = 2'600;

// How far ahead of a service's own load fillers are slowed: reports are up to
// half a second old, and an order takes effect after kPaceTakes.
constexpr millis kLookAhead = 700;

// The utilization to stay under, below the one at which the tail is over its
// target: what the model misses of a service's own load.
constexpr double kMargin = 0.06;

// Of what a service shows beyond its own load and the known pressure, the part
// that is taken for unknown pressure that lasts.
constexpr double kTrustSurplus = 0.7;

// A pair with a smaller factor is not held responsible for a service's tail.
constexpr double kLeastFactor = 0.5;

// Images that press at least this part as much as the worst one share its
// blame.
constexpr double kBlamedPart = 0.5;

constexpr std::uint32_t kPaceUp = 50;  // Most percent given back at a time.
// Adding less to a utilization than this is no pressure: reports are rounded.
constexpr double kNoPressure = 0.01;

// Two tails that lie further apart say nothing of how the later one came about.
constexpr millis kLongestGap = 1'500;

// The first tails of a service are averages with the time before it worked.
constexpr millis kServiceSettles = 2'000;

constexpr std::uint32_t kSmallestStep = 8;  // Percent; less is not ordered.

}  // namespace

namespace {

// The share of a worker's cores that a filler uses at a pace.
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

// Returns the runs of a worker as they were when the present Tick() first
// asked; a start on the worker drops them.
const job_scheduler::worker_runs& job_scheduler::CachedRunsOf(
    const scheduled_worker& worker) {
  std::shared_ptr<worker_runs>& runs = runs_cache_[&worker];
  if (runs == nullptr) {
    runs = std::make_shared<worker_runs>(RunsOf(worker));
  }
  return *runs;
}

// The group of tasks that share a service's load.
std::string job_scheduler::LoadGroup(const task_name& name) {
  return name.job + "." + std::to_string(name.step);
}

// Remembers a filler that works no more: tails show it for a while.
void job_scheduler::RecordEndedBestEffortRun(scheduled_worker& worker,
                                             const job_step& step,
                                             const task_run& run,
                                             millis now) {
  if (step.filler && run.phase != run_phase::kOrdered) {
    worker.ended_best_effort_runs.push_back(
        {step.image, ShareAt(worker, step, run.pace), now});
  }
}

// Returns the fillers that pressed on a worker's services when the executor
// listed its runs.
std::vector<pressing_work> job_scheduler::InterferingWork(
    scheduled_worker& worker,
    const worker_runs& runs,
    millis listed) {
  const auto unsettled = [listed](millis since) {
    return std::clamp(1.0 - static_cast<double>(listed - since) / kSettles, 0.0,
                      1.0);
  };
  std::vector<pressing_work> beside;
  for (const auto& filler : runs.best_effort) {
    const task_run& run = *filler.run;
    if (run.estimated_start == 0 || run.estimated_start > listed) {
      continue;
    }
    const double share = ShareAt(worker, *filler.step, run.pace);
    const double before = ShareAt(worker, *filler.step, run.previous_pace);
    const millis paced = run.pace_changed_at + kPaceTakes;
    beside.push_back(
        {filler.step->image, listed < paced ? before : share,
         std::max(share * unsettled(run.estimated_start),
                  std::abs(share - before) *
                      (run.pace_changed_at > 0 ? unsettled(paced) : 0))});
  }
  std::erase_if(worker.ended_best_effort_runs,
                [&](const ended_best_effort_run& ended) {
                  return unsettled(ended.ended_at) <= 0;
                });
  for (const ended_best_effort_run& ended : worker.ended_best_effort_runs) {
    beside.push_back(
        {ended.image, 0, ended.core_share * unsettled(ended.ended_at)});
  }
  return beside;
}

// Learns from a list of runs that the executor gave at `listed`.
void job_scheduler::UpdatePressureModel(scheduled_worker& worker,
                                        millis listed,
                                        millis now) {
  const worker_runs runs = RunsOf(worker);
  const std::vector<pressing_work> beside =
      InterferingWork(worker, runs, listed);
  worker.has_new_tail_latencies =
      worker.has_new_tail_latencies || !runs.services.empty();
  for (const auto& service : runs.services) {
    task_run& run = *service.run;
    const auto reported = static_cast<double>(run.load);
    if (run.load_listed_at == listed) {
      continue;
    }
    const bool follows = run.load_listed_at > 0 &&
                         listed > run.load_listed_at &&
                         listed - run.load_listed_at < kLongestGap;
    run.unsmoothed_tail_latency =
        follows
            ? pressure_model::PresentTail(run.reported_tail_latency, reported,
                                          listed - run.load_listed_at)
            : reported;
    run.reported_tail_latency = reported;
    run.load_listed_at = listed;
    const double used = pressure_model_.Utilization(
        service.step->image, reported, service.step->tail_target);
    if (used < pressure_model_.Limit(service.step->image)) {
      run.over_target_since = 0;
    } else if (run.over_target_since == 0) {
      run.over_target_since = now;
    }
    if (options_.learns_interference && run.percent >= 100 && run.pace == 100 &&
        listed - run.active_since > kServiceSettles) {
      pressure_model_.Observe({LoadGroup(service.name), service.step->image,
                               run.unsmoothed_tail_latency, reported,
                               service.step->tail_target, listed},
                              beside);
    }
  }
}

// Returns what fillers may add to a service's utilization: what is left below
// its limit by its own load, now and a little later, and by pressure that the
// model does not know.
double job_scheduler::InterferenceHeadroom(const scheduled_worker& worker,
                                           const worker_runs& runs,
                                           const service_run& service,
                                           millis now) const {
  const std::string group = LoadGroup(service.name);
  const std::string& image = service.step->image;
  const double own = std::max(pressure_model_.OwnLoad(group, now),
                              pressure_model_.OwnLoad(group, now + kLookAhead));
  double surplus = 0;
  if (service.run->load_listed_at > 0) {
    double known = pressure_model_.OwnLoad(group, service.run->load_listed_at);
    for (const auto& other : runs.best_effort) {
      known += pressure_model_.Factor(image, other.step->image) *
               ShareAt(worker, *other.step, other.run->pace);
    }
    surplus =
        pressure_model_.Utilization(image, service.run->unsmoothed_tail_latency,
                                    service.step->tail_target) -
        known;
  }
  return pressure_model_.Limit(image) - kMargin - own -
         kTrustSurplus * std::max(surplus, 0.0);
}

// Returns the share of its speed at which a filler may start beside the
// services of a worker, with the fillers that are there.
double job_scheduler::PaceAlongsideServices(const scheduled_worker& worker,
                                            const job_step& step,
                                            millis now) {
  const worker_runs& runs = CachedRunsOf(worker);
  double pace = 1.0;
  for (const auto& service : runs.services) {
    const std::string& image = service.step->image;
    const double adds = pressure_model_.CautiousFactor(image, step.image) *
                        ShareAt(worker, step, 100);
    if (adds < kNoPressure) {
      continue;
    }
    double pressing = adds;
    for (const auto& other : runs.best_effort) {
      pressing += pressure_model_.Factor(image, other.step->image) *
                  ShareAt(worker, *other.step, 100);
    }
    const double room = InterferenceHeadroom(worker, runs, service, now);
    pace = std::min(pace, std::max(room, 0.0) / pressing);
  }
  return pace;
}

void job_scheduler::UpdatePaces(millis now) {
  if (!options_.limits_best_effort_pace) {
    return;
  }
  const bool all = now >= next_pace_update_;
  if (all) {
    next_pace_update_ = now + kPaceInterval;
  }
  for (auto& [agent, worker] : workers_) {
    if (std::exchange(worker.has_new_tail_latencies, false) || all) {
      UpdateWorkerPaces(worker, now);
    }
  }
}

// Returns the factor from which on an image shares the blame for a service's
// tail.
double job_scheduler::MinBlamedFactor(const worker_runs& runs,
                                      const std::string& service) const {
  double highest = 0;
  for (const auto& other : runs.best_effort) {
    if (other.run->pace > 0) {
      highest =
          std::max(highest, pressure_model_.Factor(service, other.step->image));
    }
  }
  return std::max(kBlamedPart * highest, kLeastFactor);
}

// Returns the places of a worker's fillers in the order in which they get room:
// jobs that can still be in time first, then those with the fewest tasks to go,
// as a job is done with its last task.
std::vector<std::size_t> job_scheduler::OrderByUrgency(
    const worker_runs& runs) const {
  using urgency = std::tuple<bool, std::size_t, std::uint32_t, std::size_t>;
  std::vector<urgency> keys;
  for (std::size_t i = 0; i < runs.best_effort.size(); ++i) {
    const best_effort_run& filler = runs.best_effort[i];
    const scheduled_job& job = jobs_.at(filler.name.job);
    const scheduled_step& step =
        job.occurrences.at(filler.name.occurrence).steps[filler.name.step];
    const auto age = static_cast<double>(wall_ms_ - job.record.accepted_ms);
    keys.emplace_back(age > ObjectiveOf(job), step.tasks.size() - step.done,
                      100 - std::min(filler.run->percent, 100U), i);
  }
  std::sort(keys.begin(), keys.end());
  std::vector<std::size_t> order;
  order.reserve(keys.size());
  for (const urgency& key : keys) {
    order.push_back(std::get<3>(key));
  }
  return order;
}

// Lowers the paces of a worker's fillers (in parts of 1) until they leave a
// service the room it needs. Who comes first in the order keeps its pace: to
// slow all alike would hold up every job.
void job_scheduler::LimitInterference(const scheduled_worker& worker,
                                      const worker_runs& runs,
                                      const service_run& service,
                                      double headroom,
                                      const std::vector<std::size_t>& order,
                                      std::vector<double>& paces) const {
  for (const std::size_t i : order) {
    const job_step& step = *runs.best_effort[i].step;
    const double adds =
        pressure_model_.Factor(service.step->image, step.image) *
        ShareAt(worker, step, 100);
    if (adds >= kNoPressure) {
      paces[i] = std::min(paces[i], std::max(headroom, 0.0) / adds);
      headroom -= paces[i] * adds;
    }
  }
}

// Sets the paces of a worker's fillers so that its services meet their targets
// by what the model expects; a service that is over its target for long has
// them paused whatever the model says.
void job_scheduler::UpdateWorkerPaces(scheduled_worker& worker, millis now) {
  const worker_runs runs = RunsOf(worker);
  const std::vector<std::size_t> order = OrderByUrgency(runs);
  std::vector<double> paces(runs.best_effort.size(), 1.0);
  // By filler: the service that held it back last, and the room it left.
  std::vector<std::pair<const service_run*, double>> limits(
      runs.best_effort.size(), {nullptr, 0});
  for (const auto& service : runs.services) {
    const double room = InterferenceHeadroom(worker, runs, service, now);
    const std::vector<double> former = paces;
    LimitInterference(worker, runs, service, room, order, paces);
    const millis over = service.run->over_target_since == 0
                            ? 0
                            : now - service.run->over_target_since;
    const double blamed = MinBlamedFactor(runs, service.step->image);
    for (std::size_t i = 0; i < paces.size(); ++i) {
      const double factor = pressure_model_.Factor(
          service.step->image, runs.best_effort[i].step->image);
      if (over > kPauseAllAfter ||
          (over > kPauseWorstAfter && factor >= blamed)) {
        paces[i] = 0;
      }
      if (paces[i] < former[i]) {
        limits[i] = {&service, room};
      }
    }
  }
  for (std::size_t i = 0; i < paces.size(); ++i) {
    const auto& filler = runs.best_effort[i];
    const std::uint32_t before = filler.run->pace;
    if (filler.run->throttling_counted_until > 0) {
      filler.run->throttling_loss +=
          (now - filler.run->throttling_counted_until) * (100 - before) / 100;
    }
    filler.run->throttling_counted_until = now;
    const auto next =
        std::min(static_cast<std::uint32_t>(100 * paces[i]), before + kPaceUp);
    const bool small =
        next + kSmallestStep > before && next < before + kSmallestStep;
    if (filler.run->phase != run_phase::kRunning || next == before ||
        (small && next != 100 && next != 0)) {
      continue;
    }
    const auto& [limit, limit_room] = limits[i];
    Emit("filler_paced", filler.name.ToString(), worker.agent,
         "image=" + filler.step->image + " from_percent=" +
             std::to_string(before) + " to_percent=" + std::to_string(next) +
             " service_image=" + (limit != nullptr ? limit->step->image : "-") +
             " room=" + std::to_string(limit_room) + " factor=" +
             std::to_string(limit != nullptr
                                ? pressure_model_.Factor(limit->step->image,
                                                         filler.step->image)
                                : 0.0) +
             " tail_age_ms=" +
             std::to_string(limit != nullptr ? now - limit->run->load_listed_at
                                             : 0));
    OrderPace(filler.name, *filler.run, next, now);
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
