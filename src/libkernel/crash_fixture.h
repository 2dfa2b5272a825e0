// A simulated fleet whose executors crash, by themselves or under some tasks.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "job_scheduler_fixture.h"

namespace chervilkeel {

// An executor with its agent. It is down for a while after a crash.
struct simulated_executor {
  std::int64_t boot = 1;
  millis down_until = 0;
  std::map<std::pair<task_name, std::uint64_t>, millis>
      runs;  // To their start.
  std::uint64_t last_end = 0;
  std::vector<ended_run> ends;
  std::vector<crashed_executor> crashes;  // What its agent tells each owner.
  std::size_t told_crashes = 0;           // To the present owner.
};

// A fleet whose executors crash under some tasks, and a store that keeps what
// the scheduler commits.
struct crash_fixture : scheduler_fixture {
  std::map<std::string, simulated_executor> executors;
  std::map<std::string, job_record> records;
  std::map<std::string, job_progress> progress;
  std::set<std::string> members;
  // Time from a task's start to the crash that it causes; 0: it causes none.
  std::function<millis(const task_name&)> crash_delay =
      [](const task_name&) -> millis { return 0; };
  // How a run ends by itself, and how long after its start. Nothing: batch
  // tasks are done after kTaskTime, services and gangs do not end.
  struct own_end {
    millis delay = 0;
    run_end end = run_end::kDone;
  };
  std::function<std::optional<own_end>(const std::string& executor,
                                       const task_name&)>
      find_own_end =
          [](const std::string&, const task_name&) -> std::optional<own_end> {
    return std::nullopt;
  };
  // When services are listed as at work, after their start; 0: never.
  millis service_startup = 0;
  bool agents_remember = true;
  bool loses_orders = false;      // Between the agents and their executors.
  bool agents_tell_once = false;  // Otherwise with each report.
  millis down_time = 3'200;       // After a crash.
  std::map<task_name, int> starts;
  std::map<task_name, int> crashes;  // By their cause.
  std::vector<std::pair<millis, std::pair<std::string, task_name>>> due_crashes;

  void AddExecutors(const std::string& names) {
    for (const char name : names) {
      executors[std::string(1, name)];
    }
    PassFleetTime(200);
  }

  void Submit(job_record record) {
    record.epoch = options.epoch;
    records[record.id] = record;
    scheduler.AddJob(record, now);
  }

  void Store() {
    while (const auto changes = scheduler.TakeChanges(kWallMs + now)) {
      for (const job_progress& saved : changes->progress) {
        progress[saved.id] =
            DecodeJobProgress(EncodeJobProgress(saved)).value();
      }
      members = changes->members.value_or(members);
      scheduler.Committed(changes->number);
    }
  }

  void Crash(const std::string& name) {
    simulated_executor& executor = executors[name];
    crashed_executor crashed{{"executor-" + name, executor.boot}, {}};
    for (const auto& [run, started] : executor.runs) {
      crashed.runs.push_back(
          {run.first, run.second, now - started > kProvingTime});
    }
    if (agents_remember) {
      executor.crashes.push_back(crashed);
    }
    executor = {executor.boot + 1, now + down_time,      {}, 0, {},
                executor.crashes,  executor.told_crashes};
  }

  // Another scheduler takes over with what is stored.
  void TakeOver() {
    ++options.epoch;
    std::vector<job_record> all_records;
    for (const auto& [id, record] : records) {
      all_records.push_back(record);
    }
    std::vector<job_progress> all_progress;
    for (const auto& [id, saved] : progress) {
      all_progress.push_back(saved);
    }
    scheduler = job_scheduler(options, now);
    SetConfig();
    scheduler.Restore(all_records, all_progress, {}, members, now);
    acked.clear();
    for (auto& [name, executor] : executors) {
      executor.told_crashes = 0;
    }
  }

  bool IsService(const task_name& task) const {
    return records.at(task.job).spec.steps[task.step].service;
  }

  // Gangs do not end by themselves here.
  bool IsGang(const task_name& task) const {
    return records.at(task.job).spec.steps[task.step].gang;
  }

  // Ends the members of a gang that has lost one of them.
  void BreakGangs(const std::string& id) {
    for (auto& [name, executor] : executors) {
      for (auto run = executor.runs.begin(); run != executor.runs.end();) {
        if (run->first.first.job != id) {
          ++run;
          continue;
        }
        executor.ends.push_back({++executor.last_end, run->first.first,
                                 run->first.second, run_end::kBroken, ""});
        run = executor.runs.erase(run);
      }
    }
  }

  std::optional<own_end> EndOf(const std::string& name,
                               const task_name& task) const {
    const auto found = find_own_end(name, task);
    if (!found && !IsService(task) && !IsGang(task)) {
      return own_end{kTaskTime, run_end::kDone};
    }
    return found;
  }

  void Report(const std::string& name, simulated_executor& executor) {
    worker_report report = MakeReport(name);
    report.worker.boot.started_ms = executor.boot;
    report.has_runs = true;
    for (auto run = executor.runs.begin(); run != executor.runs.end();) {
      const task_name& task = run->first.first;
      const auto ending = EndOf(name, task);
      if (ending && run->second + ending->delay <= now) {
        executor.ends.push_back(
            {++executor.last_end, task, run->first.second, ending->end, ""});
        run = executor.runs.erase(run);
        continue;
      }
      run_status status;
      status.task = task;
      status.run = run->first.second;
      if (service_startup > 0 && IsService(task) &&
          run->second + service_startup <= now) {
        status.percent = 100;
      }
      report.runs.push_back(status);
      ++run;
    }
    report.ends = executor.ends;
    if (!agents_tell_once || executor.told_crashes < executor.crashes.size()) {
      report.crashes = executor.crashes;
      executor.told_crashes = executor.crashes.size();
    }
    scheduler.OnReport(report, now);
  }

  void CarryOut(const std::string& name, const worker_order& order) {
    simulated_executor& executor = executors[name];
    if (loses_orders || now < executor.down_until ||
        order.boot.started_ms != executor.boot) {
      return;
    }
    if (order.kind == order_kind::kStop &&
        executor.runs.erase({order.task, order.run}) != 0) {
      executor.ends.push_back(
          {++executor.last_end, order.task, order.run, run_end::kStopped, ""});
    }
    if (order.kind != order_kind::kStart) {
      return;
    }
    ++starts[order.task];
    executor.runs[{order.task, order.run}] = now;
    if (const millis delay = crash_delay(order.task); delay > 0) {
      due_crashes.push_back({now + delay, {name, order.task}});
    }
  }

  void CrashWhatIsDue() {
    for (const auto& [when, where] : std::exchange(due_crashes, {})) {
      const auto& [name, task] = where;
      const bool runs_there = std::any_of(
          executors[name].runs.begin(), executors[name].runs.end(),
          [&task = task](const auto& run) { return run.first.first == task; });
      if (when > now) {
        due_crashes.push_back({when, where});
      } else if (runs_there) {
        ++crashes[task];
        Crash(name);
      }
    }
  }

  void PassFleetTime(millis duration) {
    for (const millis until = now + duration; now < until;) {
      now += kStep;
      CrashWhatIsDue();
      for (auto& [name, executor] : executors) {
        if (now >= executor.down_until) {
          Report(name, executor);
        }
      }
      Tick();
      Store();
      Tick();
      for (auto& [name, executor] : executors) {
        for (const worker_order& order : TakeOrders(name)) {
          CarryOut(name, order);
        }
      }
    }
  }

  static constexpr millis kStep = 50;
  static constexpr millis kTaskTime = 800;
};

// Four executors with work, and one task of "bad" that crashes each executor
// that starts it.
struct deadly_task_fixture : crash_fixture {
  const task_name deadly{"bad", 0, 0, 1};

  deadly_task_fixture() {
    crash_delay = [this](const task_name& task) -> millis {
      return task == deadly ? kStep : 0;
    };
    AddExecutors("abcd");
    Submit(MakeJob("before", 6));
    Submit(MakeJob("bad", 3));
    Submit(MakeJob("after", 6));
  }
};

// Crashes the executor of a job that has one task.
struct single_job_fixture : crash_fixture {
  const scheduled_task& TaskOf(const std::string& id) const {
    return scheduler.Jobs().at(id).occurrences.at(0).steps[0].tasks[0];
  }

  // Crashes the executor that runs the job once its run has that age.
  void CrashExecutorOf(const std::string& id, millis age) {
    for (int i = 0; i < 400; ++i) {
      PassFleetTime(kStep);
      for (const auto& [name, executor] : std::map(executors)) {
        for (const auto& [run, started] : executor.runs) {
          if (run.first.job == id && now - started >= age) {
            Crash(name);
            return;
          }
        }
      }
    }
    BOOST_ERROR("the task does not run");
  }
};

// Jobs so small that a worker runs many of them.
struct one_big_worker_fixture : crash_fixture {
  static job_record SmallJob(const std::string& id) {
    job_record record = MakeJob(id, 1);
    record.spec.steps[0].size = {100, 10, 0};
    return record;
  }
};

}  // namespace chervilkeel
