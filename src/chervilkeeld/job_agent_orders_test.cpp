// How the agent carries out starts and stops, and tells their outcomes.
#include <atomic>
#include <optional>
#include <set>
#include <utility>

#include "job_agent_fixture.h"

namespace chervilkeel {

BOOST_FIXTURE_TEST_SUITE(job_agent_orders, agent_fixture)

// The executor runs a task whose start it never answered: the list is answer
// enough, and the run is not taken back.
BOOST_AUTO_TEST_CASE(start_without_answer_that_is_listed_counts_as_started) {
  script.listings = 1'000'000;
  owner->starts_task = true;
  Announce();
  RunUntil([this] { return outcome.has_value(); });
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST(NameOf(*outcome) == NameOf(start_outcome::kStarted));
}

// A start is taken back, and the run that was there all the same needs some
// time to stop: the task may start elsewhere only after a list without it.
BOOST_AUTO_TEST_CASE(withdrawn_start_is_told_only_when_its_run_is_gone) {
  script.listings = 1'000'000;
  script.lists_start = false;
  script.lists_after_stop = 5;
  owner->starts_task = true;
  Announce();
  RunUntil([this] { return outcome.has_value(); });
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST(NameOf(*outcome) == NameOf(start_outcome::kWithdrawn));
  BOOST_TEST(lists_left_at_outcome <= 0);
}

// Guards against a task that runs twice (TWICE): its run, which was told to
// stop, may be the one whose row can't be read.
BOOST_AUTO_TEST_CASE(withdrawn_start_is_not_told_by_an_incomplete_list) {
  constexpr int kManyLists = 20;
  script.listings = 1'000'000;
  script.lists_start = false;
  script.unreadable_runs = 1;
  owner->starts_task = true;
  Announce();
  RunUntil([this] { return script.stops > 0; });
  const int lists_before = script.lists;
  RunUntil([&] { return script.lists > lists_before + kManyLists; });
  BOOST_TEST(!outcome.has_value());
  BOOST_TEST(complete_lists == 0);
  script.unreadable_runs = 0;
  RunUntil([this] { return outcome.has_value(); });
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST(NameOf(*outcome) == NameOf(start_outcome::kWithdrawn));
}

// Guards against a task that runs twice (TWICE): its start was tried without an
// answer and is ordered once more. A refusal of that order says nothing of the
// first try, which the executor may still carry out.
BOOST_AUTO_TEST_CASE(start_that_is_ordered_twice_is_taken_back_when_refused) {
  script.listings = 1'000'000;
  script.lists_start = false;
  owner->starts_task = true;
  owner->repeats_start = true;
  Announce();
  RunUntil([this] { return script.starts > 0; });
  script.start_verdicts[0] = executor_verdict::kNoCapacity;
  RunUntil([this] { return outcome.has_value(); });
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST(NameOf(*outcome) == NameOf(start_outcome::kWithdrawn));
}

// Guards against tasks that never start (LOST): the agent has told a refusal
// that its owner never heard. Two calls carry the same result, and the reply to
// the second one took a later result for told.
BOOST_AUTO_TEST_CASE(refusal_is_told_until_a_call_that_carried_it_is_answered) {
  script.listings = 1'000'000;
  script.start_verdicts[0] = executor_verdict::kNoCapacity;
  script.start_verdicts[1] = executor_verdict::kUnhealthy;
  owner->starts_task = true;
  // The first call of each kind that carries the first refusal, and the first
  // that carries the second one.
  std::set<std::pair<bool, std::uint64_t>> held;
  std::atomic<bool> holds_calls = true;
  owner->holds = [&](const wire::agent_sync& sync) {
    constexpr std::uint64_t kSecondRun = 8;
    if (!holds_calls || sync.starts().empty()) {
      return false;
    }
    const std::uint64_t last = sync.starts(sync.starts_size() - 1).run();
    const bool is_wanted = last != kSecondRun || !sync.wait();
    return is_wanted && held.emplace(sync.wait(), last).second;
  };
  Announce();
  RunUntil([this] { return owner->HeldCalls() == 2; });
  BOOST_REQUIRE_EQUAL(owner->HeldCalls(), 2);
  const std::size_t news = owner->IsWaiting(0) ? 1 : 0;
  owner->AnswerWithStart(news);
  RunUntil([this] { return owner->HeldCalls() == 3; });
  BOOST_REQUIRE_EQUAL(owner->HeldCalls(), 3);
  const int obeying_before = obeying;
  owner->Answer(1 - news);
  RunUntil([&] { return obeying > obeying_before; });
  owner->Break(2);
  holds_calls = false;
  constexpr int kManyCalls = 300;
  RunUntil([&] {
    return told_runs.count(8) != 0 || obeying > obeying_before + kManyCalls;
  });
  BOOST_TEST(told_runs.count(7) == 1);
  BOOST_TEST(told_runs.count(8) == 1);
}

// Guards against a task that runs twice (TWICE): the owner has heard of a
// refusal and may have started the task elsewhere, when the reply to an earlier
// call orders the same start again. Replies may overtake each other.
BOOST_AUTO_TEST_CASE(start_that_was_refused_is_not_tried_for_a_late_order) {
  script.listings = 1'000'000;
  script.start_verdicts[0] = executor_verdict::kNoCapacity;
  owner->starts_task = true;
  Announce();
  RunUntil([this] { return outcome.has_value(); });
  const int obeying_before = obeying;
  RunUntil([&] { return obeying > obeying_before + 10; });
  BOOST_REQUIRE_EQUAL(script.starts, 1);
  owner->repeats_start = true;
  const int obeying_at_order = obeying;
  RunUntil([&] { return obeying > obeying_at_order + 10; });
  BOOST_TEST(script.starts == 1);
}

// Guards against tasks that never start (LOST): a new process of the agent that
// has not heard of its executor yet was given the order, and dropped it as one
// for another boot.
BOOST_AUTO_TEST_CASE(order_is_not_taken_before_the_executor_is_known) {
  script.listings = 1'000'000;
  script.start_verdicts[0] = executor_verdict::kAccepted;
  owner->starts_task_early = true;
  BOOST_REQUIRE(agent->Start());
  constexpr int kSomeCalls = 5;
  RunUntil([this] { return calls > kSomeCalls; });
  AnnounceBoot();
  constexpr int kManyCalls = 300;
  RunUntil([this] { return outcome || obeying > kManyCalls; });
  BOOST_TEST(outcome.has_value());
}

// Guards against a start long after it was given up (TWICE, UNASKED): its tries
// went on beside the order to stop the run.
BOOST_AUTO_TEST_CASE(start_that_is_stopped_is_not_tried_again) {
  script.listings = 1'000'000;
  script.lists_start = false;
  owner->starts_task = true;
  Announce();
  RunUntil([this] { return script.starts > 0; });
  owner->stops_task = true;
  RunForUntil([this] { return script.stops > 0; });
  RunFor(500);
  BOOST_TEST(script.starts == 1);
  RunForUntil([this] { return outcome.has_value(); });
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST(NameOf(*outcome) == NameOf(start_outcome::kRefused));
}

// Guards against a start that is not wanted any more (UNASKED): the order to
// stop the run came with it.
BOOST_AUTO_TEST_CASE(start_that_is_stopped_by_the_same_reply_is_not_tried) {
  script.listings = 1'000'000;
  script.lists_start = false;
  script.start_verdicts[0] = executor_verdict::kAccepted;
  owner->starts_task = true;
  owner->stops_task_at_once = true;
  Announce();
  RunForUntil([this] { return outcome.has_value(); });
  BOOST_TEST(script.starts == 0);
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST(NameOf(*outcome) == NameOf(start_outcome::kRefused));
}

// Guards against a run that its owner takes for started after it was stopped:
// the try was answered after the stop.
BOOST_AUTO_TEST_CASE(late_answer_to_a_start_that_is_stopped_is_not_told) {
  script.listings = 1'000'000;
  script.lists_start = false;
  script.lists_after_stop = 5;
  script.start_verdicts[0] = executor_verdict::kAccepted;
  script.holds_start = true;
  owner->starts_task = true;
  Announce();
  RunUntil([this] { return script.answer_start != nullptr; });
  owner->stops_task = true;
  RunForUntil([this] { return script.stops > 0; });
  script.answer_start();
  RunForUntil([this] { return outcome.has_value(); });
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST(NameOf(*outcome) == NameOf(start_outcome::kRefused));
  BOOST_TEST(lists_left_at_outcome <= 0);
}

// Guards against an outcome that is never told: the owner stopped a run whose
// start was being taken back.
BOOST_AUTO_TEST_CASE(withdrawn_start_is_told_though_its_run_is_stopped) {
  script.listings = 1'000'000;
  script.lists_start = false;
  script.unanswered_stops = 3;
  owner->starts_task = true;
  Announce();
  RunForUntil([this] { return script.stops > 0; });
  owner->stops_task = true;
  RunForUntil([this] { return outcome.has_value(); });
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST(NameOf(*outcome) == NameOf(start_outcome::kWithdrawn));
}

// Guards against a start by an agent that can't know that its task has ended or
// its job is cancelled (TWICE, UNASKED): the owner has stopped the run, and is
// not heard.
BOOST_AUTO_TEST_CASE(start_is_tried_again_only_when_the_owner_is_heard) {
  script.listings = 1'000'000;
  script.lists_start = false;
  script.start_delay = 900;
  owner->starts_task = true;
  Announce();
  RunForUntil([this] { return script.starts > 0; });
  owner->is_silent = true;
  RunFor(1'300);
  BOOST_TEST(script.starts == 1);
  owner->is_silent = false;
  owner->AnswerAll();
  RunForUntil([this] { return script.starts > 1; });
  BOOST_TEST(script.starts == 2);
}

// Guards against a start that lay at an owner, or on its way, while its task
// ended elsewhere (TWICE).
BOOST_AUTO_TEST_CASE(start_in_a_late_reply_waits_until_the_owner_is_heard) {
  script.listings = 1'000'000;
  script.start_verdicts[0] = executor_verdict::kAccepted;
  owner->is_silent = true;
  owner->starts_task = true;
  Announce();
  RunForUntil([this] { return owner->HeldCalls() > 0; });
  RunFor(940);
  owner->Answer(0);
  RunFor(200);
  BOOST_TEST(script.starts == 0);
  owner->is_silent = false;
  owner->AnswerAll();
  RunForUntil([this] { return outcome.has_value(); });
  BOOST_TEST(script.starts == 1);
}

// Guards against a run that its owner has given up with its silent agent, and
// started elsewhere (TWICE).
BOOST_AUTO_TEST_CASE(start_is_not_tried_after_the_grant_it_was_ordered_under) {
  script.listings = 1'000'000;
  script.lists_start = false;
  script.start_delay = 900;
  owner->starts_task = true;
  Announce();
  RunForUntil([this] { return script.starts > 0; });
  owner->is_silent = true;
  RunFor(2'800);
  owner->is_silent = false;
  RunForUntil([this] { return outcome.has_value(); });
  BOOST_TEST(script.starts == 1);
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST(NameOf(*outcome) == NameOf(start_outcome::kWithdrawn));
}

// Guards against starts in an evacuated data centre (EVAC) by the orders of an
// owner that lags, whose list of evacuations is older.
BOOST_AUTO_TEST_CASE(start_in_an_evacuated_data_centre_is_refused) {
  script.listings = 1'000'000;
  owner->evacuation_revision = 5;
  owner->evacuates = true;
  Announce();
  RunUntil([this] { return obeying > 0; });
  owner->evacuation_revision = 4;
  owner->evacuates = false;
  owner->starts_task = true;
  RunUntil([this] { return outcome.has_value(); });
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST(NameOf(*outcome) == NameOf(start_outcome::kRefused));
  BOOST_TEST(script.starts == 0);
}

// Guards against a worker that counts as unresponsive after an evacuation, and
// so gets few tasks: nobody has called its executor.
BOOST_AUTO_TEST_CASE(start_taken_back_for_an_evacuation_blames_no_executor) {
  script.listings = 1'000'000;
  owner->evacuation_revision = 5;
  owner->evacuates = true;
  owner->says_tried = true;
  owner->starts_task = true;
  Announce();
  RunUntil([this] { return outcome.has_value(); });
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST(NameOf(*outcome) == NameOf(start_outcome::kRefused));
  BOOST_TEST(script.starts == 0);
  BOOST_TEST(script.stops > 0);
}

// Guards against an agent and an owner that go by different data centres: the
// owner goes by what the executor announces. Such an agent starts tasks in an
// evacuated data centre, or refuses all that the owner orders.
BOOST_AUTO_TEST_CASE(announced_data_centre_decides_whether_a_start_is_refused) {
  script.listings = 1'000'000;
  script.distort = [](announcement& said) {
    said.worker.data_centre = "south";
  };
  owner->evacuation_revision = 5;
  owner->evacuates = true;
  owner->starts_task = true;
  Announce();
  RunUntil([this] { return outcome.has_value(); });
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST(NameOf(*outcome) == NameOf(start_outcome::kStarted));
}

BOOST_AUTO_TEST_CASE(start_after_the_end_of_an_evacuation_is_carried_out) {
  script.listings = 1'000'000;
  owner->evacuation_revision = 5;
  owner->evacuates = true;
  Announce();
  RunUntil([this] { return obeying > 0; });
  owner->evacuation_revision = 6;
  owner->evacuates = false;
  owner->starts_task = true;
  RunUntil([this] { return outcome.has_value(); });
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST(NameOf(*outcome) == NameOf(start_outcome::kStarted));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
