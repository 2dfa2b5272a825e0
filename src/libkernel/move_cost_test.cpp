#include "chervilkeel/move_cost.h"

#include <boost/test/unit_test.hpp>

namespace chervilkeel {

namespace {

constexpr millis kStep = 100;  // Between two scans for throttled runs.
constexpr millis kSwingPeriod = 10'000;  // Of the load of the services.

struct move_fixture {
  move_times times{900, 250, 2'000};

  // A run that has been paused for some time after as much time at full speed.
  static movable_run MakePausedRun(millis expected, std::uint32_t percent) {
    movable_run run;
    run.expected = expected;
    run.percent = percent;
    run.has_checkpoints = true;
    run.pace = 0;
    run.time_at_work = 3'000;
    run.throttling_loss = 1'500;
    run.mean_pace = MeanPace(run.time_at_work, run.throttling_loss);
    return run;
  }

  // Returns how often a task moves between two workers that each pause it in
  // one half of each swing. What it did since its start is lost.
  std::uint32_t CountMoves(millis expected, millis now) const {
    movable_run run;
    run.expected = expected;
    run.has_checkpoints = true;
    for (millis done = 0; done < expected; now += kStep) {
      run.pace = (now / (kSwingPeriod / 2) + run.moves) % 2 == 0 ? 0 : 1;
      run.time_at_work += kStep;
      run.throttling_loss += run.pace == 0 ? kStep : 0;
      done += run.pace == 0 ? 0 : kStep;
      run.percent = static_cast<std::uint32_t>(100 * done / expected);
      run.mean_pace = MeanPace(run.time_at_work, run.throttling_loss);
      if (IsThrottled(run) && IsMoveWorthwhile(times, run, 1.0)) {
        now += times.stop + times.restore;
        done = run.time_at_work = run.throttling_loss = 0;
        ++run.moves;
      }
    }
    return run.moves;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(move_costs, move_fixture)

// Guards against tasks that follow the swings of services from worker to
// worker and spend more time in stops than they gain.
BOOST_AUTO_TEST_CASE(task_beside_swinging_services_moves_at_most_once) {
  for (const millis stop : {200, 400, 900}) {
    times.stop = stop;
    for (const millis expected : {1'400, 2'700}) {
      for (millis start = 0; start < kSwingPeriod; start += kStep) {
        BOOST_TEST(
            CountMoves(expected, start) <= 1U,
            "stop " << stop << " expected " << expected << " start " << start);
      }
    }
  }
}

// Guards against moves that take longer than the work that is left, and tasks
// that stay paused for long because no move is made.
BOOST_AUTO_TEST_CASE(paused_task_with_much_work_left_only_moves) {
  BOOST_TEST(!IsMoveWorthwhile(times, MakePausedRun(2'700, 60), 1.0));
  const movable_run run = MakePausedRun(20'000, 10);
  BOOST_TEST(IsMoveWorthwhile(times, run, 1.0));
  BOOST_TEST(!IsMoveWorthwhile(times, run, 0.8));
}

// Guards against stops that throw away more work than the move gains.
BOOST_AUTO_TEST_CASE(task_without_checkpoints_is_charged_its_work) {
  movable_run run = MakePausedRun(8'000, 50);
  BOOST_TEST(EstimateMove(times, run, 1.0).cost == 900 + 150 + 250 + 1'000);
  run.has_checkpoints = false;
  BOOST_TEST(EstimateMove(times, run, 1.0).cost == 900 + 150 + 4'000);
}

BOOST_AUTO_TEST_CASE(task_that_was_moved_needs_twice_the_gain) {
  movable_run run = MakePausedRun(20'000, 10);
  const millis first = EstimateMove(times, run, 1.0).required_gain;
  run.moves = 1;
  BOOST_TEST(EstimateMove(times, run, 1.0).required_gain == 2 * first);
}

// Guards against a change for deployments whose times are not known.
BOOST_AUTO_TEST_CASE(unknown_times_leave_the_former_rule_in_force) {
  times.checkpoint_interval = 0;
  movable_run run = MakePausedRun(1'000, 90);
  BOOST_TEST(IsMoveWorthwhile(times, run, 0.86));
  BOOST_TEST(!IsMoveWorthwhile(times, run, 0.85));
  run.has_checkpoints = false;
  BOOST_TEST(!IsMoveWorthwhile(times, run, 1.0));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
