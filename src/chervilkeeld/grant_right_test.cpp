#include "grant_right.h"

#include <boost/test/unit_test.hpp>

namespace chervilkeel {

namespace {

constexpr millis kLongestOutage = 20'000;
constexpr millis kInterval = 400;  // Between two updates.

struct right_fixture {
  grant_right right{kLongestOutage};
  millis now = 100'000;

  right_fixture() { right.Begin(now); }

  candidate_answer Answer(bool has_lost_store, millis age = 100) const {
    return {now - age, has_lost_store};
  }

  grant_basis WithoutLease(const std::vector<candidate_answer>& others) {
    return right.Update(now, false, others, true);
  }

  // Lets time pass in an outage that all entries suffer.
  void PassOutage(millis time) {
    for (const millis until = now + time; now < until; now += kInterval) {
      WithoutLease({Answer(true)});
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(right_to_grant, right_fixture)

BOOST_AUTO_TEST_CASE(valid_lease_suffices) {
  BOOST_TEST(
      (right.Update(now, true, {Answer(false)}, false) == grant_basis::kLease));
}

BOOST_AUTO_TEST_CASE(owner_without_lease_and_other_entries_has_no_right) {
  BOOST_TEST((WithoutLease({}) == grant_basis::kNone));
}

BOOST_AUTO_TEST_CASE(right_goes_on_while_all_others_have_lost_the_store) {
  PassOutage(kLongestOutage / 2);
  BOOST_TEST(
      (WithoutLease({Answer(true), Answer(true)}) == grant_basis::kOutage));
}

BOOST_AUTO_TEST_CASE(one_entry_with_the_store_ends_the_right) {
  BOOST_TEST(
      (WithoutLease({Answer(true), Answer(false)}) == grant_basis::kNone));
}

// Guards against a grant beside a new owner (TWICE): an entry that isn't listed
// is elected without asking, and acts with the consent of most agents.
BOOST_AUTO_TEST_CASE(owner_that_few_agents_report_to_has_no_right) {
  BOOST_TEST(
      (right.Update(now, false, {Answer(true)}, false) == grant_basis::kNone));
}

// Guards against a grant beside a new owner (TWICE): an entry that has not
// answered may have the store.
BOOST_AUTO_TEST_CASE(entry_that_never_answered_ends_the_right) {
  BOOST_TEST((WithoutLease({Answer(true), {}}) == grant_basis::kNone));
}

// Guards against a reply that lay in a socket while the owner was paused
// (TWICE): it tells of the time of the question.
BOOST_AUTO_TEST_CASE(answer_to_an_old_question_ends_the_right) {
  BOOST_TEST(
      (WithoutLease({Answer(true, kFreshAnswer + 1)}) == grant_basis::kNone));
}

BOOST_AUTO_TEST_CASE(short_doubt_does_not_end_the_right) {
  now += 2'000;
  BOOST_TEST((WithoutLease({Answer(true)}) == grant_basis::kOutage));
}

// Guards against a right that returns in the outage (TWICE): another entry may
// have owned the jobs in between.
BOOST_AUTO_TEST_CASE(right_in_doubt_for_long_returns_with_the_lease_only) {
  now += 4'000;
  BOOST_TEST((WithoutLease({Answer(true)}) == grant_basis::kNone));
  PassOutage(4'000);
  BOOST_TEST((WithoutLease({Answer(true)}) == grant_basis::kNone));
  BOOST_TEST((right.Update(now, true, {}, true) == grant_basis::kLease));
  BOOST_TEST((WithoutLease({Answer(true)}) == grant_basis::kOutage));
}

BOOST_AUTO_TEST_CASE(right_ends_with_the_longest_outage) {
  PassOutage(kLongestOutage);
  BOOST_TEST((WithoutLease({Answer(true)}) == grant_basis::kOutage));
  PassOutage(kInterval);
  BOOST_TEST((WithoutLease({Answer(true)}) == grant_basis::kNone));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
