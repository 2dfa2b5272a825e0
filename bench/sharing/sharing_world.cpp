#include "sharing_world.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

#include <boost/json.hpp>

namespace chervilkeel::bench {

namespace {

constexpr millis kStep = 10;
constexpr std::int64_t kWall = 1'700'000'000'000;
constexpr millis kReportInterval = 300;
constexpr millis kNewsDelay = 20;    // From an end to its report.
constexpr millis kOrderDelay = 40;   // From a decision to its effect.
constexpr millis kPaceDelay = 100;   // More for a pace.
constexpr double kSmoothing = 500;   // ms, of tails.
constexpr double kUnloadedTail = 4;  // ms.
constexpr millis kTailTarget = 18;
constexpr double kMeanLoad = 0.42;
constexpr double kSwing = 0.5;  // Of the load.
constexpr double kSwingPeriod = 10'000;
constexpr double kTau = 6.283185307179586;
constexpr double kStretch = 2.0;
constexpr millis kLatencyTarget = 1'000;
constexpr double kLateWorth = 0.15;
constexpr double kWorthlessAfter = 3.0;  // Objectives.
constexpr double kOverCounts = 4.0;
constexpr double kKnownVariance = 1e-4;  // Of a factor that was revealed.
constexpr millis kLookahead = 300;
constexpr std::int64_t kLargeMultiple = 4;
constexpr double kWork = 0.7;  // Part of a job's worth that goes by its work.

}  // namespace

sharing_world::sharing_world(const sharing_scenario& scenario,
                             sharing_policy policy,
                             std::uint64_t seed)
    : scenario_(scenario),
      policy_(policy),
      random_(seed),
      scheduler_(
          [&scenario, policy] {
            scheduler_options options;
            if (policy != sharing_policy::kUnknownMoveTimes) {
              options.moves = {scenario.longest_stop, scenario.restore,
                               scenario.checkpoint_interval};
            }
            options.learns_interference = policy != sharing_policy::kNoLearning;
            options.limits_best_effort_pace =
                policy != sharing_policy::kNoPacing;
            options.orders_by_value = policy != sharing_policy::kFifo;
            options.lookahead =
                policy == sharing_policy::kLookahead ? kLookahead : 0;
            return options;
          }(),
          0) {
  scheduling_config config;
  config.version = 1;
  for (const char* name : {"services", "batch"}) {
    queue_policy queue;
    queue.name = name;
    queue.service = "cutting";
    queue.priority = name[0] == 's' ? 0 : 2;
    queue.stretch = kStretch;
    queue.latency_target = kLatencyTarget;
    config.queues[name] = queue;
  }
  scheduler_.SetConfig(config);
  scheduler_.on_event = [this](const scheduler_event& event) {
    const std::string key = " waited_ms=";
    const auto found = event.detail.find(key);
    if (event.event == std::string("start_ordered") &&
        event.subject[0] == 'b' && found != std::string::npos) {
      waits_.emplace_back(event.subject.substr(0, event.subject.find('.')),
                          std::stod(event.detail.substr(found + key.size())));
    }
  };
  for (std::uint32_t i = 0; i < scenario_.workers; ++i) {
    fake_worker worker;
    worker.agent = "agent-" + std::to_string(i);
    worker.milli = scenario_.worker_milli * (i % 3 == 2 ? 3 : 2) / 2;
    worker.next_report = now_ + (static_cast<millis>(i) * 37) % kReportInterval;
    workers_.push_back(std::move(worker));
  }
}

double sharing_world::Uniform(double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(random_);
}

double sharing_world::LogNormal(double mean, double spread) {
  std::lognormal_distribution<double> values(
      std::log(mean) - spread * spread / 2, spread);
  return values(random_);
}

void sharing_world::RevealFactors() {
  boost::json::array factors;
  for (std::uint32_t s = 0; s < scenario_.service_images; ++s) {
    for (std::uint32_t b = 0; b < scenario_.batch_images; ++b) {
      const std::string service = "s" + std::to_string(s);
      const std::string batch = "b" + std::to_string(b);
      factors.push_back(boost::json::array{
          service, batch, MeanFactor(service, batch), kKnownVariance});
    }
  }
  const auto restored = scheduler_.RestorePressureModel(boost::json::serialize(
      boost::json::object{{"factors", std::move(factors)},
                          {"unloaded", boost::json::array()}}));
  if (!restored) {
    throw std::logic_error(ToString(restored.error()));
  }
}

void sharing_world::AddService(std::uint32_t number) {
  job_record record;
  record.id = "service" + std::to_string(number);
  record.queue.name = "services";
  record.queue.service = "cutting";
  record.accepted_ms = kWall + now_;
  job_step step;
  step.tasks = static_cast<std::uint32_t>(
      std::max(1.0, LogNormal(scenario_.tasks_per_service, 0.4)));
  step.size = {
      static_cast<std::int64_t>(static_cast<double>(scenario_.service_milli) *
                                Uniform(0.7, 1.3)),
      6'400, 0};
  step.expected = 420;
  step.service = true;
  step.image = "s" + std::to_string(random_() % scenario_.service_images);
  step.tail_target = kTailTarget;
  step.most_per_worker = number % 2 == 0 ? 0 : 2;
  record.spec.steps.push_back(step);
  phases_[record.id] = Uniform(0, kTau);
  scheduler_.AddJob(record, now_);
}

void sharing_world::AddBatchJob() {
  job_record record;
  record.id = "batch" + std::to_string(jobs_++);
  record.queue.name = "batch";
  record.queue.service = "cutting";
  record.accepted_ms = kWall + now_;
  const bool is_large =
      scenario_.large_jobs > 0 && Uniform(0, 1) < scenario_.large_jobs;
  if (is_large) {
    large_jobs_.insert(record.id);
  }
  const auto steps = 1 + random_() % 3;
  double chain = 0;
  double core_ms = 0;
  for (std::uint32_t s = 0; s < steps; ++s) {
    job_step step;
    step.tasks = static_cast<std::uint32_t>(
        std::clamp(LogNormal(scenario_.batch_width, 0.6), 1.0, 80.0));
    step.size = {
        static_cast<std::int64_t>(static_cast<double>(scenario_.batch_milli) *
                                  Uniform(0.7, 1.3)),
        3'200, 0};
    if (is_large) {
      step.size.milli_processors *= kLargeMultiple;
      step.tasks = (step.tasks + kLargeMultiple - 1) / kLargeMultiple;
    }
    step.filler = true;
    step.checkpoints = true;
    step.image = "b" + std::to_string(random_() % scenario_.batch_images);
    if (s > 0) {
      step.after = {s - 1};
    }
    const double typical =
        LogNormal(static_cast<double>(scenario_.batch_task), 0.5);
    step.expected =
        static_cast<millis>(typical * Uniform(1 - scenario_.estimate_error,
                                              1 + scenario_.estimate_error));
    double longest = 0;
    for (std::uint32_t i = 0; i < step.tasks; ++i) {
      double work = typical * Uniform(0.7, 1.3);
      if (scenario_.stragglers > 0 && Uniform(0, 1) < scenario_.stragglers) {
        work *= scenario_.straggler;
      }
      work_[{record.id, 0, s, i}] = work;
      longest = std::max(longest, work);
      core_ms += work * static_cast<double>(step.size.milli_processors) / 1e3;
    }
    chain += longest;
    record.spec.steps.push_back(step);
  }
  const double mean = 2 * scenario_.batch_width *
                      static_cast<double>(scenario_.batch_task) *
                      static_cast<double>(scenario_.batch_milli) / 1e3;
  batch_jobs_[record.id] = {now_, kStretch * chain + kLatencyTarget,
                            1 - kWork + kWork * std::min(core_ms / mean, 4.0),
                            false};
  scheduler_.AddJob(record, now_);
}

double sharing_world::OwnLoad(const std::string& job) const {
  return kMeanLoad * (1 + kSwing * std::sin(static_cast<double>(now_) /
                                                kSwingPeriod * kTau +
                                            phases_.at(job)));
}

double sharing_world::MeanFactor(const std::string& service,
                                 const std::string& batch) {
  const auto [entry, is_new] = factors_.try_emplace({service, batch}, 0.0);
  if (is_new) {
    entry->second = Uniform(0, 1) < scenario_.heavy_pairs ? Uniform(0.8, 4.0)
                                                          : Uniform(0, 0.15);
  }
  return entry->second;
}

double sharing_world::Factor(const std::string& service,
                             const std::string& batch) {
  // Pressure wavers within seconds.
  return MeanFactor(service, batch) *
         (1 + 0.3 * std::sin(static_cast<double>(now_) / 3'000 * kTau));
}

void sharing_world::WorkOn(fake_worker& worker, double batch_speed) {
  std::vector<task_name> done;
  for (auto& [name, task] : worker.runs) {
    if (!task.step->filler || task.stops_at != 0 || now_ < task.works_from) {
      continue;
    }
    task.left -= static_cast<double>(kStep) * task.pace * batch_speed;
    batch_core_ms_ += static_cast<double>(kStep) * task.pace * batch_speed *
                      static_cast<double>(task.step->size.milli_processors) /
                      1e3;
    if (task.saved - task.left >=
        static_cast<double>(scenario_.checkpoint_interval)) {
      task.saved = task.left;
    }
    if (task.left <= 0) {
      done.push_back(name);
    }
  }
  for (const task_name& name : done) {
    End(worker, name, run_end::kDone);
  }
}

// Advances the tails of a worker's services.
void sharing_world::Serve(fake_worker& worker) {
  const double kept = std::exp(-static_cast<double>(kStep) / kSmoothing);
  for (auto& [name, task] : worker.runs) {
    if (!task.step->service) {
      continue;
    }
    double used = OwnLoad(name.job);
    for (const auto& [other_name, other] : worker.runs) {
      if (other.step->filler) {
        used += Factor(task.step->image, other.step->image) * other.pace *
                static_cast<double>(other.step->size.milli_processors) /
                static_cast<double>(worker.milli);
      }
    }
    const double tail = kUnloadedTail / std::max(1 - used, 0.02);
    task.tail = task.tail * kept + tail * (1 - kept);
    service_ms_ += static_cast<double>(kStep);
    if (tail > kTailTarget) {
      over_ms_ += static_cast<double>(kStep);
      task.over += kStep;
      figures_.longest_over = std::max(figures_.longest_over, task.over);
    } else {
      task.over = 0;
    }
  }
}

void sharing_world::Work(fake_worker& worker) {
  double wanted = 0;
  double left = static_cast<double>(worker.milli);
  for (const auto& [name, task] : worker.runs) {
    const auto milli = static_cast<double>(task.step->size.milli_processors);
    if (task.step->filler) {
      wanted += milli * task.pace;
    } else {
      left -= milli * OwnLoad(name.job);
    }
  }
  WorkOn(worker, wanted > left ? std::max(left, 0.0) / wanted : 1.0);
  Serve(worker);
}

void sharing_world::End(fake_worker& worker,
                        const task_name& task,
                        run_end how) {
  const auto run = worker.runs.find(task);
  if (run == worker.runs.end()) {
    return;
  }
  work_[task] = std::max(
      how == run_end::kDone ? run->second.left : run->second.saved, 0.0);
  worker.ends.push_back(
      {++worker.last_end, task, run->second.run, how, "saved"});
  worker.runs.erase(run);
  worker.has_news = true;
  worker.next_report = std::min(worker.next_report, now_ + kNewsDelay);
}

void sharing_world::FinishStops(fake_worker& worker) {
  std::vector<task_name> ended;
  for (const auto& [name, task] : worker.runs) {
    if (task.stops_at != 0 && now_ >= task.stops_at) {
      ended.push_back(name);
    }
  }
  for (const task_name& name : ended) {
    End(worker, name, run_end::kStopped);
  }
}

void sharing_world::Carry(fake_worker& worker, const worker_order& order) {
  const auto run = worker.runs.find(order.task);
  switch (order.kind) {
    case order_kind::kStart: {
      running_task task;
      task.run = order.run;
      task.step = &scheduler_.Jobs()
                       .at(order.task.job)
                       .record.spec.steps[order.task.step];
      task.left = task.step->filler ? work_.at(order.task) : 0;
      task.whole = task.left;
      task.saved = task.left;
      task.works_from = now_ + scenario_.restore;
      task.since = now_;
      worker.runs[order.task] = task;
      break;
    }
    case order_kind::kStop:
      if (run == worker.runs.end()) {
        break;
      }
      figures_.batch_stops += run->second.step->filler;
      if (!run->second.step->filler || scenario_.longest_stop == 0) {
        End(worker, order.task, run_end::kStopped);
      } else if (run->second.stops_at == 0) {
        run->second.stops_at =
            now_ +
            static_cast<millis>(Uniform(0.2, 1) *
                                static_cast<double>(scenario_.longest_stop));
      }
      break;
    case order_kind::kPace:
      if (run != worker.runs.end()) {
        run->second.pace = order.percent / 100.0;
      }
      break;
  }
}

void sharing_world::TakeOrders(fake_worker& worker) {
  for (auto& [number, order] :
       scheduler_.OrdersFor(worker.agent, worker.acked)) {
    worker.acked = number;
    const millis delay =
        kOrderDelay + (order.kind == order_kind::kPace ? kPaceDelay : 0);
    worker.orders.push_back({now_ + delay, order});
  }
  const auto due = std::stable_partition(
      worker.orders.begin(), worker.orders.end(),
      [this](const late_order& entry) { return entry.due > now_; });
  const std::vector<late_order> carried(due, worker.orders.end());
  worker.orders.erase(due, worker.orders.end());
  for (const late_order& entry : carried) {
    Carry(worker, entry.order);
  }
}

void sharing_world::Report(fake_worker& worker) {
  worker_report report;
  report.agent = worker.agent;
  report.worker.boot = {"executor-" + worker.agent, 5};
  report.worker.service = "cutting";
  report.worker.labels = {"a", "rack-1"};
  report.worker.capacity = {worker.milli, 64'000, 0};
  report.has_runs = true;
  for (const auto& [name, task] : worker.runs) {
    run_status status;
    status.task = name;
    status.run = task.run;
    status.percent =
        task.step->filler
            ? static_cast<std::uint32_t>(
                  100 * (1 - task.left / std::max(task.whole, 1.0)))
            : 100;
    status.load =
        task.step->filler
            ? static_cast<std::int64_t>(
                  static_cast<double>(task.step->size.milli_processors) *
                  task.pace)
            : static_cast<std::int64_t>(std::round(task.tail));
    report.runs.push_back(status);
  }
  report.ends = std::exchange(worker.ends, {});
  scheduler_.OnReport(report, now_);
  worker.next_report = now_ + kReportInterval;
  worker.has_news = false;
}

void sharing_world::NoteEndedJobs() {
  for (auto& [id, job] : batch_jobs_) {
    if (job.ended || scheduler_.StateOf(id) != job_state::kCompleted) {
      continue;
    }
    job.ended = true;
    const auto took = static_cast<double>(now_ - job.arrived);
    if (took <= job.objective) {
      figures_.batch += job.worth;
    } else if (took <= kWorthlessAfter * job.objective) {
      figures_.batch += kLateWorth * job.worth;
    }
  }
}

double sharing_world::WaitOf(bool is_large) const {
  std::vector<double> waits;
  for (const auto& [job, waited] : waits_) {
    if ((large_jobs_.count(job) != 0) == is_large) {
      waits.push_back(waited);
    }
  }
  std::sort(waits.begin(), waits.end());
  return waits.empty() ? 0 : waits[waits.size() * 9 / 10];
}

sharing_figures sharing_world::Play() {
  if (policy_ == sharing_policy::kKnownFactors) {
    RevealFactors();
  }
  for (std::uint32_t i = 0; i < scenario_.service_jobs; ++i) {
    AddService(i);
  }
  const millis end = now_ + scenario_.length;
  millis next_job = now_ + 3'000;
  while (now_ < end) {
    now_ += kStep;
    if (now_ >= next_job) {
      AddBatchJob();
      const bool burst =
          now_ >= scenario_.burst_from && now_ < scenario_.burst_until;
      const double rate =
          scenario_.batch_jobs_a_second * (burst ? scenario_.burst : 1);
      next_job += static_cast<millis>(
          std::exponential_distribution<double>(rate / 1'000)(random_));
    }
    bool heard = false;
    for (fake_worker& worker : workers_) {
      Work(worker);
      FinishStops(worker);
      if (now_ >= worker.next_report) {
        Report(worker);
        heard = true;
      }
    }
    if (heard || now_ % 50 == 0) {
      scheduler_.Tick(now_, kWall + now_);
      while (const auto changes = scheduler_.TakeChanges(kWall + now_)) {
        scheduler_.Committed(changes->number);
      }
      NoteEndedJobs();
    }
    for (fake_worker& worker : workers_) {
      TakeOrders(worker);
    }
  }
  // Jobs whose time is not over when the world ends are not owed.
  double owed = 0;
  for (const auto& [id, job] : batch_jobs_) {
    const bool over = static_cast<double>(end - job.arrived) >= job.objective;
    owed += job.ended || over ? job.worth : 0;
  }
  figures_.batch /= std::max(owed, 1e-9);
  figures_.large_wait = WaitOf(true);
  figures_.small_wait = WaitOf(false);
  figures_.over_seconds = over_ms_ / 1e3;
  figures_.services = 1 - kOverCounts * over_ms_ / std::max(service_ms_, 1.0);
  figures_.batch_cores = batch_core_ms_ / static_cast<double>(scenario_.length);
  return figures_;
}

}  // namespace chervilkeel::bench
