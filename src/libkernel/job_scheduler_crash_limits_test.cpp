// Crashes whose cause the scheduler does not find yet; see KNOWN-RED.txt.
#include "crash_fixture.h"

namespace chervilkeel {

// A task that takes longer than kProvingTime to crash its executor, on workers
// that are given new work all the time: each crash finds unproven runs.
BOOST_FIXTURE_TEST_CASE(
    task_that_crashes_executors_late_is_given_up_beside_new_work,
    crash_fixture) {
  const task_name late{"bad", 0, 0, 0};
  crash_delay = [late](const task_name& task) -> millis {
    return task == late ? 2 * kProvingTime + 100 : 0;
  };
  AddExecutors("abcd");
  Submit(MakeJob("bad", 1));
  int jobs = 0;
  for (int i = 0; i < 1'200; ++i) {
    for (int k = 0; k < 2; ++k) {
      job_record record = MakeJob("j" + std::to_string(jobs++), 1);
      record.spec.steps[0].size = {200, 100, 0};
      Submit(record);
    }
    PassFleetTime(50);
  }
  PassFleetTime(20'000);
  BOOST_TEST(crashes[late] <= 5);
  BOOST_TEST(NameOf(*scheduler.StateOf("bad")) == "failed");
  int failed = 0;
  for (int i = 0; i < jobs; ++i) {
    failed += *scheduler.StateOf("j" + std::to_string(i)) == job_state::kFailed;
  }
  BOOST_TEST(failed == 0);
}

// A service that takes longer than kProvingTime to crash its executors.
BOOST_FIXTURE_TEST_CASE(service_that_crashes_executors_late_is_given_up,
                        crash_fixture) {
  const task_name late{"service", 0, 0, 0};
  crash_delay = [late](const task_name& task) -> millis {
    return task == late ? 10 * kProvingTime : 0;
  };
  AddExecutors("abcd");
  job_record record = MakeJob("service", 1);
  record.spec.steps[0].service = true;
  Submit(record);
  PassFleetTime(60'000);
  BOOST_TEST(starts[late] <= 5);
  BOOST_TEST(NameOf(*scheduler.StateOf("service")) == "failed");
}

// Machines go down with the agents and are back after the doubts have ended.
BOOST_FIXTURE_TEST_CASE(
    task_that_takes_whole_machines_down_for_long_is_given_up,
    deadly_task_fixture) {
  agents_remember = false;
  down_time = 20'000;
  PassFleetTime(200'000);
  BOOST_TEST(starts[deadly] <= 5);
  BOOST_TEST(NameOf(*scheduler.StateOf("bad")) == "failed");
}

// The same, and the machines are back soon.
BOOST_FIXTURE_TEST_CASE(
    task_that_takes_whole_machines_down_with_the_owner_is_given_up,
    deadly_task_fixture) {
  agents_remember = false;
  for (int i = 0; i < 30; ++i) {
    PassFleetTime(1'000);
    TakeOver();
  }
  PassFleetTime(40'000);
  BOOST_TEST(starts[deadly] <= 5);
  BOOST_TEST(NameOf(*scheduler.StateOf("bad")) == "failed");
}

// All machines lose power, and once more while the first tasks are back.
BOOST_FIXTURE_TEST_CASE(two_power_losses_fail_no_job, crash_fixture) {
  agents_tell_once = true;
  for (int gap = 200; gap < 1'400; gap += 100) {
    for (auto& [name, executor] : executors) {
      executor.crashes.clear();  // Too long ago to be told.
      executor.told_crashes = 0;
    }
    AddExecutors("abcdef");
    for (int i = 0; i < 24; ++i) {
      Submit(MakeJob("g" + std::to_string(gap) + "-" + std::to_string(i), 1));
    }
    PassFleetTime(100);
    for (const char name : std::string("abcdef")) {
      Crash(std::string(1, name));
    }
    PassFleetTime(down_time + gap);
    for (const char name : std::string("abcdef")) {
      Crash(std::string(1, name));
    }
    PassFleetTime(40'000);
    int failed = 0;
    for (int i = 0; i < 24; ++i) {
      failed +=
          scheduler.StateOf("g" + std::to_string(gap) + "-" + std::to_string(i))
              .value() == job_state::kFailed;
    }
    BOOST_TEST_MESSAGE("gap " << gap << ": " << failed << " of 24 failed");
    BOOST_TEST(failed == 0, "gap " << gap << ": " << failed << " of 24 failed");
  }
}

}  // namespace chervilkeel
