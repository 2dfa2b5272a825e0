#include "executor_history.h"

#include <boost/test/unit_test.hpp>

namespace chervilkeel {

namespace {

struct history_fixture {
  executor_history history;
  const executor_boot boot{"executor", 5};

  static task_name Task(std::uint32_t index) { return {"j", 0, 0, index}; }

  static run_status Listed(std::uint32_t index) {
    run_status status;
    status.task = Task(index);
    status.run = 1;
    return status;
  }

  // Returns the runs of the only crash, as "INDEX" or "INDEX proven".
  std::vector<std::string> LostRuns(millis now) const {
    std::vector<std::string> names;
    const auto crashes = history.Crashes(now);
    BOOST_REQUIRE_EQUAL(crashes.size(), 1);
    for (const lost_run& lost : crashes[0].runs) {
      names.push_back(std::to_string(lost.task.index) +
                      (lost.proven ? " proven" : ""));
    }
    return names;
  }
};

using names = std::vector<std::string>;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(executor_history_of_an_agent, history_fixture)

// The start that crashed the executor may never have been answered or listed.
BOOST_AUTO_TEST_CASE(start_that_was_not_answered_is_lost_unproven) {
  history.OnStartSent(Task(0), 1, 1'000);
  history.OnList({Listed(0)}, 1'600, 1'850);
  history.OnStartSent(Task(1), 1, 1'860);
  history.OnAnswer(2'200);
  history.OnCrash(boot, 2'300);
  BOOST_TEST((LostRuns(2'300) == names{"0 proven", "1"}));
}

BOOST_AUTO_TEST_CASE(start_answered_shortly_before_the_crash_is_unproven) {
  history.OnStartSent(Task(0), 1, 1'000);
  history.OnStarted(Task(0), 1);
  history.OnAnswer(1'200);
  history.OnCrash(boot, 1'900);
  BOOST_TEST((LostRuns(1'900) == names{"0"}));
}

// The executor answered other calls long after this start.
BOOST_AUTO_TEST_CASE(start_is_proven_by_a_later_answer_of_the_executor) {
  history.OnStartSent(Task(0), 1, 1'000);
  history.OnStarted(Task(0), 1);
  history.OnAnswer(1'300);
  history.OnCrash(boot, 1'310);
  BOOST_TEST((LostRuns(1'310) == names{"0 proven"}));
}

// Orders go on to an executor that is down already: none of them is a cause.
BOOST_AUTO_TEST_CASE(start_that_did_not_reach_the_executor_is_not_lost) {
  history.OnStartSent(Task(0), 1, 1'000);
  history.OnStartWithoutEffect(Task(0), 1);
  history.OnStartSent(Task(0), 1, 1'100);
  history.OnStartWithoutEffect(Task(0), 1);
  history.OnCrash(boot, 1'200);
  BOOST_TEST(LostRuns(1'200).empty());
}

BOOST_AUTO_TEST_CASE(start_of_which_one_try_may_have_arrived_is_lost) {
  history.OnStartSent(Task(0), 1, 1'000);
  history.OnStartSent(Task(0), 1, 1'100);
  history.OnStartWithoutEffect(Task(0), 1);
  history.OnCrash(boot, 1'200);
  BOOST_TEST((LostRuns(1'200) == names{"0"}));
}

BOOST_AUTO_TEST_CASE(run_that_has_ended_before_the_crash_is_not_lost) {
  history.OnStartSent(Task(0), 1, 1'000);
  history.OnList({Listed(0)}, 1'100, 1'350);
  history.OnList({}, 1'400, 1'650);
  history.OnCrash(boot, 2'000);
  BOOST_TEST(LostRuns(2'000).empty());
}

BOOST_AUTO_TEST_CASE(order_sent_after_a_list_was_asked_for_is_not_dropped) {
  history.OnStartSent(Task(0), 1, 1'050);
  history.OnList({}, 1'000, 1'100);
  history.OnCrash(boot, 1'200);
  BOOST_TEST((LostRuns(1'200) == names{"0"}));
}

BOOST_AUTO_TEST_CASE(run_found_by_a_new_agent_is_proven_after_some_time) {
  history.OnList({Listed(0)}, 1'000, 1'010);
  history.OnList({Listed(0)}, 1'250, 1'270);
  history.OnCrash(boot, 1'700);
  BOOST_TEST((LostRuns(1'700) == names{"0 proven"}));
}

BOOST_AUTO_TEST_CASE(executor_that_left_as_announced_loses_no_runs) {
  history.OnStartSent(Task(0), 1, 1'000);
  history.OnLeft();
  BOOST_TEST(history.Crashes(1'100).empty());
  history.OnCrash(boot, 1'200);
  BOOST_TEST(LostRuns(1'200).empty());
}

BOOST_AUTO_TEST_CASE(crash_is_forgotten_after_some_time) {
  history.OnStartSent(Task(0), 1, 1'000);
  history.OnCrash(boot, 1'100);
  BOOST_TEST(history.Crashes(20'000).size() == 1);
  BOOST_TEST(history.Crashes(60'000).empty());
  BOOST_TEST(history.CrashCount() == 1);
}

BOOST_AUTO_TEST_CASE(only_the_latest_of_many_crashes_are_remembered) {
  for (std::int64_t started = 1; started <= 6; ++started) {
    history.OnCrash({"executor", started}, 1'000);
  }
  const auto crashes = history.Crashes(1'000);
  BOOST_REQUIRE_EQUAL(crashes.size(), 4);
  BOOST_TEST(crashes.front().boot.started_ms == 3);
  BOOST_TEST(history.CrashCount() == 6);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
