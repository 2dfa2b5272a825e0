// Which workers get tasks while data centres are evacuated.
#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "crash_fixture.h"

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
    data_centres = {{"north-1", "north"}, {"south-1", "south"}};
    for (const char* agent : {"north-1", "south-1"}) {
      worker_report report = MakeReport(agent);
      report.has_runs = true;
      scheduler.OnReport(report, now);
    }
    Commit();
  }

  std::size_t Starts(const std::string& agent) {
    return TakeOrders(agent).size();
  }
};

// Six executors in a data centre that is evacuated, and three elsewhere.
struct scarce_fixture : crash_fixture {
  std::shared_ptr<evacuation_state> evacuations =
      std::make_shared<evacuation_state>();

  scarce_fixture() {
    evacuations->Update({10, {"north"}}, now);
    options.evacuations = evacuations;
    scheduler = job_scheduler(options, 0);
    SetConfig();
    for (const char* agent : {"a", "b", "c", "d", "e", "f"}) {
      data_centres[agent] = "north";
    }
    AddExecutors("abcdefghi");
  }

  // Tells of two crashes under the jobs, so that each has to be tried alone.
  void MakeSuspect(const std::vector<std::string>& jobs) {
    for (const std::int64_t boot : {1, 2}) {
      worker_report report = MakeReport("gone");
      report.worker.service = "another";
      report.worker.boot.started_ms = 1'000;
      crashed_executor crashed{{"executor-gone", boot}, {}};
      for (const std::string& id : jobs) {
        crashed.runs.push_back(
            {{id, 0, 0, 0}, 500'000 + static_cast<std::uint64_t>(boot), false});
      }
      report.crashes.push_back(crashed);
      scheduler.OnReport(report, now);
    }
  }

  std::ptrdiff_t Trials() const {
    const auto& workers = scheduler.Workers();
    return std::count_if(workers.begin(), workers.end(), [](const auto& entry) {
      return entry.second.trial_until != 0;
    });
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(evacuated_data_centres, evacuation_fixture)

// Guards against starts in a data centre that is evacuated (EVAC).
BOOST_AUTO_TEST_CASE(
    evacuated_data_centre_gets_no_start_until_it_is_given_back) {
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

// Guards against trials that keep all workers that are left: a third of those
// that get tasks may be kept, and evacuated ones get none.
BOOST_FIXTURE_TEST_CASE(trials_keep_a_third_of_the_workers_that_are_left,
                        scarce_fixture) {
  std::vector<std::string> jobs;
  for (int i = 0; i < 9; ++i) {
    jobs.push_back("j" + std::to_string(i));
    Submit(MakeJob(jobs.back(), 1));
  }
  MakeSuspect(jobs);
  std::ptrdiff_t most = 0;
  for (int i = 0; i < 20; ++i) {
    PassFleetTime(kStep);
    most = std::max(most, Trials());
  }
  BOOST_TEST(most == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
