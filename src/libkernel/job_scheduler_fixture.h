// What the tests of the job scheduler share.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "chervilkeel/job_scheduler.h"

namespace chervilkeel {

inline constexpr std::int64_t kWallMs = 1'700'000'000'000;

// A scheduler with simulated workers. The tests decide when a worker takes its
// orders and what it reports.
struct scheduler_fixture {
  scheduler_options options;
  job_scheduler scheduler{options, 0};
  millis now = 1'000;
  std::map<std::string, std::uint64_t> acked;
  std::map<std::string, std::uint64_t> ends;
  std::map<std::string, std::string> data_centres;  // By agent.

  scheduler_fixture() { SetConfig(); }

  void SetConfig() {
    scheduling_config config;
    config.version = 1;
    queue_policy queue;
    queue.name = "paths";
    queue.service = "cutting";
    queue.max_attempts = 3;
    config.queues["paths"] = queue;
    queue.name = "previews";
    queue.priority = 0;
    config.queues["previews"] = queue;
    scheduler.SetConfig(config);
  }

  static job_record MakeJob(const std::string& id, std::uint32_t tasks) {
    job_record record;
    record.id = id;
    record.queue.name = "paths";
    record.queue.service = "cutting";
    record.accepted_ms = kWallMs;
    job_step step;
    step.tasks = tasks;
    step.size = {1'000, 100, 0};
    step.expected = 1'000;
    record.spec.steps.push_back(step);
    return record;
  }

  worker_report MakeReport(const std::string& agent) const {
    worker_report report;
    report.agent = agent;
    report.worker.boot = {"executor-" + agent, 5};
    report.worker.service = "cutting";
    if (const auto found = data_centres.find(agent);
        found != data_centres.end()) {
      report.worker.data_centre = found->second;
    }
    report.worker.labels = {"a", "rack-1"};
    report.worker.capacity = {4'000, 8'000, 0};
    return report;
  }

  void Tick() { scheduler.Tick(now, kWallMs + now); }

  // Lets time pass with the ticks of a process that runs.
  void PassTime(millis duration) {
    for (const millis until = now + duration; now < until;) {
      now = std::min(now + 50, until);
      Tick();
    }
  }

  // Commits until no changes are left.
  void Commit() {
    while (const auto changes = scheduler.TakeChanges(kWallMs + now)) {
      scheduler.Committed(changes->number);
    }
  }

  // Reports a worker without runs, and stores the membership of its agent.
  void ReportIdleWorker(const std::string& agent) {
    worker_report report = MakeReport(agent);
    report.has_runs = true;
    scheduler.OnReport(report, now);
    Commit();
    Tick();
  }

  // Returns the orders that an agent has not acknowledged, and acknowledges
  // them.
  std::vector<worker_order> TakeOrders(const std::string& agent) {
    std::vector<worker_order> orders;
    for (const auto& [number, order] :
         scheduler.OrdersFor(agent, acked[agent])) {
      acked[agent] = number;
      orders.push_back(order);
    }
    return orders;
  }

  void ReportStart(const std::string& agent,
                   const worker_order& order,
                   start_outcome outcome) {
    worker_report report = MakeReport(agent);
    report.starts.push_back({order.task, order.run, outcome});
    scheduler.OnReport(report, now);
    Tick();
  }

  void ReportEnd(const std::string& agent,
                 const worker_order& order,
                 run_end end) {
    worker_report report = MakeReport(agent);
    report.ends.push_back({++ends[agent], order.task, order.run, end, ""});
    scheduler.OnReport(report, now);
    Tick();
  }
};

}  // namespace chervilkeel
