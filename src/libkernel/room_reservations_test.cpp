#include "chervilkeel/room_reservations.h"

#include <boost/test/unit_test.hpp>

namespace chervilkeel {

namespace {

struct reservations_fixture {
  room_reservations reservations;
  millis now = 10'000;

  static task_need Need(std::int64_t milli) {
    return {{{milli, 0, 0}, milli}, false};
  }

  // Reserves workers of a service that has as many as are offered. Each will
  // have 1,000 milli-processors left beside the task, from the given time on.
  std::size_t Reserve(const std::string& job,
                      std::size_t count,
                      std::size_t workers,
                      millis expected_in) {
    room_reservation request;
    request.task = {job, 0, 0, 0};
    request.priority = 1;
    request.need = Need(4'000);
    std::vector<room_offer> offers;
    for (std::size_t i = 0; i < workers; ++i) {
      offers.push_back({"w" + std::to_string(100 + i),
                        {},
                        now + expected_in + static_cast<millis>(i),
                        {{1'000, 0, 0}, 1'000}});
    }
    return reservations.Reserve(request, offers, count, workers, now).size();
  }

  bool Delays(std::int64_t milli, std::uint32_t priority, millis end) const {
    return reservations.Delays("w100", {"small", 0, 0}, priority, Need(milli),
                               end);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(reserved_workers, reservations_fixture)

// Guards against large tasks that take a whole service from the small ones.
BOOST_AUTO_TEST_CASE(one_worker_in_sixteen_and_never_all_are_reserved) {
  BOOST_TEST(room_reservations::MaxReserved(1) == 0U);
  BOOST_TEST(room_reservations::MaxReserved(2) == 1U);
  BOOST_TEST(room_reservations::MaxReserved(47) == 2U);
  BOOST_TEST(Reserve("a", 1, 1, 100) == 0U);
  BOOST_TEST(Reserve("a", 1, 32, 100) == 1U);
  BOOST_TEST(Reserve("b", 1, 32, 100) == 1U);
  BOOST_TEST(Reserve("c", 1, 32, 100) == 0U);
}

// Guards against two gangs that each hold a part of what the other needs.
BOOST_AUTO_TEST_CASE(gang_gets_all_its_workers_or_none) {
  BOOST_TEST(Reserve("a", 2, 48, 100) == 2U);
  BOOST_TEST(Reserve("b", 2, 48, 100) == 0U);
  BOOST_TEST(
      reservations.End({"a", 0, 0}, reservation_end::kTaskEnded, now).size() ==
      2U);
  BOOST_TEST(Reserve("b", 2, 48, 100) == 2U);
}

// Guards against a worker that idles until a far time.
BOOST_AUTO_TEST_CASE(worker_that_is_free_late_is_not_reserved) {
  BOOST_TEST(Reserve("a", 1, 16, room_reservations::kMaxTime + 1) == 0U);
}

BOOST_AUTO_TEST_CASE(task_that_ends_before_or_fits_beside_is_not_held) {
  Reserve("a", 1, 16, 2'000);
  BOOST_TEST(!Delays(4'000, 1, now + 1'900));
  BOOST_TEST(!Delays(1'000, 1, now + 9'000));
  BOOST_TEST(Delays(1'001, 1, now + 9'000));
  BOOST_TEST(!reservations.Delays("w100", {"a", 0, 0}, 1, Need(4'000), {}));
  reservations.NoteStart({"small", 0, 0, 0}, "w100", Need(600), now + 9'000);
  BOOST_TEST(Delays(600, 1, now + 9'000));
}

// Guards against urgent tasks that wait for the sake of others.
BOOST_AUTO_TEST_CASE(task_of_a_higher_priority_is_never_held) {
  Reserve("a", 1, 16, 2'000);
  BOOST_TEST(!Delays(4'000, 0, now + 9'000));
}

// Guards against a worker that is held again as soon as its time is up.
BOOST_AUTO_TEST_CASE(step_is_passed_over_after_its_reservation_expired) {
  Reserve("a", 1, 16, 100);
  BOOST_TEST(!reservations.MaySearch({"a", 0, 0}, now + 1));
  now += room_reservations::kMaxTime;
  reservations.End({"a", 0, 0}, reservation_end::kExpired, now);
  BOOST_TEST(!reservations.MaySearch({"a", 0, 0}, now + 100));
  BOOST_TEST(reservations.MaySearch({"b", 0, 0}, now + 100));
  BOOST_TEST(
      reservations.MaySearch({"a", 0, 0}, now + room_reservations::kMaxTime));
}

// Guards against a pass that searches all workers for each waiting step.
BOOST_AUTO_TEST_CASE(one_step_is_searched_for_at_a_time) {
  BOOST_TEST(reservations.MaySearch({"a", 0, 0}, now));
  BOOST_TEST(!reservations.MaySearch({"b", 0, 0}, now));
  BOOST_TEST(reservations.MaySearch({"b", 0, 0}, now + 50));
  BOOST_TEST(!reservations.MaySearch({"a", 0, 0}, now + 100));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
