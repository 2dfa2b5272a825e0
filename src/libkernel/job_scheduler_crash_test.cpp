// Executors that crash, and tasks that make them.
#include "crash_fixture.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

namespace chervilkeel {

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
  int blamed = 0;
  scheduler.on_event = [&](const scheduler_event& event) {
    blamed += std::string(event.event) == "crash_blamed" ? 1 : 0;
  };
  Submit(MakeJob("j", 1));
  job_record service = MakeJob("service", 1);
  service.spec.steps[0].service = true;
  Submit(service);
  PassFleetTime(100);
  for (auto& [name, executor] : executors) {
    executor.down_until = now + 8'000;
  }
  PassFleetTime(30'000);
  BOOST_TEST(NameOf(*scheduler.StateOf("j")) == "completed");
  BOOST_TEST(progress["j"].steps.empty());
  BOOST_TEST(blamed == 0);
  const auto& tasks =
      scheduler.Jobs().at("service").occurrences.at(0).steps[0].tasks;
  BOOST_REQUIRE(tasks.Tracked().size() == 1U);
  BOOST_TEST(tasks[0].crashed_runs.empty());
  BOOST_TEST(!tasks[0].is_suspect);
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
  report.call.incarnation = 1;
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
  report.call.incarnation = 2;
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

// An agent tells the last crashes of its executor again with each new one. A
// crash for which the task has been cleared counted once more.
BOOST_FIXTURE_TEST_CASE(crash_that_is_told_again_after_clearing_is_not_counted,
                        single_job_fixture) {
  agents_tell_once = true;
  AddExecutors("a");
  job_record record = MakeJob("service", 1);
  record.spec.steps[0].service = true;
  Submit(record);
  CrashExecutorOf("service", kStep);
  CrashExecutorOf("service", 4 * kProvingTime);
  BOOST_TEST(!TaskOf("service").is_suspect);
  CrashExecutorOf("service", kStep);
  PassFleetTime(10'000);
  BOOST_TEST(NameOf(*scheduler.StateOf("service")) == "running");
}

// A new owner is told of all recent crashes, also of those for which the former
// one has cleared the task: it works for seconds, and is given up.
BOOST_FIXTURE_TEST_CASE(
    task_that_works_is_not_given_up_for_old_crashes_by_a_new_owner,
    single_job_fixture) {
  agents_tell_once = true;
  AddExecutors("abc");
  job_record record = MakeJob("service", 1);
  record.spec.steps[0].service = true;
  Submit(record);
  CrashExecutorOf("service", kStep);
  CrashExecutorOf("service", 4 * kProvingTime);
  CrashExecutorOf("service", kStep);
  PassFleetTime(10'000);
  BOOST_TEST(!TaskOf("service").is_suspect);
  BOOST_TEST(NameOf(*scheduler.StateOf("service")) == "running");
  TakeOver();
  PassFleetTime(10'000);
  BOOST_TEST(NameOf(*scheduler.StateOf("service")) == "running");
}

// All machines lose power right after a burst of starts.
BOOST_FIXTURE_TEST_CASE(all_tasks_start_soon_after_a_power_loss,
                        one_big_worker_fixture) {
  AddExecutors("abcdef");
  for (int i = 0; i < 120; ++i) {
    Submit(SmallJob("j" + std::to_string(i)));
  }
  PassFleetTime(100);
  for (const char name : std::string("abcdef")) {
    Crash(std::string(1, name));
  }
  PassFleetTime(down_time);
  const millis back = now;
  millis last = 0;
  for (int i = 0; i < 1'200; ++i) {
    PassFleetTime(kStep);
    for (const auto& [name, executor] : executors) {
      for (const auto& [run, started] : executor.runs) {
        last = std::max(last, started);
      }
    }
  }
  BOOST_TEST_MESSAGE("last start " << last - back << " ms after the return");
  BOOST_TEST(last - back <= 7'000);
}

BOOST_FIXTURE_TEST_CASE(tasks_of_one_worker_start_soon_after_its_crash,
                        one_big_worker_fixture) {
  AddExecutors("a");
  for (int i = 0; i < 24; ++i) {
    Submit(SmallJob("j" + std::to_string(i)));
  }
  PassFleetTime(100);
  Crash("a");
  const millis back = executors["a"].down_until;
  PassFleetTime(down_time);
  Submit(SmallJob("later"));
  millis last = 0;
  millis later = 0;
  for (int i = 0; i < 800; ++i) {
    PassFleetTime(kStep);
    for (const auto& [run, started] : executors["a"].runs) {
      if (run.first.job == "later") {
        later = started;
      }
      last = std::max(last, started);
    }
  }
  BOOST_TEST_MESSAGE("last start " << last - back << " ms, of the new job "
                                   << later - back << " ms after the return");
  BOOST_TEST(last - back <= 3'000);
  BOOST_TEST(later - back <= 3'000);
}

// The next owner knows of a crash that no agent remembers.
BOOST_FIXTURE_TEST_CASE(crash_is_stored_for_the_next_owner,
                        deadly_task_fixture) {
  agents_remember = false;
  const auto is_counted = [this] {
    return !scheduler.Jobs()
                .at("bad")
                .occurrences.at(0)
                .steps[0]
                .tasks[1]
                .crashed_runs.empty();
  };
  for (int i = 0; i < 400 && !is_counted(); ++i) {
    PassFleetTime(kStep);
  }
  BOOST_REQUIRE(is_counted());
  TakeOver();
  BOOST_TEST(is_counted());
  PassFleetTime(40'000);
  BOOST_TEST(starts[deadly] == 2);
  BOOST_TEST(NameOf(*scheduler.StateOf("bad")) == "failed");
}

// While a trial runs, its worker gets no other start.
BOOST_FIXTURE_TEST_CASE(worker_of_a_trial_gets_no_other_start,
                        single_job_fixture) {
  AddExecutors("abc");
  Submit(MakeJob("bad", 1));
  CrashExecutorOf("bad", kStep);
  bool was_tried = false;
  int jobs = 0;
  for (int i = 0; i < 200; ++i) {
    Submit(MakeJob("j" + std::to_string(jobs++), 1));
    PassFleetTime(kStep);
    for (const auto& [name, executor] : executors) {
      const auto trial = std::find_if(
          executor.runs.begin(), executor.runs.end(),
          [](const auto& run) { return run.first.first.job == "bad"; });
      if (trial == executor.runs.end()) {
        continue;
      }
      was_tried = true;
      for (const auto& [run, started] : executor.runs) {
        BOOST_TEST((run.first.job == "bad" ||
                    started + kProvingTime <= trial->second ||
                    started >= trial->second + kProvingTime),
                   run.first.ToString() << " started beside the trial");
      }
    }
  }
  BOOST_TEST(was_tried);
}

// A member of a gang crashes its executors; members share workers.
BOOST_FIXTURE_TEST_CASE(gang_that_crashes_its_executors_is_given_up,
                        deadly_task_fixture) {
  for (const bool changes_owner : {false, true}) {
    const std::string id = changes_owner ? "gang1" : "gang0";
    const task_name member{id, 0, 0, 2};
    crash_delay = [member](const task_name& task) -> millis {
      return task == member ? kStep : 0;
    };
    job_record record = MakeJob(id, 8);
    record.spec.steps[0].gang = true;
    Submit(record);
    for (int i = 0; i < 20; ++i) {
      Submit(MakeJob(id + "j" + std::to_string(i), 2));
      for (const millis until = now + 2'000; now < until;) {
        const int before = crashes[member];
        PassFleetTime(kStep);
        if (crashes[member] > before) {
          BreakGangs(id);
        }
      }
      if (changes_owner && i % 2 == 0) {
        TakeOver();
      }
    }
    PassFleetTime(20'000);
    BOOST_TEST(starts[member] <= 5);
    BOOST_TEST(NameOf(*scheduler.StateOf(id)) == "failed");
    int failed = 0;
    for (int i = 0; i < 20; ++i) {
      failed += *scheduler.StateOf(id + "j" + std::to_string(i)) ==
                job_state::kFailed;
    }
    BOOST_TEST(failed == 0);
  }
}

// A worker with the only fitting label.
BOOST_FIXTURE_TEST_CASE(
    task_that_crashes_the_only_worker_is_given_up_by_changing_owners,
    crash_fixture) {
  crash_delay = [](const task_name& task) -> millis {
    return task.job == "bad" && task.index % 2 == 0 ? kStep : 0;
  };
  AddExecutors("a");
  Submit(MakeJob("bad", 4));
  Submit(MakeJob("good", 4));
  for (int i = 0; i < 40; ++i) {
    PassFleetTime(1'700);
    TakeOver();
  }
  PassFleetTime(20'000);
  for (const std::uint32_t index : {0U, 2U}) {
    BOOST_TEST(starts[(task_name{"bad", 0, 0, index})] <= 5);
  }
  BOOST_TEST(NameOf(*scheduler.StateOf("bad")) == "failed");
  BOOST_TEST(NameOf(*scheduler.StateOf("good")) == "completed");
}

// An agent names tasks that do not exist.
BOOST_FIXTURE_TEST_CASE(crash_report_of_unknown_tasks_is_harmless,
                        scheduler_fixture) {
  ReportIdleWorker("a");
  scheduler.AddJob(MakeJob("j", 1), now);
  worker_report report = MakeReport("a");
  crashed_executor crashed{{"executor-a", 4}, {}};
  for (std::uint32_t i = 0; i < 200'000; ++i) {
    crashed.runs.push_back({{"none", i, i, i}, i, i % 2 == 0});
    crashed.runs.push_back({{"j", i, 0, 0}, i + 1'000'000, false});
    crashed.runs.push_back({{"j", 0, i + 1, 0}, i, true});
    crashed.runs.push_back({{"j", 0, 0, i + 1}, i, false});
  }
  report.crashes.push_back(crashed);
  scheduler.OnReport(report, now);
  Tick();
  BOOST_TEST(NameOf(*scheduler.StateOf("j")) != "failed");
}

// A former owner died between two transactions of one commit: what it had found
// of a crash is stored for one job only.
BOOST_FIXTURE_TEST_CASE(crash_that_was_stored_in_part_is_counted_for_the_rest,
                        scheduler_fixture) {
  options.epoch = 2;
  scheduler = job_scheduler(options, now);
  SetConfig();
  job_progress progress;
  progress.id = "first";
  progress.state = job_state::kRunning;
  step_progress step;
  step.done = "0";
  step.crashed_runs[0] = {1};
  progress.steps.push_back(step);
  scheduler.Restore({MakeJob("first", 1), MakeJob("second", 1)}, {progress}, {},
                    {"a"}, now);
  worker_report report = MakeReport("a");
  report.has_runs = true;
  report.crashes = {
      {{"executor-a", 4},
       {{{"first", 0, 0, 0}, 1, false}, {{"second", 0, 0, 0}, 1, false}}}};
  scheduler.OnReport(report, now);
  BOOST_TEST(scheduler.Jobs()
                 .at("second")
                 .occurrences.at(0)
                 .steps[0]
                 .tasks[0]
                 .is_suspect);
}

}  // namespace chervilkeel
