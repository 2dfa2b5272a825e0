// Which jobs count as pending, and whether their state agrees: a job has begun
// with its first task, not with the order to start it. All cases guard against
// a count that leaves out jobs which still wait (MIXED).
#include <boost/test/unit_test.hpp>

#include "job_scheduler_fixture.h"

namespace chervilkeel {

namespace {

struct pending_fixture : scheduler_fixture {
  worker_order order;  // To start the only task of the job "j".

  pending_fixture() {
    ReportIdleWorker("a");
    scheduler.AddJob(MakeJob("j", 1), now);
    Tick();
    order = TakeOrders("a").at(0);
  }

  bool IsPending() const {
    const bool is_queued = scheduler.StateOf("j") == job_state::kQueued;
    BOOST_TEST(is_queued == (scheduler.PendingJobCount("paths") == 1));
    return is_queued;
  }

  void ReportOutcome(start_outcome outcome) {
    ReportStart("a", order, outcome);
  }

  // Reports a list of runs that holds the ordered one.
  void ReportListed() {
    worker_report report = MakeReport("a");
    report.has_runs = true;
    run_status status;
    status.task = order.task;
    status.run = order.run;
    report.runs.push_back(status);
    scheduler.OnReport(report, now);
    Tick();
  }

  // Goes on with a new scheduler and what the former one has stored.
  void Restore(const job_progress& progress) {
    scheduler = job_scheduler(options, now);
    SetConfig();
    scheduler.Restore({MakeJob("j", 1)}, {progress}, {}, {"a"}, now);
  }

  static job_progress MakeProgress() {
    job_progress progress;
    progress.id = "j";
    progress.state = job_state::kQueued;
    progress.steps.emplace_back();
    progress.steps[0].done = "0";
    return progress;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(pending_jobs, pending_fixture)

BOOST_AUTO_TEST_CASE(job_whose_start_is_ordered_is_pending) {
  BOOST_TEST(IsPending());
}

BOOST_AUTO_TEST_CASE(job_whose_start_is_refused_is_pending) {
  for (const start_outcome outcome :
       {start_outcome::kNoCapacity, start_outcome::kUnhealthy,
        start_outcome::kWithdrawn, start_outcome::kOutdated,
        start_outcome::kRefused}) {
    pending_fixture refused;
    refused.ReportOutcome(outcome);
    BOOST_TEST(refused.IsPending());
  }
}

BOOST_AUTO_TEST_CASE(job_whose_start_is_lost_with_its_executor_is_pending) {
  worker_report report = MakeReport("a");
  report.worker.boot.started_ms += 1'000;
  report.has_runs = true;
  scheduler.OnReport(report, now);
  Tick();
  BOOST_TEST(IsPending());
}

BOOST_AUTO_TEST_CASE(job_whose_start_is_lost_with_its_agent_is_pending) {
  PassTime(options.grant * 2);
  BOOST_TEST(!scheduler.Workers().at("a").runs_known);
  BOOST_TEST(IsPending());
}

BOOST_AUTO_TEST_CASE(job_whose_executor_has_left_is_pending) {
  scheduler.OnExecutorLeft("a", MakeReport("a").worker.boot, now);
  Tick();
  BOOST_TEST(IsPending());
}

BOOST_AUTO_TEST_CASE(job_is_not_pending_once_its_start_is_confirmed) {
  ReportOutcome(start_outcome::kStarted);
  BOOST_TEST(!IsPending());
}

BOOST_AUTO_TEST_CASE(job_is_not_pending_once_its_run_is_listed) {
  ReportListed();
  BOOST_TEST(!IsPending());
}

BOOST_AUTO_TEST_CASE(job_is_not_pending_once_its_run_has_failed) {
  ReportEnd("a", order, run_end::kFailed);
  BOOST_TEST(!IsPending());
}

BOOST_AUTO_TEST_CASE(job_that_has_begun_stays_so_when_its_executor_crashes) {
  ReportListed();
  worker_report report = MakeReport("a");
  report.worker.boot.started_ms += 1'000;
  report.has_runs = true;
  scheduler.OnReport(report, now);
  Tick();
  BOOST_TEST(!IsPending());
}

BOOST_AUTO_TEST_CASE(job_whose_run_is_adopted_is_not_pending) {
  Restore(MakeProgress());
  BOOST_TEST(IsPending());
  ReportListed();
  BOOST_TEST(!IsPending());
}

BOOST_AUTO_TEST_CASE(job_with_a_stored_failure_is_not_pending) {
  job_progress progress = MakeProgress();
  progress.steps[0].failed_runs[0] = {1};
  Restore(progress);
  BOOST_TEST(!IsPending());
}

// The run that was lost with a crash may have been ordered only.
BOOST_AUTO_TEST_CASE(job_that_is_only_suspected_of_a_crash_is_pending) {
  job_progress progress = MakeProgress();
  progress.steps[0].crashed_runs[0] = {1};
  Restore(progress);
  BOOST_TEST(IsPending());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
