// What one decision of the kernel costs, at several sizes of a cell.
//
//   decision_costs [--decisions N] [Google Benchmark's arguments]
//
// With a fixed number of decisions, two runs under callgrind differ by just
// the instructions of the additional decisions (see bench/costs/check).
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "chervilkeel/agent_core.h"
#include "chervilkeel/job_scheduler.h"
#include "chervilkeel/placement.h"
#include "chervilkeel/upstream_table.h"

namespace chervilkeel::bench {

namespace {

constexpr std::size_t kTasksOnAWorker = 8;
constexpr std::int64_t kSmallCell = 11;  // Of a house today.
constexpr std::int64_t kLargeCell = 45;  // Of 2,600 workers in 58 cells.
constexpr std::int64_t kFewSteps = 50;   // That wait.
constexpr std::int64_t kManySteps = 200;
constexpr std::int64_t kFleet = 2'600;  // Upstreams that an entry knows.

void PlaceTask(benchmark::State& state) {
  const auto workers = static_cast<std::size_t>(state.range(0));
  std::vector<placement_candidate> candidates(workers);
  interference_model interference;
  for (std::size_t i = 0; i < workers; ++i) {
    candidates[i].agent = "agent-" + std::to_string(i);
    candidates[i].rack = "rack-" + std::to_string(i / 3);
    candidates[i].capacity = {64'000, 250'000, 0};
    candidates[i].free_capacity = {static_cast<std::int64_t>(8'000 + i), 60'000,
                                   0};
    candidates[i].effect_headroom = 0.2;
    for (std::size_t task = 0; task < kTasksOnAWorker; ++task) {
      candidates[i].AddTask("class-" + std::to_string(task % 3));
    }
  }
  for (int i = 0; i < 3; ++i) {
    interference.Learn("class-" + std::to_string(i), {"class-0", "class-1"},
                       1.2);
  }
  placement_request request;
  request.task_class = "class-1";
  request.need = {4'000, 8'000, 0};
  request.effect = 0.3;
  for (auto _ : state) {
    ++request.first_candidate;
    benchmark::DoNotOptimize(ChooseWorker(request, candidates, interference));
  }
}

void ChooseUpstream(benchmark::State& state) {
  upstream_options options;
  options.data_centre = "dc-0";
  upstream_table table(options, 1);
  wire::roster_reply roster;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    wire::roster_member* member = roster.add_members();
    member->set_agent("agent-" + std::to_string(i));
    member->set_address("127.0.0.1:1");
    member->set_data_centre("dc-" + std::to_string(i % 6));
    member->mutable_load()->set_slots(8);
    member->mutable_load()->set_busy_slots(static_cast<std::uint32_t>(i % 8));
  }
  table.ApplyRoster(roster, 1'000);
  const std::set<std::string> none;
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        table.Choose(request_class::kShort, 20, none, 1'000));
  }
}

// An agent with running tasks whose worker does as it is told.
void StepControl(benchmark::State& state) {
  decision_log log("bench", 100);
  agent_options options;
  options.name = "agent";
  options.capacity = {64'000, 250'000, 0};
  millis now = 1'000'000;
  agent_core agent(options, log, now - options.worker_lease);
  wire::owner_reply reply;
  reply.set_epoch(1);
  reply.set_sequence(1);
  reply.set_tenure_ms(1'000'000'000);
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    wire::assignment* start = reply.add_start();
    start->mutable_id()->set_job("job@1");
    start->mutable_id()->set_index(static_cast<std::uint32_t>(i));
    start->mutable_id()->set_attempt(1);
    start->mutable_need()->set_milli_processors(4'000);
    start->set_task_class("class-" + std::to_string(i % 3));
  }
  agent.OnReply(reply, now, now);
  std::vector<worker_task> tasks;
  for (const worker_action& action : agent.Tick(0, now)) {
    worker_task task;
    task.task = action.task;
    task.need = FromWire(action.assignment.need());
    tasks.push_back(task);
  }
  agent.OnWorkerTasks(tasks, now);
  service_time_sums sums;
  for (auto _ : state) {
    now += 200;
    sums.Add("preview", 20);
    agent.OnRequests(sums.Take(), 0.3, now);
    benchmark::DoNotOptimize(agent.Tick(4, now));
    agent.OnWorkerTasks(tasks, now);
  }
}

// A pass over waiting steps for which no worker has room. Every fourth task is
// large; the runs end while some of the workers are reserved.
void PlaceBacklog(benchmark::State& state, millis lookahead) {
  scheduler_options options;
  options.lookahead = lookahead;
  options.grant = 1'000'000'000;
  job_scheduler scheduler(options, 0);
  scheduling_config config;
  config.version = 1;
  config.queues["batch"].name = "batch";
  config.queues["batch"].service = "cutting";
  config.queues["batch"].stretch = 100;  // Nothing is reserved for late tasks.
  scheduler.SetConfig(config);
  millis now = 1'000;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    worker_report report;
    report.agent = "agent-" + std::to_string(i);
    report.worker.boot = {report.agent, 5};
    report.worker.service = "cutting";
    report.worker.capacity = {8'000, 64'000, 0};
    report.has_runs = true;
    scheduler.OnReport(report, now);
  }
  while (const auto changes = scheduler.TakeChanges(now)) {
    scheduler.Committed(changes->number);
  }
  const auto add = [&](std::int64_t number, std::int64_t milli) {
    job_record record;
    record.id = "job" + std::to_string(number);
    record.queue = config.queues["batch"];
    job_step step;
    step.tasks = 1;
    step.size = {milli, 100, 0};
    step.expected = 50'000;
    record.spec.steps.push_back(step);
    scheduler.AddJob(record, now);
  };
  const std::int64_t running = 8 * state.range(0);
  for (std::int64_t i = 0; i < running + state.range(1); ++i) {
    add(i, i >= running && i % 4 == 0 ? 4'000 : 1'000);
    if (i + 1 == running) {
      scheduler.Tick(now, now);
    }
  }
  for (auto _ : state) {
    now += 100;
    scheduler.Tick(now, now);
  }
}

void Register(std::int64_t decisions) {
  const auto add = [decisions](const char* name, auto function,
                               const std::vector<std::int64_t>& sizes) {
    auto* entry = benchmark::RegisterBenchmark(name, function);
    for (const std::int64_t size : sizes) {
      entry->Arg(size);
    }
    if (decisions > 0) {
      entry->Iterations(decisions);
    }
  };
  add("placement", PlaceTask, {kSmallCell, kLargeCell});
  add("upstream", ChooseUpstream, {kSmallCell, kFleet});
  for (const auto& [name, lookahead] :
       {std::pair("backlog", millis{0}), std::pair("lookahead", millis{300})}) {
    auto* entry = benchmark::RegisterBenchmark(name, PlaceBacklog, lookahead)
                      ->Args({kSmallCell, kFewSteps})
                      ->Args({kLargeCell, kFewSteps})
                      ->Args({kLargeCell, kManySteps});
    if (decisions > 0) {
      entry->Iterations(decisions);
    }
  }
  add("control", StepControl, {static_cast<std::int64_t>(kTasksOnAWorker)});
}

}  // namespace

}  // namespace chervilkeel::bench

int main(int argc, char** argv) {
  std::int64_t decisions = 0;
  if (argc > 2 && std::strcmp(argv[1], "--decisions") == 0) {
    decisions = std::strtoll(argv[2], nullptr, 10);
    argv[2] = argv[0];
    argv += 2;
    argc -= 2;
  }
  chervilkeel::bench::Register(decisions);
  benchmark::Initialize(&argc, argv);
  if (benchmark::ReportUnrecognizedArguments(argc, argv)) {
    return 2;
  }
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
