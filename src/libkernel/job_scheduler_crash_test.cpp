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
  std::map<std::pair<task_name, std::uint64_t>, millis>
      runs;  // To their start.
  std::uint64_t last_end = 0;
  std::vector<ended_run> ends;
  std::vector<crashed_executor> crashes;  // What its agent tells each owner.
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
  bool agents_remember = true;
  bool loses_orders = false;  // Between the agents and their executors.
  millis down_time = 3'200;   // After a crash.
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
    executor = {executor.boot + 1, now + down_time, {}, 0, {},
                executor.crashes};
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

  bool IsService(const task_name& task) const {
    return records.at(task.job).spec.steps[task.step].service;
  }

  void Report(const std::string& name, simulated_executor& executor) {
    worker_report report = MakeReport(name);
    report.worker.boot.started_ms = executor.boot;
    report.has_runs = true;
    for (auto run = executor.runs.begin(); run != executor.runs.end();) {
      if (!IsService(run->first.first) && run->second + kTaskTime <= now) {
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
    report.crashes = executor.crashes;
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

// The agents' processes were replaced, too: the owner goes by what it knows.
BOOST_FIXTURE_TEST_CASE(
    task_that_crashes_its_executors_is_given_up_without_the_agents_memory,
    deadly_task_fixture) {
  agents_remember = false;
  PassFleetTime(40'000);
  BOOST_TEST(starts[deadly] == 2);
  BOOST_TEST(NameOf(*scheduler.StateOf("bad")) == "failed");
  BOOST_TEST(NameOf(*scheduler.StateOf("after")) == "completed");
}

// Executors stay down for longer than their silence is waited for, so that the
// task starts again before the crash is known.
BOOST_FIXTURE_TEST_CASE(
    task_that_crashes_executors_for_long_is_given_up_after_few_starts,
    deadly_task_fixture) {
  down_time = 15'000;
  PassFleetTime(80'000);
  BOOST_TEST(starts[deadly] <= 3);
  BOOST_TEST(NameOf(*scheduler.StateOf("bad")) == "failed");
  BOOST_TEST(NameOf(*scheduler.StateOf("after")) == "completed");
}

// Two tasks at once blame each other's neighbours.
BOOST_FIXTURE_TEST_CASE(two_tasks_that_crash_executors_fail_no_other_job,
                        deadly_task_fixture) {
  const task_name other{"worse", 0, 0, 0};
  crash_delay = [this, other](const task_name& task) -> millis {
    return task == deadly || task == other ? kStep : 0;
  };
  Submit(MakeJob("worse", 2));
  PassFleetTime(60'000);
  BOOST_TEST(starts[deadly] <= 3);
  BOOST_TEST(starts[other] <= 3);
  BOOST_TEST(NameOf(*scheduler.StateOf("bad")) == "failed");
  BOOST_TEST(NameOf(*scheduler.StateOf("worse")) == "failed");
  BOOST_TEST(NameOf(*scheduler.StateOf("before")) == "completed");
  BOOST_TEST(NameOf(*scheduler.StateOf("after")) == "completed");
}

// A crash well after the start tells less, and is limited all the same.
BOOST_FIXTURE_TEST_CASE(task_that_crashes_executors_late_is_given_up,
                        deadly_task_fixture) {
  crash_delay = [this](const task_name& task) -> millis {
    return task == deadly ? kTaskTime - kStep : 0;
  };
  PassFleetTime(60'000);
  BOOST_TEST(starts[deadly] <= 5);
  BOOST_TEST(NameOf(*scheduler.StateOf("bad")) == "failed");
  BOOST_TEST(NameOf(*scheduler.StateOf("after")) == "completed");
}

// A service crashes its executors like any other task.
BOOST_FIXTURE_TEST_CASE(service_that_crashes_its_executors_is_given_up,
                        deadly_task_fixture) {
  const task_name service{"service", 0, 0, 0};
  crash_delay = [service](const task_name& task) -> millis {
    return task == service ? kStep : 0;
  };
  job_record record = MakeJob("service", 1);
  record.spec.steps[0].service = true;
  Submit(record);
  PassFleetTime(40'000);
  BOOST_TEST(starts[service] <= 3);
  BOOST_TEST(NameOf(*scheduler.StateOf("service")) == "failed");
  BOOST_TEST(NameOf(*scheduler.StateOf("bad")) == "completed");
}

// Work goes on beside the trials, and they find a worker although each worker
// is given new work all the time.
BOOST_FIXTURE_TEST_CASE(suspect_task_is_tried_while_all_workers_get_new_work,
                        crash_fixture) {
  crash_delay = [](const task_name& task) -> millis {
    return task.job == "bad" ? kStep : 0;
  };
  AddExecutors("abcd");
  Submit(MakeJob("bad", 1));
  int jobs = 0;
  for (int i = 0; i < 200; ++i) {
    Submit(MakeJob("j" + std::to_string(jobs++), 1));
    PassFleetTime(100);
  }
  BOOST_TEST(NameOf(*scheduler.StateOf("bad")) == "failed");
  PassFleetTime(5'000);
  for (int i = 0; i < jobs; ++i) {
    BOOST_TEST(NameOf(*scheduler.StateOf("j" + std::to_string(i))) ==
               "completed");
  }
}

// Executors that crash by themselves: no task is to blame.
BOOST_FIXTURE_TEST_CASE(crashes_that_no_task_causes_fail_no_job,
                        crash_fixture) {
  AddExecutors("abcd");
  job_record service = MakeJob("service", 2);
  service.spec.steps[0].service = true;
  Submit(service);
  int jobs = 0;
  for (int i = 0; i < 120; ++i) {
    Submit(MakeJob("j" + std::to_string(jobs++), 3));
    PassFleetTime(500);
    if (i % 10 == 9) {
      Crash(std::string(1, static_cast<char>('a' + i / 10 % 4)));
    }
  }
  PassFleetTime(20'000);
  BOOST_TEST(NameOf(*scheduler.StateOf("service")) == "running");
  for (int i = 0; i < jobs; ++i) {
    BOOST_TEST(NameOf(*scheduler.StateOf("j" + std::to_string(i))) ==
               "completed");
  }
}

// An executor crashes by itself right after the start of a task that has worked
// since it was last suspected.
BOOST_FIXTURE_TEST_CASE(task_that_has_worked_since_a_crash_is_not_given_up,
                        crash_fixture) {
  AddExecutors("abcd");
  Submit(MakeJob("j", 1));
  const auto crash_worker_of_job = [this](millis age) {
    for (int i = 0; i < 400; ++i) {
      PassFleetTime(kStep);
      for (const auto& [name, executor] : std::map(executors)) {
        if (!executor.runs.empty() &&
            now - executor.runs.begin()->second >= age) {
          Crash(name);
          return;
        }
      }
    }
    BOOST_ERROR("the task does not run");
  };
  const auto& task = [this]() -> const scheduled_task& {
    return scheduler.Jobs().at("j").occurrences.at(0).steps[0].tasks[0];
  };
  crash_worker_of_job(kStep);
  crash_worker_of_job(2 * kProvingTime);
  BOOST_TEST(!task().is_suspect);
  crash_worker_of_job(kStep);
  PassFleetTime(10'000);
  BOOST_TEST(NameOf(*scheduler.StateOf("j")) == "completed");
}

// One executor crashes again and again, whatever runs on it.
BOOST_FIXTURE_TEST_CASE(executor_that_crashes_under_every_task_fails_no_job,
                        crash_fixture) {
  AddExecutors("abcdef");
  int jobs = 0;
  for (int i = 0; i < 60; ++i) {
    Submit(MakeJob("j" + std::to_string(jobs++), 3));
    PassFleetTime(500);
    if (now >= executors["a"].down_until + 300) {
      Crash("a");
    }
  }
  PassFleetTime(20'000);
  for (int i = 0; i < jobs; ++i) {
    BOOST_TEST(NameOf(*scheduler.StateOf("j" + std::to_string(i))) ==
               "completed");
  }
}

// Silence is no crash: the same boot reports again.
BOOST_FIXTURE_TEST_CASE(task_on_a_worker_that_was_silent_is_not_blamed,
                        crash_fixture) {
  AddExecutors("ab");
  Submit(MakeJob("j", 1));
  PassFleetTime(100);
  for (auto& [name, executor] : executors) {
    executor.down_until = now + 8'000;
  }
  PassFleetTime(30'000);
  BOOST_TEST(NameOf(*scheduler.StateOf("j")) == "completed");
  BOOST_TEST(progress["j"].steps.empty());
  for (const auto& [id, job] : scheduler.Jobs()) {
    for (const auto& task : job.occurrences.at(0).steps[0].tasks) {
      BOOST_TEST(task.crashed_runs.empty());
      BOOST_TEST(!task.is_suspect);
    }
  }
}

// An executor that leaves as announced ends its runs, and that is no crash.
BOOST_FIXTURE_TEST_CASE(task_on_an_executor_that_left_is_not_blamed,
                        scheduler_fixture) {
  ReportIdleWorker("a");
  scheduler.AddJob(MakeJob("j", 1), now);
  Tick();
  BOOST_REQUIRE_EQUAL(TakeOrders("a").size(), 1);
  scheduler.OnExecutorLeft("a", MakeReport("a").worker.boot, now);
  worker_report report = MakeReport("a");
  report.worker.boot.started_ms = 6;
  report.has_runs = true;
  scheduler.OnReport(report, now);
  const scheduled_job& job = scheduler.Jobs().at("j");
  BOOST_TEST(job.occurrences.at(0).steps[0].tasks[0].crashed_runs.empty());
}

// A reservation for trials must not take the whole fleet.
BOOST_FIXTURE_TEST_CASE(one_suspect_task_reserves_one_worker, crash_fixture) {
  AddExecutors("abcdefghi");
  Submit(MakeJob("bad", 1));
  PassFleetTime(100);
  for (const auto& [name, executor] : std::map(executors)) {
    if (!executor.runs.empty()) {
      Crash(name);
    }
  }
  std::size_t most = 0;
  for (int i = 0; i < 160; ++i) {
    Submit(MakeJob("j" + std::to_string(i), 3));
    PassFleetTime(50);
    std::size_t reserved = 0;
    for (const auto& [agent, worker] : scheduler.Workers()) {
      reserved += now < worker.reserved_until ? 1 : 0;
    }
    most = std::max(most, reserved);
  }
  BOOST_TEST(most == 1);
  BOOST_TEST(NameOf(*scheduler.StateOf("bad")) == "completed");
}

// The agent was replaced with the order: nothing is heard of the trial again.
BOOST_FIXTURE_TEST_CASE(trial_without_an_outcome_does_not_keep_its_worker,
                        crash_fixture) {
  AddExecutors("a");
  Submit(MakeJob("bad", 1));
  PassFleetTime(100);
  Crash("a");
  loses_orders = true;
  PassFleetTime(5'000);
  loses_orders = false;
  Submit(MakeJob("other", 1));
  PassFleetTime(10'000);
  BOOST_TEST(NameOf(*scheduler.StateOf("other")) == "completed");
}

// An agent's process ended between taking an order and calling its executor:
// the task never ran.
BOOST_FIXTURE_TEST_CASE(start_that_was_lost_with_its_agent_is_ordered_again,
                        scheduler_fixture) {
  worker_report report = MakeReport("a");
  report.has_runs = true;
  report.incarnation = 1;
  scheduler.OnReport(report, now);
  Commit();
  scheduler.AddJob(MakeJob("j", 2), now);
  Tick();
  const auto orders = TakeOrders("a");
  BOOST_REQUIRE_EQUAL(orders.size(), 2);
  report.starts.push_back(
      {orders[0].task, orders[0].run, start_outcome::kStarted});
  scheduler.OnReport(report, now);
  BOOST_TEST(TakeOrders("a").empty());
  report.starts.clear();
  report.incarnation = 2;
  scheduler.OnReport(report, now);
  const auto repeated = TakeOrders("a");
  BOOST_REQUIRE_EQUAL(repeated.size(), 1);
  BOOST_CHECK(repeated[0].kind == order_kind::kStart);
  BOOST_TEST(repeated[0].task.ToString() == orders[1].task.ToString());
  BOOST_TEST(repeated[0].run == orders[1].run);
  scheduler.OnReport(report, now);
  BOOST_TEST(TakeOrders("a").empty());
}

// The capacity of a running executor may shrink: what it says last counts.
BOOST_FIXTURE_TEST_CASE(worker_whose_capacity_has_shrunk_gets_no_start_over_it,
                        scheduler_fixture) {
  ReportIdleWorker("a");
  scheduler.AddJob(MakeJob("first", 2), now);
  Tick();
  BOOST_REQUIRE_EQUAL(TakeOrders("a").size(), 2);
  worker_report shrunk = MakeReport("a");
  shrunk.worker.capacity = {1'000, 8'000, 0};
  scheduler.OnReport(shrunk, now);
  scheduler.AddJob(MakeJob("second", 4), now);
  Tick();
  BOOST_TEST(TakeOrders("a").empty());
  scheduler.OnReport(MakeReport("a"), now);
  PassTime(100);
  BOOST_TEST(TakeOrders("a").size() == 2);
}

}  // namespace chervilkeel
