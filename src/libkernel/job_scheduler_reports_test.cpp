// What operators are told of stalled work.
#include <boost/test/unit_test.hpp>

#include "job_scheduler_fixture.h"

namespace chervilkeel {

BOOST_FIXTURE_TEST_SUITE(stalled_work, scheduler_fixture)

BOOST_AUTO_TEST_CASE(start_without_outcome_is_overdue) {
  ReportIdleWorker("a");
  scheduler.AddJob(MakeJob("j", 1), now);
  Tick();
  BOOST_TEST(scheduler.FindOverdueOrders(now).starts == 0);
  PassTime(2'500);
  const overdue_orders overdue = scheduler.FindOverdueOrders(now);
  BOOST_TEST(overdue.starts == 1);
  BOOST_TEST(overdue.stops == 0);
  BOOST_TEST(overdue.oldest.ToString() == "j.0.0.0");
  BOOST_TEST(overdue.worker == "a");
  BOOST_TEST(overdue.oldest_age >= 2'500);
}

BOOST_AUTO_TEST_CASE(stop_without_outcome_is_overdue) {
  ReportIdleWorker("a");
  scheduler.AddJob(MakeJob("j", 1), now);
  Tick();
  const worker_order start = TakeOrders("a").at(0);
  ReportStart("a", start, start_outcome::kStarted);
  scheduler.CancelJob("j");
  PassTime(2'500);
  BOOST_TEST(scheduler.FindOverdueOrders(now).starts == 0);
  BOOST_TEST(scheduler.FindOverdueOrders(now).stops == 1);
}

BOOST_AUTO_TEST_CASE(job_without_runs_names_what_keeps_each_worker_from_it) {
  ReportIdleWorker("a");
  worker_report draining = MakeReport("b");
  draining.has_runs = true;
  draining.worker.draining = true;
  scheduler.OnReport(draining, now);
  Commit();
  job_record record = MakeJob("large", 1);
  record.spec.steps[0].size = {5'000, 100, 0};
  scheduler.AddJob(record, now);
  Tick();
  BOOST_TEST(!scheduler.FindIdleJob(now).has_value());
  PassTime(2'500);
  const auto idle = scheduler.FindIdleJob(now);
  BOOST_REQUIRE(idle.has_value());
  BOOST_TEST(idle->task.ToString() == "large.0.0.0");
  BOOST_TEST(idle->waited >= 2'500);
  BOOST_TEST(!idle->is_suspect);
  BOOST_TEST(idle->startable_workers == 0);
  BOOST_TEST(idle->obstacles.at(start_obstacle::kCapacity) == 1);
  BOOST_TEST(idle->obstacles.at(start_obstacle::kDraining) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
