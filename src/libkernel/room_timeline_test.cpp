#include "chervilkeel/room_timeline.h"

#include <boost/test/unit_test.hpp>

namespace chervilkeel {

namespace {

struct timeline_fixture {
  static constexpr task_need kLarge{{{4'000, 0, 0}, 4'000}, false};
  static constexpr task_need kBestEffort{{{0, 100, 0}, 1'000}, true};

  room_timeline timeline{{{1'000, 200, 0}, 500}, 10'000};
  duration_model durations;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(room_timelines, timeline_fixture)

BOOST_AUTO_TEST_CASE(large_task_fits_after_enough_ends) {
  timeline.AddEnd(12'000, {{2'000, 0, 0}, 2'000});
  timeline.AddEnd(11'000, {{1'000, 0, 0}, 1'000});
  BOOST_TEST(*timeline.FirstFit(kLarge) == 12'000);
  BOOST_TEST((timeline.RoomAt(11'500) == worker_room{{2'000, 200, 0}, 1'500}));
  BOOST_TEST(!timeline.FirstFit(kLarge.Times(2)).has_value());
}

// Guards against an overdue run whose end counts as present room.
BOOST_AUTO_TEST_CASE(overdue_end_is_expected_later) {
  timeline.AddEnd(9'000, {{3'000, 0, 0}, 3'000});
  BOOST_TEST(*timeline.FirstFit(kLarge) == 11'000);
}

// Guards against best-effort tasks that take the processors which services
// have reserved, or wait for them.
BOOST_AUTO_TEST_CASE(best_effort_task_needs_memory_and_headroom_only) {
  BOOST_TEST(!timeline.FirstFit(kBestEffort).has_value());
  timeline.AddEnd(11'000, {{0, 0, 0}, 500});
  BOOST_TEST(*timeline.FirstFit(kBestEffort) == 11'000);
  BOOST_TEST(!timeline.FirstFit(kBestEffort.Times(3)).has_value());
}

// Guards against reservations that rely on estimates which are far off.
BOOST_AUTO_TEST_CASE(ratio_to_estimates_is_learned_by_group) {
  for (int i = 0; i < 40; ++i) {
    durations.Learn("slow", 1'000, i % 2 == 0 ? 3'800 : 4'200);
  }
  BOOST_TEST(durations.Expected("slow", 500) >= 1'800);
  BOOST_TEST(durations.Expected("slow", 500) <= 2'100);
  BOOST_TEST(durations.Longest("slow", 500) >= 2'100);
  BOOST_TEST(durations.Expected("other", 500) == 500);
  BOOST_TEST(durations.MeanError() < 0.4);
}

BOOST_AUTO_TEST_CASE(end_of_a_slowed_run_follows_its_progress_and_pace) {
  const run_progress half{1'000, 10'000, 0, 50, 12'000, 50, true};
  // Half by the estimate, half by the speed of 2 s for half of the work.
  BOOST_TEST(durations.ExpectedEnd("a", half) == 12'000 + 2'500);
  run_progress resumed = half;
  resumed.began_anew = false;
  BOOST_TEST(durations.ExpectedEnd("a", resumed) == 12'000 + 1'000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
