// Runs that fail by the fault of their step, and workers on which most fail.
#include <boost/test/unit_test.hpp>

#include "crash_fixture.h"

namespace chervilkeel {

namespace {

// Four executors, and services that fail soon after each start, on every worker
// or on some.
struct failures_fixture : crash_fixture {
  std::set<std::string> faulty_jobs;
  std::set<std::string> faulty_workers;
  std::set<std::string> ends_as_done;  // Jobs.
  millis failure_delay = 200;

  failures_fixture() {
    service_startup = 300;
    find_own_end = [this](const std::string& worker,
                          const task_name& task) -> std::optional<own_end> {
      if (faulty_jobs.count(task.job) != 0 ||
          faulty_workers.count(worker) != 0) {
        return own_end{failure_delay, run_end::kFailed};
      }
      if (ends_as_done.count(task.job) != 0) {
        return own_end{failure_delay, run_end::kDone};
      }
      return std::nullopt;
    };
    AddExecutors("abcd");
  }

  static job_record MakeService(const std::string& id, std::uint32_t tasks) {
    job_record record = MakeJob(id, tasks);
    record.queue.name = "previews";
    record.spec.steps[0].size = {300, 100, 0};
    record.spec.steps[0].service = true;
    return record;
  }

  int StartsOf(const std::string& id) const {
    int sum = 0;
    for (const auto& [task, count] : starts) {
      sum += task.job == id ? count : 0;
    }
    return sum;
  }

  // Submits services that fail on all workers, and lets them do so.
  void FailServices(const std::set<std::string>& ids) {
    faulty_jobs = ids;
    for (const std::string& id : ids) {
      Submit(MakeService(id, 12));
    }
    PassFleetTime(6'000);
  }

  // Submits a job, which has to be done within that time.
  void ExpectJobCompletes(millis time) {
    Submit(MakeJob("first", 8));
    PassFleetTime(time);
    BOOST_TEST((scheduler.StateOf("first") == job_state::kCompleted));
  }

  std::size_t SuspectWorkers() const {
    return static_cast<std::size_t>(std::count_if(
        scheduler.Workers().begin(), scheduler.Workers().end(),
        [](const auto& entry) { return entry.second.health.IsSuspect(); }));
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(failing_runs, failures_fixture)

// Guards against LOST of review/3: a service that fails after each start made
// all workers suspect and took every probe.
BOOST_AUTO_TEST_CASE(jobs_start_beside_a_service_that_fails_on_all_workers) {
  Submit(MakeJob("before", 8));
  PassFleetTime(2'000);
  faulty_jobs = {"bad"};
  Submit(MakeService("bad", 12));
  PassFleetTime(4'000);
  BOOST_TEST(SuspectWorkers() == 0);
  Submit(MakeJob("first", 8));
  Submit(MakeJob("second", 8));
  PassFleetTime(3'000);
  BOOST_TEST((scheduler.StateOf("first") == job_state::kCompleted));
  BOOST_TEST((scheduler.StateOf("second") == job_state::kCompleted));
}

// Guards against the same where nothing has succeeded before.
BOOST_AUTO_TEST_CASE(first_job_starts_beside_a_service_that_fails) {
  FailServices({"bad"});
  ExpectJobCompletes(3'000);
}

// Guards against the same with two services at fault.
BOOST_AUTO_TEST_CASE(jobs_start_beside_two_services_that_fail) {
  FailServices({"bad", "worse"});
  ExpectJobCompletes(3'000);
}

// Guards against the same where the runs are at work before they fail.
BOOST_AUTO_TEST_CASE(jobs_start_beside_a_service_that_fails_after_its_startup) {
  failure_delay = 1'500;
  FailServices({"bad"});
  PassFleetTime(6'000);
  ExpectJobCompletes(3'000);
}

// Guards against the same under a new owner, which knows no failures.
BOOST_AUTO_TEST_CASE(jobs_start_beside_a_failing_service_after_a_takeover) {
  FailServices({"bad"});
  TakeOver();
  PassFleetTime(3'000);
  ExpectJobCompletes(3'000);
}

// Guards against a judgement by the last few failures only: those of a large
// step come within milliseconds.
BOOST_AUTO_TEST_CASE(large_service_that_fails_leaves_no_worker_suspect) {
  faulty_jobs = {"bad"};
  job_record record = MakeService("bad", 1'000);
  record.spec.steps[0].size = {4, 4, 0};
  Submit(record);
  PassFleetTime(4'000);
  BOOST_TEST(StartsOf("bad") >= 1'000);
  BOOST_TEST(SuspectWorkers() == 0);
}

// Guards against a probe that goes to the failing service each time, on a
// service with one worker.
BOOST_AUTO_TEST_CASE(probe_of_the_only_worker_goes_to_another_step) {
  for (const char* agent : {"b", "c", "d"}) {
    executors.erase(agent);
  }
  PassFleetTime(6'000);
  faulty_jobs = {"bad"};
  Submit(MakeService("bad", 12));
  PassFleetTime(4'000);
  Submit(MakeJob("first", 4));
  PassFleetTime(6'000);
  BOOST_TEST(StartsOf("first") > 0);
}

// Guards against starts without a pause, once failures keep no worker away.
BOOST_AUTO_TEST_CASE(
    service_that_fails_early_is_restarted_at_longer_intervals) {
  Submit(MakeJob("before", 8));
  PassFleetTime(2'000);
  faulty_jobs = {"bad"};
  Submit(MakeService("bad", 1));
  PassFleetTime(5'000);
  const int starts_before = StartsOf("bad");
  BOOST_TEST(starts_before >= 4);
  PassFleetTime(20'000);
  const int starts_since = StartsOf("bad") - starts_before;
  BOOST_TEST(starts_since >= 6);
  BOOST_TEST(starts_since <= 10);
}

// Guards against delays for a service that fails only now and then.
BOOST_AUTO_TEST_CASE(service_that_has_settled_is_restarted_at_once) {
  faulty_jobs = {"bad"};
  failure_delay = 6'000;
  Submit(MakeService("bad", 1));
  PassFleetTime(32'000);
  BOOST_TEST(StartsOf("bad") >= 5);
}

// Guards against workers that fail every run and are not found any more.
BOOST_AUTO_TEST_CASE(worker_that_fails_the_runs_of_all_steps_is_suspect) {
  faulty_workers = {"b"};
  for (int i = 0; i < 4; ++i) {
    Submit(MakeJob("job-" + std::to_string(i), 8));
    PassFleetTime(500);
  }
  BOOST_TEST(scheduler.Workers().at("b").health.IsSuspect());
  BOOST_TEST(SuspectWorkers() == 1);
}

// Guards against the same where so many workers fail that each step fails on
// three of them.
BOOST_AUTO_TEST_CASE(three_workers_that_fail_all_runs_are_suspect) {
  AddExecutors("efghijk");
  faulty_workers = {"b", "c", "d"};
  for (int i = 0; i < 6; ++i) {
    Submit(MakeJob("job-" + std::to_string(i), 30));
    PassFleetTime(800);
  }
  for (const std::string& agent : faulty_workers) {
    BOOST_TEST(scheduler.Workers().at(agent).health.IsSuspect());
  }
  BOOST_TEST(SuspectWorkers() == 3);
}

// Guards against LOST of review/5: a service whose tasks end as done was not
// started again, and its job was shown as completed.
BOOST_AUTO_TEST_CASE(service_whose_tasks_end_as_done_is_restarted) {
  ends_as_done = {"service"};
  failure_delay = 4'000;
  Submit(MakeService("service", 3));
  PassFleetTime(4'500);
  ends_as_done.clear();
  PassFleetTime(6'000);
  BOOST_TEST(StartsOf("service") == 6);
  BOOST_TEST((scheduler.StateOf("service") == job_state::kRunning));
}

// Guards against a new owner that takes the ended tasks for done.
BOOST_AUTO_TEST_CASE(service_whose_tasks_end_as_done_runs_after_a_takeover) {
  ends_as_done = {"service"};
  failure_delay = 4'000;
  Submit(MakeService("service", 3));
  PassFleetTime(4'050);
  ends_as_done.clear();
  TakeOver();
  PassFleetTime(6'000);
  BOOST_TEST((scheduler.StateOf("service") == job_state::kRunning));
  std::size_t runs = 0;
  for (const auto& [name, executor] : executors) {
    runs += executor.runs.size();
  }
  BOOST_TEST(runs == 3);
}

// Guards against a former release that has stored the tasks as done.
BOOST_AUTO_TEST_CASE(service_task_that_is_stored_as_done_is_started) {
  records["service"] = MakeService("service", 2);
  job_progress& saved = progress["service"];
  saved.id = "service";
  saved.state = job_state::kRunning;
  saved.steps.push_back({});
  saved.steps[0].done = "10";
  TakeOver();
  PassFleetTime(3'000);
  BOOST_TEST(StartsOf("service") == 2);
}

// Guards against a second run of a service whose step allows copies of tasks
// that are late: it is never late.
BOOST_AUTO_TEST_CASE(service_that_allows_speculative_copies_has_one_run) {
  job_record record = MakeService("service", 1);
  record.spec.steps[0].speculative = true;
  Submit(record);
  PassFleetTime(6'000);
  BOOST_TEST(StartsOf("service") == 1);
}

// Guards against services that end as done at once and are restarted without a
// pause.
BOOST_AUTO_TEST_CASE(service_that_ends_early_is_restarted_at_longer_intervals) {
  ends_as_done = {"service"};
  Submit(MakeService("service", 1));
  PassFleetTime(5'000);
  const int starts_before = StartsOf("service");
  PassFleetTime(20'000);
  BOOST_TEST(StartsOf("service") - starts_before <= 10);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
