// Tests of admission, upstream selection and the request state machine.
#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "chervilkeel/request_flight.h"
#include "chervilkeel/slot_admission.h"
#include "chervilkeel/upstream_table.h"

namespace chervilkeel {

namespace {

admission_ticket Ticket(std::uint64_t id,
                        request_class duration,
                        millis deadline) {
  admission_ticket ticket;
  ticket.id = id;
  ticket.duration = duration;
  ticket.deadline = deadline;
  return ticket;
}

wire::roster_reply Roster(int local_count, int remote_count) {
  wire::roster_reply roster;
  roster.set_cell("c");
  for (int i = 0; i < local_count + remote_count; ++i) {
    auto* member = roster.add_members();
    member->set_agent("a" + std::to_string(i));
    member->set_address("127.0.0.1:" + std::to_string(i + 1));
    member->set_data_centre(i < local_count ? "dc1" : "dc2");
    member->mutable_load()->set_slots(8);
  }
  return roster;
}

upstream_options InFirstDataCentre() {
  upstream_options options;
  options.data_centre = "dc1";
  return options;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(slot_admission_suite)

BOOST_AUTO_TEST_CASE(long_requests_never_take_the_last_slot) {
  slot_admission admission({});
  int running = 0;
  for (std::uint64_t i = 0; i < 20; ++i) {
    const auto answer =
        admission.Offer(Ticket(i, request_class::kLong, 1'000'000), 0);
    running += answer.verdict == admission_verdict::kRun ? 1 : 0;
  }
  BOOST_TEST(running == 7);
  BOOST_TEST(
      (admission.Offer(Ticket(99, request_class::kShort, 10'000), 0).verdict ==
       admission_verdict::kRun));
}

BOOST_AUTO_TEST_CASE(
    request_that_would_miss_its_deadline_is_refused_with_expected_wait) {
  slot_admission admission({});
  admission.SetGrantedSlots(1);
  (void)admission.Offer(Ticket(1, request_class::kShort, 10'000), 0);
  const auto answer = admission.Offer(Ticket(2, request_class::kShort, 60), 0);
  BOOST_TEST((answer.verdict == admission_verdict::kRefused));
  BOOST_TEST(answer.reason.find("expected wait of 50 ms") == 0U);
}

BOOST_AUTO_TEST_CASE(connection_limit_bounds_admitted_requests) {
  admission_options options;
  options.connections = 10;
  slot_admission admission(options);
  int admitted = 0;
  for (std::uint64_t i = 0; i < 30; ++i) {
    const auto answer =
        admission.Offer(Ticket(i, request_class::kShort, 1'000'000), 0);
    admitted += answer.verdict != admission_verdict::kRefused ? 1 : 0;
  }
  BOOST_TEST(admitted == 10);
}

BOOST_AUTO_TEST_CASE(queued_requests_start_in_order_when_slots_come_free) {
  slot_admission admission({});
  admission.SetGrantedSlots(1);
  const auto first = Ticket(1, request_class::kShort, 100'000);
  (void)admission.Offer(first, 0);
  (void)admission.Offer(Ticket(2, request_class::kShort, 100'000), 0);
  (void)admission.Offer(Ticket(3, request_class::kShort, 100'000), 0);
  admission.OnRequestDone(first, 5);
  const admission_step step = admission.Advance(10);
  BOOST_TEST_REQUIRE(step.start.size() == 1U);
  BOOST_TEST(step.start[0] == 2U);
}

BOOST_AUTO_TEST_CASE(request_without_a_slot_asks_for_one_control_step) {
  slot_admission admission({});
  admission.SetGrantedSlots(0);
  BOOST_TEST(!admission.NeedsControlStep());
  (void)admission.Offer(Ticket(1, request_class::kShort, 5'000), 0);
  BOOST_TEST(admission.NeedsControlStep());
  BOOST_TEST(admission.WantedSlots(0) == 1U);
  BOOST_TEST(!admission.NeedsControlStep());  // No slot was freed.
  (void)admission.Offer(Ticket(2, request_class::kShort, 5'000), 0);
  BOOST_TEST(admission.NeedsControlStep());
}

BOOST_AUTO_TEST_CASE(busy_slots_never_exceed_the_granted_ones) {
  const bool property_holds = rc::check("busy slots <= granted slots", [] {
    slot_admission admission({});
    std::map<std::uint64_t, admission_ticket> running;
    std::uint64_t next = 1;
    millis now = 0;
    std::uint32_t granted = 8;
    for (const int event :
         *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5))) {
      now += 7;
      std::vector<std::uint64_t> started;
      if (event <= 2) {
        const auto ticket = Ticket(
            next++, event == 0 ? request_class::kLong : request_class::kShort,
            now + 5'000);
        const auto answer = admission.Offer(ticket, now);
        running[ticket.id] = ticket;
        if (answer.verdict == admission_verdict::kRun) {
          started.push_back(ticket.id);
        }
      } else if (event == 3 && admission.Busy() > 0) {
        for (const auto& [id, ticket] : running) {
          if (ticket.expected_ms < 0) {
            admission.OnRequestDone(ticket, 10);
            running.erase(id);
            break;
          }
        }
      } else {
        granted = std::max<std::uint32_t>(admission.Busy(), now % 9);
        admission.SetGrantedSlots(granted);
      }
      for (const std::uint64_t id : admission.Advance(now).start) {
        started.push_back(id);
      }
      for (const std::uint64_t id : started) {
        running[id].expected_ms = -1;  // Marks the request as running.
      }
      RC_ASSERT(admission.Busy() <= granted);
    }
  });
  BOOST_TEST(property_holds);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(upstream_table_suite)

BOOST_AUTO_TEST_CASE(local_data_centre_is_chosen_while_it_is_faster) {
  upstream_table table(InFirstDataCentre(), 1);
  table.ApplyRoster(Roster(3, 3), 1'000);
  for (int i = 0; i < 100; ++i) {
    const auto choice = table.Choose(request_class::kShort, 20, {}, 1'000);
    BOOST_TEST(
        (choice.agent == "a0" || choice.agent == "a1" || choice.agent == "a2"));
  }
}

BOOST_AUTO_TEST_CASE(requests_spill_over_from_a_busy_data_centre) {
  upstream_table table(InFirstDataCentre(), 1);
  wire::roster_reply roster = Roster(2, 2);
  for (int i = 0; i < 2; ++i) {
    roster.mutable_members(i)->mutable_load()->set_busy_slots(8);
    roster.mutable_members(i)->mutable_load()->set_queued_short(10);
  }
  table.ApplyRoster(roster, 1'000);
  const auto choice = table.Choose(request_class::kShort, 20, {}, 1'000);
  BOOST_TEST((choice.agent == "a2" || choice.agent == "a3"));
}

BOOST_AUTO_TEST_CASE(load_outweighs_noise_in_service_times) {
  upstream_table table(InFirstDataCentre(), 1);
  wire::roster_reply roster = Roster(2, 0);
  roster.mutable_members(0)->mutable_load()->set_busy_slots(6);
  table.ApplyRoster(roster, 1'000);
  wire::execute_reply reply;
  reply.set_outcome(wire::outcome_answered);
  for (const auto& [agent, service_us] :
       {std::pair("a0", 20'000), std::pair("a1", 21'000)}) {
    reply.set_service_us(static_cast<std::uint32_t>(service_us));
    table.OnRequestSent(agent);
    table.OnRequestEnded(agent, request_class::kShort, &reply);
  }
  table.ApplyRoster(roster, 1'001);
  BOOST_TEST(table.Choose(request_class::kShort, 20, {}, 1'001).agent == "a1");
}

BOOST_AUTO_TEST_CASE(only_usable_upstream_among_many_is_found) {
  upstream_table table(InFirstDataCentre(), 1);
  wire::roster_reply roster = Roster(200, 200);
  for (int i = 0; i < roster.members_size(); ++i) {
    roster.mutable_members(i)->set_draining(i != 170);
  }
  table.ApplyRoster(roster, 1'000);
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(table.Choose(request_class::kShort, 20, {}, 1'000).agent ==
               roster.members(170).agent());
  }
  static_assert(!std::is_copy_constructible_v<upstream_table>,
                "a copy would share the index of the table");
}

BOOST_AUTO_TEST_CASE(silent_or_draining_upstream_is_not_chosen) {
  upstream_table table(InFirstDataCentre(), 1);
  wire::roster_reply roster = Roster(2, 0);
  roster.mutable_members(0)->set_draining(true);
  table.ApplyRoster(roster, 1'000);
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(table.Choose(request_class::kShort, 20, {}, 1'000).agent ==
               "a1");
  }
  BOOST_TEST(table.Choose(request_class::kShort, 20, {}, 2'501).agent.empty());
}

BOOST_AUTO_TEST_CASE(entries_with_stale_load_reports_spread_their_requests) {
  constexpr int kEntries = 12;
  std::vector<upstream_table> entries;
  for (int i = 0; i < kEntries; ++i) {
    entries.emplace_back(InFirstDataCentre(), i);
    entries.back().ApplyRoster(Roster(11, 0), 1'000);
  }
  std::map<std::string, int> counts;
  for (int round = 0; round < 20; ++round) {
    for (upstream_table& table : entries) {
      const auto choice = table.Choose(request_class::kShort, 20, {}, 1'000);
      table.OnRequestSent(choice.agent);
      ++counts[choice.agent];
    }
  }
  int max_count = 0;
  for (const auto& [agent, count] : counts) {
    max_count = std::max(max_count, count);
  }
  BOOST_TEST(max_count < 2 * 20 * kEntries / 11);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(request_flight_suite)

BOOST_AUTO_TEST_CASE(
    non_idempotent_request_is_not_retried_after_unknown_outcome) {
  retry_budget budget(0.1, 10);
  flight_options options;
  options.idempotent = false;
  options.deadline = 1'000;
  request_flight flight(options, budget);
  flight.Begin(0);
  const auto step = flight.OnOutcome(1, wire::outcome_unknown, "lost", 10);
  BOOST_TEST((step.action == flight_action::kUnknown));
}

BOOST_AUTO_TEST_CASE(request_proved_not_run_is_retried) {
  retry_budget budget(0.1, 10);
  flight_options options;
  options.idempotent = false;
  options.deadline = 1'000;
  request_flight flight(options, budget);
  flight.Begin(0);
  BOOST_TEST((flight.OnOutcome(1, wire::outcome_not_run, "full", 10).action ==
              flight_action::kSend));
}

BOOST_AUTO_TEST_CASE(retries_stop_when_the_budget_is_spent) {
  retry_budget budget(0.1, 2);
  int retries = 0;
  for (int i = 0; i < 100; ++i) {
    flight_options options;
    options.deadline = 1'000;
    request_flight flight(options, budget);
    flight.Begin(0);
    retries += flight.OnOutcome(1, wire::outcome_not_run, "", 1).action ==
                       flight_action::kSend
                   ? 1
                   : 0;
  }
  BOOST_TEST(retries <= 12);
}

// Guards against a wrong outcome when messages arrive late, repeated or out of
// order, or not at all: a client told "not run" although an attempt ran, or a
// non-idempotent request that runs twice.
BOOST_AUTO_TEST_CASE(outcomes_are_correct_under_any_order_of_messages) {
  const bool property_holds = rc::check("outcomes are correct", [] {
    retry_budget budget(0.5, 5);
    flight_options options;
    options.idempotent = *rc::gen::arbitrary<bool>();
    options.deadline = 1'000;
    options.hedge_after = *rc::gen::element<millis>(0, 100);
    request_flight flight(options, budget);
    std::map<std::uint32_t, bool> ran;  // By attempt: whether it really ran.
    int ended = 0;
    flight_step end;
    const auto handle_step = [&](const flight_step& step) {
      if (step.action == flight_action::kSend) {
        ran[step.attempt] = *rc::gen::arbitrary<bool>();
      } else if (step.action != flight_action::kWait) {
        ++ended;
        end = step;
      }
    };
    millis now = 0;
    handle_step(flight.Begin(now));
    for (const int event :
         *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6))) {
      now += 60;
      const auto attempt =
          static_cast<std::uint32_t>(*rc::gen::inRange<int>(1, 5));
      const bool sent = ran.count(attempt) != 0;
      if (event == 0) {
        handle_step(flight.OnTime(now));
      } else if (sent && event <= 2 && ran[attempt]) {
        handle_step(flight.OnOutcome(attempt, wire::outcome_answered, "", now));
      } else if (sent && event <= 2) {
        handle_step(flight.OnOutcome(attempt, wire::outcome_not_run, "", now));
      } else if (event == 3) {
        handle_step(flight.OnOutcome(attempt, wire::outcome_unknown, "", now));
      } else if (event == 4) {
        handle_step(flight.OnLeaving("leaving"));
      }
    }
    handle_step(flight.OnTime(options.deadline));
    RC_ASSERT(ended == 1);
    const auto runs = std::count_if(ran.begin(), ran.end(),
                                    [](auto entry) { return entry.second; });
    if (end.action == flight_action::kNotRun) {
      RC_ASSERT(runs == 0);
    }
    if (!options.idempotent) {
      RC_ASSERT(runs <= 1);
    }
  });
  BOOST_TEST(property_holds);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
