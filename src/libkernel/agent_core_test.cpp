// Tests of agent_core: grants, worker leases, throttling, eviction, draining.
#include <boost/test/unit_test.hpp>

#include <cmath>

#include "chervilkeel/agent_core.h"
#include "chervilkeel/cell_state.h"

namespace chervilkeel {

namespace {

constexpr millis kTenure = 10'000;
constexpr millis kHold = 1'800'000;

// An agent with a fake worker that carries out every action at once.
struct agent_fixture {
  agent_fixture() {
    options.capacity = {4'000, 10'000, 0};
    options.executor_memory_mb = 1'000;
    core = std::make_unique<agent_core>(options, log, now);
  }

  wire::owner_reply MakeReply(std::uint64_t tenure, std::uint64_t hold = 0) {
    wire::owner_reply reply;
    reply.set_epoch(epoch);
    reply.set_sequence(++sequence);
    reply.set_tenure_ms(tenure);
    reply.set_hold_ms(hold);
    return reply;
  }

  static void AddStart(wire::owner_reply& reply, std::uint32_t index) {
    auto* start = reply.add_start();
    start->mutable_id()->set_job("job@1");
    start->mutable_id()->set_index(index);
    start->mutable_id()->set_attempt(1);
    start->mutable_need()->set_milli_processors(1'000);
    start->mutable_need()->set_memory_mb(100);
  }

  // Runs one control step, applies its actions to the fake worker and reports
  // the resulting task list to the agent.
  std::vector<worker_action> Step(std::uint32_t slots) {
    auto actions = core->Tick(slots, now);
    for (const worker_action& action : actions) {
      worker_task& task = worker[action.task];
      switch (action.kind) {
        case worker_action_kind::kStart:
          task.task = action.task;
          task.need = FromWire(action.assignment.need());
          break;
        case worker_action_kind::kThrottle:
          task.share = action.share;
          break;
        case worker_action_kind::kEvict:
        case worker_action_kind::kStop:
          task.state = worker_task_state::kStopped;
          break;
        case worker_action_kind::kForget:
          worker.erase(action.task);
          break;
        default:
          break;
      }
    }
    std::vector<worker_task> listed;
    for (const auto& [name, task] : worker) {
      listed.push_back(task);
    }
    core->OnWorkerTasks(listed, now);
    return actions;
  }

  static std::size_t Count(const std::vector<worker_action>& actions,
                           worker_action_kind kind) {
    return static_cast<std::size_t>(std::count_if(
        actions.begin(), actions.end(),
        [&](const worker_action& action) { return action.kind == kind; }));
  }

  millis now = 100'000;
  std::uint64_t epoch = 1;
  std::uint64_t sequence = 0;
  agent_options options;
  decision_log log{"test", 1'000};
  std::unique_ptr<agent_core> core;
  std::map<std::string, worker_task> worker;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(agent_core_suite, agent_fixture)

BOOST_AUTO_TEST_CASE(task_without_a_grant_does_not_start) {
  wire::owner_reply reply = MakeReply(0);
  AddStart(reply, 0);
  core->OnReply(reply, now, now);
  BOOST_TEST(Count(Step(1), worker_action_kind::kStart) == 0U);
  core->OnReply(MakeReply(kTenure), now, now);
  BOOST_TEST(Count(Step(1), worker_action_kind::kStart) == 1U);
}

BOOST_AUTO_TEST_CASE(grant_duration_is_counted_from_the_sending_of_the_report) {
  core->OnReply(MakeReply(kTenure), now - 9'000, now);
  BOOST_TEST(core->GrantExpiry() == now + 1'000);
}

BOOST_AUTO_TEST_CASE(reply_received_after_its_grant_expired_grants_nothing) {
  core->OnReply(MakeReply(kTenure), now - kTenure, now);
  BOOST_TEST(!core->MayRun(now));
}

BOOST_AUTO_TEST_CASE(reply_of_an_older_epoch_or_sequence_is_ignored) {
  core->OnReply(MakeReply(kTenure), now, now);
  wire::owner_reply older = MakeReply(kTenure, kHold);
  older.set_epoch(0);
  core->OnReply(older, now, now);
  BOOST_TEST(core->GrantExpiry() == now + kTenure);
  wire::owner_reply late = MakeReply(kTenure, kHold);
  late.set_sequence(1);
  core->OnReply(late, now, now);
  BOOST_TEST(core->GrantExpiry() == now + kTenure);
}

BOOST_AUTO_TEST_CASE(worker_lease_never_outlives_the_grant) {
  wire::owner_reply reply = MakeReply(2'000);
  AddStart(reply, 0);
  core->OnReply(reply, now, now);
  for (const worker_action& action : Step(1)) {
    BOOST_TEST(action.lease_until <= now + 2'000);
  }
}

BOOST_AUTO_TEST_CASE(grant_shorter_than_a_worker_lease_is_not_accepted) {
  wire::owner_reply reply = MakeReply(kTenure, kHold);
  AddStart(reply, 0);
  core->OnReply(reply, now, now);
  Step(1);
  // The reply arrives so late that the lease ends after the granted tenure.
  core->OnReply(MakeReply(kTenure), now - kTenure + 1'000, now);
  BOOST_TEST(core->GrantExpiry() == now + kHold);
  wire::agent_report report;
  core->FillReport(report);
  BOOST_TEST(report.right_sequence() == 1U);
  core->OnReply(MakeReply(kTenure), now, now);
  BOOST_TEST(core->GrantExpiry() == now + kTenure);
}

// Guards against two runs of one task: an agent whose process took the cell
// over ran on under the hold of the owner before it, and the owner after it
// waits one tenure only for the agent of a former owner.
BOOST_AUTO_TEST_CASE(hold_ends_within_a_tenure_when_its_process_takes_over) {
  wire::owner_reply reply = MakeReply(kTenure, kHold);
  AddStart(reply, 0);
  core->OnReply(reply, now, now);
  Step(1);
  core->ShortenRight(kTenure, now);
  BOOST_TEST(core->GrantExpiry() == now + kTenure);
  // A late reply of the owner before.
  core->OnReply(MakeReply(kTenure, kHold), now, now);
  BOOST_TEST(core->GrantExpiry() == now + kTenure);
  now += kTenure - 500;
  BOOST_TEST(Count(Step(1), worker_action_kind::kEvict) == 1U);
}

BOOST_AUTO_TEST_CASE(hold_of_a_later_owner_is_not_shortened) {
  core->OnReply(MakeReply(kTenure), now, now);
  core->ShortenRight(kTenure, now);
  epoch = 3;
  core->OnReply(MakeReply(kTenure, kHold), now, now);
  BOOST_TEST(core->GrantExpiry() == now + kHold);
}

BOOST_AUTO_TEST_CASE(task_is_evicted_before_the_grant_expires) {
  wire::owner_reply reply = MakeReply(kTenure);
  AddStart(reply, 0);
  core->OnReply(reply, now, now);
  Step(1);
  now += kTenure - 500;
  BOOST_TEST(Count(Step(1), worker_action_kind::kEvict) == 1U);
}

BOOST_AUTO_TEST_CASE(started_tasks_and_slots_never_exceed_the_capacity) {
  wire::owner_reply reply = MakeReply(kTenure);
  for (std::uint32_t i = 0; i < 6; ++i) {
    AddStart(reply, i);
  }
  core->OnReply(reply, now, now);
  BOOST_TEST(Count(Step(2), worker_action_kind::kStart) == 2U);
  BOOST_TEST(core->GrantedSlots() == 2U);
}

BOOST_AUTO_TEST_CASE(request_demand_throttles_before_it_evicts) {
  wire::owner_reply reply = MakeReply(kHold);
  for (std::uint32_t i = 0; i < 3; ++i) {
    AddStart(reply, i);
  }
  core->OnReply(reply, now, now);
  Step(1);
  const auto first = Step(3);
  BOOST_TEST(Count(first, worker_action_kind::kThrottle) == 3U);
  BOOST_TEST(Count(first, worker_action_kind::kEvict) == 0U);
  BOOST_TEST(core->GrantedSlots() >= 3U);
}

BOOST_AUTO_TEST_CASE(throttled_shares_and_slots_never_exceed_the_capacity) {
  wire::owner_reply reply = MakeReply(kHold);
  for (std::uint32_t i = 0; i < 9; ++i) {
    AddStart(reply, i);
    reply.mutable_start(static_cast<int>(i))
        ->mutable_need()
        ->set_milli_processors(333 + i);
  }
  core->OnReply(reply, now, now);
  for (int i = 0; i < 200; ++i) {
    now += 200;
    Step(static_cast<std::uint32_t>(i * 7 % 5));
    double given = core->GrantedSlots() * 1'000.0;
    for (const auto& [name, task] : worker) {
      if (task.state == worker_task_state::kRunning) {
        given += static_cast<double>(task.need.milli_processors) * task.share;
      }
    }
    BOOST_TEST(given <= 4'000.0);
  }
}

BOOST_AUTO_TEST_CASE(fractions_of_a_milli_processor_are_not_granted_as_a_slot) {
  std::vector<worker_task> listed;
  for (const char* name : {"job@1/0#1", "job@1/1#1", "job@1/2#1"}) {
    worker_task task;
    task.task = name;
    task.need = {1'000, 100, 0};
    task.share = 0.6669;  // 2,000.7 of 4,000 milli-processors in total.
    listed.push_back(task);
  }
  core->OnWorkerTasks(listed, now);
  BOOST_TEST(core->GrantedSlots() == 1U);
}

BOOST_AUTO_TEST_CASE(class_that_slows_requests_most_is_throttled_first) {
  options.colocation.peak_tolerance = 1.1;
  core = std::make_unique<agent_core>(options, log, now);
  wire::owner_reply reply = MakeReply(kHold);
  for (std::uint32_t i = 0; i < 2; ++i) {
    AddStart(reply, i);
    reply.mutable_start(static_cast<int>(i))
        ->set_task_class(i == 0 ? "quiet" : "noisy");
  }
  for (const auto& [name, value] :
       {std::pair("quiet", 0.05), std::pair("noisy", 0.8)}) {
    wire::class_effect* effect = reply.add_class_effects();
    effect->set_task_class(name);
    effect->set_effect(value);
  }
  core->OnReply(reply, now, now);
  Step(0);
  for (int i = 0; i < 20; ++i) {
    now += 200;
    core->OnRequests({}, 1.0, now);
    Step(0);
  }
  BOOST_TEST(worker.at("job@1/0#1").share == 1.0);
  // The budget is log(1.1). The quiet task uses 0.05 / 4 of it; the rest,
  // divided by the noisy task's full effect of 0.8 / 4, is its share.
  BOOST_TEST(std::abs(worker.at("job@1/1#1").share - 0.414) < 0.01);
}

BOOST_AUTO_TEST_CASE(overload_resolved_by_throttling_evicts_nothing) {
  wire::owner_reply reply = MakeReply(kHold);
  for (std::uint32_t i = 0; i < 3; ++i) {
    AddStart(reply, i);
  }
  core->OnReply(reply, now, now);
  Step(1);
  for (int i = 0; i < 100; ++i) {
    now += 200;
    BOOST_TEST(Count(Step(2), worker_action_kind::kEvict) == 0U);
  }
}

BOOST_AUTO_TEST_CASE(overload_despite_throttling_evicts_the_cheapest_task) {
  wire::owner_reply reply = MakeReply(kHold);
  for (std::uint32_t i = 0; i < 3; ++i) {
    AddStart(reply, i);
  }
  core->OnReply(reply, now, now);
  Step(1);
  std::size_t evicted = 0;
  for (int i = 0; i < 100; ++i) {
    now += 200;
    evicted += Count(Step(4), worker_action_kind::kEvict);
  }
  BOOST_TEST(evicted >= 1U);
  BOOST_TEST(core->GrantedSlots() == 4U);
}

BOOST_AUTO_TEST_CASE(restarted_agent_adopts_the_running_tasks) {
  worker_task running;
  running.task = "job@1/4#2";
  running.need = {1'000, 100, 0};
  worker[running.task] = running;
  Step(0);
  wire::agent_report report;
  core->FillReport(report);
  BOOST_TEST_REQUIRE(report.tasks_size() == 1);
  BOOST_TEST(report.tasks(0).phase() == wire::phase_running);
  BOOST_TEST(NameOf(report.tasks(0).id()) == "job@1/4#2");
}

BOOST_AUTO_TEST_CASE(recalled_task_stays_until_earlier_starts_have_expired) {
  wire::owner_reply reply = MakeReply(0);
  AddStart(reply, 0);
  core->OnReply(reply, now, now);
  const wire::task_id id = reply.start(0).id();
  wire::owner_reply back = MakeReply(0);
  *back.add_give_back() = id;
  core->OnReply(back, now, now);
  wire::agent_report report;
  core->FillReport(report);
  BOOST_TEST(report.tasks(0).phase() == wire::phase_backlog);
  now += options.worker_lease;
  wire::owner_reply again = MakeReply(0);
  *again.add_give_back() = id;
  core->OnReply(again, now, now);
  report.Clear();
  core->FillReport(report);
  BOOST_TEST(report.tasks(0).phase() == wire::phase_stopped);
}

BOOST_AUTO_TEST_CASE(draining_evicts_and_reports_until_acknowledged) {
  wire::owner_reply reply = MakeReply(kTenure);
  AddStart(reply, 0);
  core->OnReply(reply, now, now);
  Step(1);
  core->Drain();
  Step(1);
  BOOST_TEST(!core->Drained());
  wire::owner_reply acknowledged = MakeReply(kTenure);
  *acknowledged.add_acknowledged() = reply.start(0).id();
  core->OnReply(acknowledged, now, now);
  Step(1);
  Step(1);
  BOOST_TEST(core->Drained());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
