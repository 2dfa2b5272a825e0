// Which workers get tasks while data centres are evacuated.
#include <boost/test/unit_test.hpp>

#include "job_scheduler_fixture.h"

namespace chervilkeel {

namespace {

constexpr std::uint32_t kTasks = 6;  // More than one worker takes.

struct evacuation_fixture : scheduler_fixture {
  std::shared_ptr<evacuation_state> evacuations =
      std::make_shared<evacuation_state>();

  evacuation_fixture() {
    options.evacuations = evacuations;
    scheduler = job_scheduler(options, 0);
    SetConfig();
    for (const char* agent : {"north-1", "south-1"}) {
      worker_report report = MakeReport(agent);
      report.worker.data_centre = std::string(agent).substr(0, 5);
      report.has_runs = true;
      scheduler.OnReport(report, now);
    }
    Commit();
  }

  std::size_t Starts(const std::string& agent) {
    return TakeOrders(agent).size();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(evacuated_data_centres, evacuation_fixture)

// Guards against starts in a data centre that is evacuated (EVAC).
BOOST_AUTO_TEST_CASE(evacuated_data_centre_gets_no_start_until_it_is_given_back) {
  evacuations->Update({10, {"north"}}, now);
  scheduler.AddJob(MakeJob("j", kTasks), now);
  PassTime(500);
  BOOST_TEST(Starts("north-1") == 0U);
  BOOST_TEST(Starts("south-1") == 4U);
  evacuations->Update({11, {}}, now);
  PassTime(500);
  BOOST_TEST(Starts("north-1") == 2U);
}

// Guards against a new owner that starts tasks in a data centre that was
// evacuated under the former one.
BOOST_AUTO_TEST_CASE(nothing_starts_before_the_evacuations_are_known) {
  scheduler.AddJob(MakeJob("j", kTasks), now);
  PassTime(500);
  BOOST_TEST(Starts("north-1") + Starts("south-1") == 0U);
  evacuations->Update({10, {}}, now);
  PassTime(500);
  BOOST_TEST(Starts("north-1") + Starts("south-1") == kTasks);
}

// Guards against work that is lost for an evacuation: what runs there ends
// there, and only what has to start again starts elsewhere.
BOOST_AUTO_TEST_CASE(run_in_an_evacuated_data_centre_goes_on) {
  evacuations->Update({10, {"south"}}, now);
  scheduler.AddJob(MakeJob("j", 1), now);
  Tick();
  const worker_order start = TakeOrders("north-1").at(0);
  ReportStart("north-1", start, start_outcome::kStarted);
  evacuations->Update({11, {"north"}}, now);
  PassTime(500);
  BOOST_TEST(TakeOrders("north-1").empty());
  ReportEnd("north-1", start, run_end::kFailed);
  PassTime(500);
  BOOST_TEST(Starts("north-1") == 0U);
  BOOST_TEST(Starts("south-1") == 1U);
}

BOOST_AUTO_TEST_CASE(idle_job_names_the_evacuation) {
  evacuations->Update({10, {"north", "south"}}, now);
  scheduler.AddJob(MakeJob("j", 1), now);
  PassTime(2'500);
  const auto idle = scheduler.FindIdleJob(now);
  BOOST_REQUIRE(idle.has_value());
  BOOST_TEST(idle->obstacles.at(start_obstacle::kEvacuated) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
