// Workers that get few tasks since most runs fail there, and how they get more
// again.
#include <boost/test/unit_test.hpp>

#include "job_scheduler_fixture.h"

namespace chervilkeel {

namespace {

// A worker that refuses starts until it is suspect.
struct suspect_worker_fixture : scheduler_fixture {
  // The order that the worker gets as a probe.
  worker_order probe;

  void RefuseStartsUntilSuspect() {
    for (const worker_order& order : TakeOrders("a")) {
      ReportStart("a", order, start_outcome::kUnhealthy);
    }
    BOOST_REQUIRE(scheduler.Workers().at("a").health.IsSuspect());
    PassTime(1'200);
    const auto orders = TakeOrders("a");
    BOOST_REQUIRE_EQUAL(orders.size(), 1);
    probe = orders[0];
    ReportStart("a", probe, start_outcome::kStarted);
  }

  static job_record MakeSmallJob(const std::string& id, std::uint32_t tasks) {
    job_record record = MakeJob(id, tasks);
    record.spec.steps[0].size = {100, 100, 0};
    return record;
  }

  // Returns how many starts the worker is ordered after that list of its runs.
  std::size_t ListProbe(std::uint32_t percent) {
    worker_report report = MakeReport("a");
    report.has_runs = true;
    run_status status;
    status.task = probe.task;
    status.run = probe.run;
    status.percent = percent;
    report.runs.push_back(status);
    scheduler.OnReport(report, now);
    PassTime(200);
    return TakeOrders("a").size();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(suspect_worker, suspect_worker_fixture)

// Guards against jobs that wait beside sound workers: each worker that had
// refused a start got one task in 4 s until one of them was done.
BOOST_AUTO_TEST_CASE(gets_work_once_its_probe_makes_progress) {
  ReportIdleWorker("a");
  scheduler.AddJob(MakeJob("j", 4), now);
  Tick();
  RefuseStartsUntilSuspect();
  BOOST_TEST(ListProbe(0) == 0);
  BOOST_TEST(ListProbe(10) == 3);
}

// The probe may be a service, which is never done.
BOOST_AUTO_TEST_CASE(gets_work_once_a_service_is_at_work) {
  ReportIdleWorker("a");
  job_record record = MakeJob("service", 1);
  record.spec.steps[0].service = true;
  scheduler.AddJob(record, now);
  Tick();
  RefuseStartsUntilSuspect();
  scheduler.AddJob(MakeJob("j", 3), now);
  BOOST_TEST(ListProbe(0) == 0);
  BOOST_TEST(ListProbe(100) == 3);
}

// Work that began before says nothing of the starts that were refused since.
BOOST_AUTO_TEST_CASE(gets_no_work_for_the_progress_of_earlier_runs) {
  ReportIdleWorker("a");
  scheduler.AddJob(MakeJob("early", 1), now);
  Tick();
  probe = TakeOrders("a").at(0);
  ReportStart("a", probe, start_outcome::kStarted);
  scheduler.AddJob(MakeJob("j", 3), now);
  PassTime(100);
  for (const worker_order& order : TakeOrders("a")) {
    ReportStart("a", order, start_outcome::kUnhealthy);
  }
  BOOST_REQUIRE(scheduler.Workers().at("a").health.IsSuspect());
  BOOST_TEST(ListProbe(50) == 0);
}

// A task that fails does so after some progress.
BOOST_AUTO_TEST_CASE(gets_no_work_for_progress_if_its_runs_fail) {
  ReportIdleWorker("a");
  scheduler.AddJob(MakeSmallJob("bad", 3), now);
  Tick();
  for (const worker_order& order : TakeOrders("a")) {
    ReportEnd("a", order, run_end::kFailed);
  }
  BOOST_REQUIRE(scheduler.Workers().at("a").health.IsSuspect());
  TakeOrders("a");
  scheduler.CancelJob("bad");
  scheduler.AddJob(MakeSmallJob("next", 2), now);
  PassTime(1'200);
  const auto orders = TakeOrders("a");
  probe = orders.back();
  BOOST_REQUIRE_EQUAL(probe.task.job, "next");
  ReportStart("a", probe, start_outcome::kStarted);
  BOOST_TEST(ListProbe(50) == 0);
  BOOST_TEST(scheduler.Workers().at("a").health.IsSuspect());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
