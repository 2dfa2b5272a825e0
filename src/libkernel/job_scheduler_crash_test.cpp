// Executors that crash, and tasks that make them.
#include "job_scheduler_fixture.h"

#include <algorithm>
#include <functional>
#include <set>

#include <boost/test/unit_test.hpp>

namespace chervilkeel {

namespace {

// An executor with its agent. It is down for a while after a crash.
struct simulated_executor {
  std::int64_t boot = 1;
  millis down_until = 0;
  std::map<std::pair<task_name, std::uint64_t>, millis> runs;  // To their end.
  std::uint64_t last_end = 0;
  std::vector<ended_run> ends;
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
    executor = {executor.boot + 1, now + kDownTime, {}, 0, {}};
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
  }

  void Report(const std::string& name, simulated_executor& executor) {
    worker_report report = MakeReport(name);
    report.worker.boot.started_ms = executor.boot;
    report.has_runs = true;
    for (auto run = executor.runs.begin(); run != executor.runs.end();) {
      if (run->second <= now) {
        executor.ends.push_back({++executor.last_end, run->first.first,
                                 run->first.second, run_end::kDone, ""});
        run = executor.runs.erase(run);
        continue;
      }
      run_status status;
      status.task = run->first.first;
      status.run = run->first.second;
      report.runs.push_back(status);
      ++run;
    }
    report.ends = executor.ends;
    scheduler.OnReport(report, now);
  }

  void CarryOut(const std::string& name, const worker_order& order) {
    simulated_executor& executor = executors[name];
    if (now < executor.down_until || order.boot.started_ms != executor.boot) {
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
    executor.runs[{order.task, order.run}] = now + kTaskTime;
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
  static constexpr millis kDownTime = 3'200;
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

}  // namespace

// One task crashed executor after executor, as a crash was no attempt.
BOOST_FIXTURE_TEST_CASE(task_that_crashes_its_executors_is_given_up,
                        deadly_task_fixture) {
  PassFleetTime(40'000);
  BOOST_TEST(starts[deadly] == 2);
  BOOST_TEST(NameOf(*scheduler.StateOf("bad")) == "failed");
  BOOST_TEST(NameOf(*scheduler.StateOf("before")) == "completed");
  BOOST_TEST(NameOf(*scheduler.StateOf("after")) == "completed");
}

// The owner changes after each crash: what is known of the task has to last.
BOOST_FIXTURE_TEST_CASE(
    task_that_crashes_its_executors_is_given_up_by_changing_owners,
    deadly_task_fixture) {
  for (int i = 0; i < 12; ++i) {
    PassFleetTime(5'000);
    TakeOver();
  }
  PassFleetTime(5'000);
  BOOST_TEST(crashes[deadly] <= 3);
  BOOST_TEST(NameOf(*scheduler.StateOf("bad")) == "failed");
  BOOST_TEST(NameOf(*scheduler.StateOf("after")) == "completed");
}

}  // namespace chervilkeel
