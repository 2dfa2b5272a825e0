// Batch tasks that use left-over cores beside services: how fast they may work
// so that the services meet their targets.
#include <algorithm>

#include "chervilkeel/job_scheduler.h"

namespace chervilkeel {

namespace {

// Between two control steps; executors measure tails over half a second.
constexpr millis kPaceInterval = 250;

// A change of pace shows in the tails after this time: the executor's window,
// its list and the report.
constexpr millis kPaceShows = 900;

// What one core of a batch image must add to a service's utilization to be
// held responsible for its tail.
constexpr double kHeavyPerCore = 0.1;

// What is kept of the pace when the cause of an excess is not known.
constexpr double kSlowDown = 0.6;

constexpr std::uint32_t kPaceUp = 30;     // Most percent given back at a time.
constexpr std::uint32_t kSmallestStep = 8;  // Percent; less is not ordered.

}  // namespace

// The runs of a worker that matter for sharing.
struct job_scheduler::worker_runs {
  struct service_run {
    task_run* run = nullptr;
    const job_step* step = nullptr;
  };
  struct filler_run {
    task_name name;
    task_run* run = nullptr;
    const job_step* step = nullptr;
  };
  std::vector<service_run> services;
  std::vector<filler_run> fillers;
};

namespace {

double CoresAt(const job_step& step, std::uint32_t pace) {
  return static_cast<double>(step.size.milli_processors) / 1'000.0 *
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
        runs.services.push_back({&run, &step});
      } else if (step.filler) {
        runs.fillers.push_back({name, &run, &step});
      }
    }
  }
  return runs;
}

void job_scheduler::LearnPressure(const scheduled_worker& worker, millis now) {
  const worker_runs runs = RunsOf(worker);
  std::vector<pressing_work> beside;
  for (const auto& filler : runs.fillers) {
    // What started or changed lately does not show in the tails yet.
    if (now - std::max(filler.run->since, filler.run->paced_at) < kPaceShows) {
      return;
    }
    beside.push_back(
        {filler.step->image, CoresAt(*filler.step, filler.run->pace)});
  }
  for (const auto& service : runs.services) {
    if (service.run->percent >= 100 && service.run->pace == 100) {
      pressure_.Observe(service.step->image, service.run->load,
                        service.step->tail_target, beside);
    }
  }
}

// Returns the share of its speed at which a filler may start beside the
// services of a worker.
double job_scheduler::PaceBeside(const scheduled_worker& worker,
                                 const job_step& filler,
                                 millis now) {
  const worker_runs runs = RunsOf(worker);
  double pace = 1.0;
  for (const auto& service : runs.services) {
    const std::string& image = service.step->image;
    double room = pressure_model::kComfortable -
                  pressure_.Utilization(image, service.run->load,
                                        service.step->tail_target);
    for (const auto& other : runs.fillers) {
      if (now - std::max(other.run->since, other.run->paced_at) < kPaceShows) {
        room -= pressure_.PerCore(image, other.step->image) *
                CoresAt(*other.step, other.run->pace);
      }
    }
    const double adds =
        pressure_.PerCore(image, filler.image) * CoresAt(filler, 100);
    if (adds >= kHeavyPerCore) {
      pace = std::min(pace, std::max(room, 0.0) / adds);
    }
  }
  return pace;
}

void job_scheduler::PaceFillers(millis now) {
  if (now < next_pace_) {
    return;
  }
  next_pace_ = now + kPaceInterval;
  for (auto& [agent, worker] : workers_) {
    PaceWorker(worker, now);
  }
}

// Says how much of its present pace a filler may keep beside a service that is
// over its target. What presses most is slowed first.
double job_scheduler::KeptPace(const worker_runs& runs,
                               const std::string& service,
                               double utilization,
                               const job_step& filler) {
  double heavy = 0;
  for (const auto& other : runs.fillers) {
    const double per_core = pressure_.PerCore(service, other.step->image);
    if (per_core >= kHeavyPerCore) {
      heavy += per_core * CoresAt(*other.step, other.run->pace);
    }
  }
  const double excess = utilization - pressure_model::kComfortable;
  if (pressure_.PerCore(service, filler.image) < kHeavyPerCore) {
    // Light ones are slowed only when no heavy one explains the excess.
    return heavy > 0.1 ? 1.0 : kSlowDown;
  }
  return std::clamp(1.0 - excess / heavy, 0.0, 1.0);
}

// Slows the fillers beside a service that is over its target, by as much as it
// is over, and gives the pace back in steps.
void job_scheduler::PaceWorker(scheduled_worker& worker, millis now) {
  const worker_runs runs = RunsOf(worker);
  if (runs.fillers.empty() || runs.services.empty()) {
    return;
  }
  for (const auto& filler : runs.fillers) {
    const std::uint32_t before = filler.run->pace;
    if (filler.run->phase != run_phase::kRunning ||
        now - filler.run->paced_at < kPaceShows) {
      continue;
    }
    double wanted = 100;
    double worst = 0;
    const std::string* victim = nullptr;
    for (const auto& service : runs.services) {
      const std::string& image = service.step->image;
      const double used = pressure_.Utilization(image, service.run->load,
                                                service.step->tail_target);
      const double per_core = pressure_.PerCore(image, filler.step->image);
      const double room = pressure_model::kComfortable - used;
      double allowed = 100;
      if (used >= pressure_.Limit(image)) {
        allowed = before * KeptPace(runs, image, used, *filler.step);
      } else if (per_core >= kHeavyPerCore && before < 100) {
        allowed = before + 100.0 * std::max(room, 0.0) /
                               (per_core * CoresAt(*filler.step, 100));
      }
      if (allowed < wanted) {
        wanted = allowed;
        worst = used;
        victim = &image;
      }
    }
    const auto next = std::min(static_cast<std::uint32_t>(wanted),
                               before + kPaceUp);
    if (next + kSmallestStep > before && next < before + kSmallestStep &&
        (next != 100 || before == 100)) {
      continue;
    }
    Emit("filler_paced", filler.name.ToString(), worker.agent,
         "image=" + filler.step->image + " from_percent=" +
             std::to_string(before) + " to_percent=" + std::to_string(next) +
             " service_image=" + (victim != nullptr ? *victim : "-") +
             " utilization=" + std::to_string(worst) + " per_core=" +
             std::to_string(victim != nullptr ? pressure_.PerCore(
                                                    *victim, filler.step->image)
                                              : 0.0));
    OrderPace(filler.name, *filler.run, next, now);
  }
}

void job_scheduler::OrderPace(const task_name& name,
                              task_run& run,
                              std::uint32_t percent,
                              millis now) {
  run.pace = percent;
  run.paced_at = now;
  run.percent_at = now;
  worker_order order;
  order.kind = order_kind::kPace;
  order.boot = run.boot;
  order.task = name;
  order.run = run.run;
  order.percent = percent;
  AddOrder(run.agent, std::move(order));
}

}  // namespace chervilkeel
