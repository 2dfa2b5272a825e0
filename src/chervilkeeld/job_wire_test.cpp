#include "job_wire.h"

#include <boost/test/unit_test.hpp>

namespace chervilkeel {

namespace {

constexpr std::uint32_t kUnknownValue = 77;

ended_run MakeEnd(std::uint64_t number) {
  ended_run ended;
  ended.number = number;
  ended.task = {"j", 0, 0, static_cast<std::uint32_t>(number)};
  ended.run = 1;
  return ended;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(job_wire)

// Guards against a task that starts elsewhere while it runs (TWICE): its row
// can't be read, and the list was taken for complete.
BOOST_AUTO_TEST_CASE(
    report_with_an_odd_run_keeps_the_others_and_is_incomplete) {
  wire::agent_sync sync;
  sync.set_lists_runs(true);
  run_status status;
  status.task = {"j", 0, 0, 1};
  status.run = 3;
  *sync.add_runs() = ToWire(status);
  BOOST_TEST(FromWire(sync).has_runs);
  sync.add_runs()->set_task("nobody");
  const worker_report report = FromWire(sync);
  BOOST_REQUIRE_EQUAL(report.runs.size(), 1);
  BOOST_TEST(report.runs[0].run == 3);
  BOOST_TEST(!report.has_runs);
  BOOST_TEST(report.unreadable_rows == 1);
}

// Guards against an end that is recorded as if it had been read.
BOOST_AUTO_TEST_CASE(report_with_an_odd_end_keeps_the_ends_before_it) {
  for (const bool is_named : {true, false}) {
    wire::agent_sync sync;
    sync.set_lists_runs(true);
    *sync.add_ends() = ToWire(MakeEnd(1));
    wire::run_ending& odd = *sync.add_ends();
    odd = ToWire(MakeEnd(2));
    if (is_named) {
      odd.set_how(kUnknownValue);
    } else {
      odd.set_task("nobody");
    }
    *sync.add_ends() = ToWire(MakeEnd(3));
    const worker_report report = FromWire(sync);
    BOOST_REQUIRE_EQUAL(report.ends.size(), 1);
    BOOST_TEST(report.ends[0].number == 1);
    BOOST_TEST(!report.has_runs);
    BOOST_TEST(report.unreadable_rows == 1);
  }
}

// Guards against an outcome without a name that is taken for a refusal.
BOOST_AUTO_TEST_CASE(report_with_an_odd_outcome_keeps_the_other_starts) {
  wire::agent_sync sync;
  for (const std::uint32_t outcome : {0U, kUnknownValue, 1U}) {
    wire::start_state& start = *sync.add_starts();
    start =
        ToWire(start_result{{"j", 0, 0, outcome}, 1, start_outcome::kStarted});
    start.set_outcome(outcome);
  }
  const worker_report report = FromWire(sync);
  BOOST_REQUIRE_EQUAL(report.starts.size(), 2);
  BOOST_CHECK(report.starts[1].outcome == start_outcome::kNoCapacity);
  BOOST_TEST(report.unreadable_rows == 1);
}

BOOST_AUTO_TEST_CASE(order_of_an_unknown_kind_is_invalid) {
  worker_order order;
  order.task = {"j", 0, 0, 1};
  wire::order sent = ToWire(1, order);
  BOOST_TEST(FromWire(sent).has_value());
  sent.set_kind(kUnknownValue);
  BOOST_TEST(!FromWire(sent).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
