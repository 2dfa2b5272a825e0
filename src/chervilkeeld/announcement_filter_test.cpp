// Which announcements of an executor are believed. All cases guard against an
// executor that another writer takes away, so that no task starts there (LOST).
#include "announcement_filter.h"

#include <boost/test/unit_test.hpp>

namespace chervilkeel {

static std::ostream& operator<<(std::ostream& out,
                                announcement_verdict verdict) {
  return out << NameOf(verdict);
}

namespace {

constexpr millis kBeat = 1'100;

struct filter_fixture {
  announcement_filter filter;
  millis now = 1'000;
  std::uint64_t sequence = 7;  // Of the executor's last announcement.

  filter_fixture() { filter.Follow(OwnAnnouncement(), now); }

  announcement OwnAnnouncement() const {
    announcement said;
    said.worker.boot = {"executor", 5};
    said.worker.service = "cutting";
    said.worker.labels = {"a", "rack-1"};
    said.worker.capacity = {4'000, 8'000, 0};
    said.sequence = sequence;
    return said;
  }

  announcement_verdict NextBeat() {
    now += kBeat;
    ++sequence;
    return filter.Judge(OwnAnnouncement(), now);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(announcements, filter_fixture)

BOOST_AUTO_TEST_CASE(one_of_an_unknown_service_changes_nothing) {
  announcement other = OwnAnnouncement();
  other.worker.service = "unknown";
  other.sequence += 1'000;
  BOOST_TEST(filter.Judge(other, now) == announcement_verdict::kContradicts);
  BOOST_TEST(NextBeat() == announcement_verdict::kAccepted);
}

BOOST_AUTO_TEST_CASE(one_with_a_leap_of_the_sequence_changes_nothing) {
  announcement other = OwnAnnouncement();
  other.sequence += 1'000;
  BOOST_TEST(filter.Judge(other, now) == announcement_verdict::kLeaps);
  BOOST_TEST(NextBeat() == announcement_verdict::kAccepted);
}

BOOST_AUTO_TEST_CASE(
    other_writer_that_goes_on_beside_the_executor_is_not_believed) {
  announcement other = OwnAnnouncement();
  other.worker.capacity.milli_processors = 1;
  for (int i = 0; i < 100; ++i) {
    ++other.sequence;
    BOOST_TEST(filter.Judge(other, now) == announcement_verdict::kContradicts);
    BOOST_TEST(NextBeat() == announcement_verdict::kAccepted);
  }
}

BOOST_AUTO_TEST_CASE(executor_is_believed_again_after_a_small_leap) {
  announcement other = OwnAnnouncement();
  other.sequence += 9;
  BOOST_TEST(filter.Judge(other, now) == announcement_verdict::kAccepted);
  int beats = 1;
  while (NextBeat() != announcement_verdict::kAccepted) {
    ++beats;
  }
  BOOST_TEST(beats <= 3);
}

BOOST_AUTO_TEST_CASE(executor_is_believed_though_another_writer_came_first) {
  announcement other = OwnAnnouncement();
  other.worker.service = "unknown";
  filter.Follow(other, now);
  int beats = 1;
  while (NextBeat() != announcement_verdict::kAccepted) {
    ++beats;
  }
  BOOST_TEST(beats <= 3);
}

BOOST_AUTO_TEST_CASE(delayed_ones_that_come_in_a_burst_are_outdated) {
  for (std::uint64_t late = 1; late < 7; ++late) {
    announcement said = OwnAnnouncement();
    said.sequence = late;
    now += 10;
    BOOST_TEST(filter.Judge(said, now) == announcement_verdict::kOutdated);
  }
  BOOST_TEST(NextBeat() == announcement_verdict::kAccepted);
}

BOOST_AUTO_TEST_CASE(one_after_a_long_silence_is_accepted) {
  now += 60'000;
  sequence += 60;
  BOOST_TEST(NextBeat() == announcement_verdict::kAccepted);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
