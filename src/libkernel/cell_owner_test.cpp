// Unit tests of the cell owner's decisions on assignment, recovery of tasks,
// quarantine and idempotency claims, without sockets or a store.
#include <boost/test/unit_test.hpp>

#include "chervilkeel/cell_owner.h"

namespace chervilkeel {

namespace {

constexpr millis kTenure = 10'000;
constexpr millis kHold = 1'800'000;

manifest OneJob(std::uint32_t tasks, std::uint32_t milli = 1'000) {
  manifest value;
  value.house = "h";
  value.cells = {"cell"};
  wire::job_specification job;
  job.set_name("job@1");
  job.set_tasks(tasks);
  job.mutable_need()->set_milli_processors(milli);
  job.mutable_need()->set_memory_mb(100);
  job.set_run_ms(1'000);
  job.set_max_failures(3);
  job.set_task_class("job");
  value.jobs["job@1"] = job;
  return value;
}

// A cell owner with simulated agents and a journal whose commits always
// succeed.
struct owner_fixture {
  owner_fixture() { TakeOver(cell_state(), 1, ""); }

  // Replaces the owner by a new one that takes over `state` in `epoch`.
  void TakeOver(cell_state state,
                std::uint64_t epoch,
                const std::string& former) {
    wire::journal_record fence;
    fence.set_sequence(state.Sequence() + 1);
    fence.set_epoch(epoch);
    fence.set_owner("a0");
    BOOST_TEST_REQUIRE(state.Apply(fence).has_value());
    owner = std::make_unique<cell_owner>("cell", epoch, "a0", former,
                                         std::move(state), owner_options(), log,
                                         now);
    owner->SetLeaseUntil(now + 5'000);
  }

  // Returns the report of an idle agent with 4 processors and 10 GB.
  wire::agent_report Report(const std::string& name) {
    wire::agent_report report;
    report.set_agent(name);
    report.set_incarnation(1);
    report.set_worker_instance("vm-" + name);
    report.set_address(name + ":1");
    report.mutable_capacity()->set_milli_processors(4'000);
    report.mutable_capacity()->set_memory_mb(10'000);
    *report.mutable_batch_room() = report.capacity();
    return report;
  }

  // Sends a heartbeat to the owner, whose lease is valid.
  wire::owner_reply SendReport(const wire::agent_report& report) {
    owner->SetLeaseUntil(now + 5'000);
    return owner->OnReport(report, now);
  }

  // Commits all proposed changes.
  void Commit() {
    while (owner->NextRecord()) {
      BOOST_TEST_REQUIRE(owner->OnCommitted(now).has_value());
    }
  }

  // Runs enough ticks, worker queries and commits for the owner to finish what
  // it can do at the current time.
  void RunUntilStable() {
    owner->SetLeaseUntil(now + 5'000);
    for (int i = 0; i < 4; ++i) {
      owner->Tick(now);
      for (const worker_query& query : owner->TakeWorkerQueries()) {
        owner->OnWorkerAnswer(query.agent, worker_answer);
      }
      Commit();
    }
  }

  // Sends a heartbeat and then reports every task it was ordered to start as
  // ended with `phase`.
  void EndStartedTasks(wire::agent_report& report, wire::task_phase phase) {
    const wire::owner_reply reply = SendReport(report);
    for (const auto& start : reply.start()) {
      *report.add_tasks() = Task(start.id(), phase);
    }
    SendReport(report);
  }

  static wire::task_report Task(const wire::task_id& id,
                                wire::task_phase phase) {
    wire::task_report task;
    *task.mutable_id() = id;
    task.set_phase(phase);
    return task;
  }

  std::optional<wire::claim_reply> Claim(const std::string& request_id) {
    wire::claim_request request;
    request.set_key("k");
    request.set_request_id(request_id);
    return owner->Claim(request, 1'000);
  }

  wire::claim_state StateOfClaim(const std::string& request_id) {
    const auto reply = Claim(request_id);
    return reply ? reply->state() : wire::claim_unavailable;
  }

  // Claims the key for a request and commits. Returns whether it may run.
  bool MayRun(const std::string& request_id) {
    (void)Claim(request_id);
    Commit();
    return StateOfClaim(request_id) == wire::claim_granted;
  }

  void Settle(const std::string& request_id, wire::request_outcome outcome) {
    wire::settlement settled;
    settled.set_key("k");
    settled.set_request_id(request_id);
    settled.set_outcome(outcome);
    owner->Settle(settled);
  }

  // Applies a record, outside the owner, that releases the claim of the key.
  static void ApplyRelease(cell_state& state, const std::string& request_id) {
    wire::journal_record record;
    record.set_sequence(state.Sequence() + 1);
    record.set_epoch(state.Epoch());
    auto* released = record.add_changes()->mutable_unclaimed();
    released->set_key("k");
    released->set_request_id(request_id);
    BOOST_TEST_REQUIRE(state.Apply(record).has_value());
  }

  millis now = 1'000;
  // The answer of every queried worker; nullopt if workers are unreachable.
  std::optional<std::vector<worker_task>> worker_answer;
  decision_log log{"test", 1'000};
  std::unique_ptr<cell_owner> owner;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(cell_owner_suite, owner_fixture)

BOOST_AUTO_TEST_CASE(task_is_not_started_before_its_record_is_durable) {
  owner->OnManifest(OneJob(1), 1);
  Commit();
  SendReport(Report("a1"));
  owner->Tick(now);
  BOOST_TEST(SendReport(Report("a1")).start_size() == 0);
  Commit();
  BOOST_TEST(SendReport(Report("a1")).start_size() == 1);
}

BOOST_AUTO_TEST_CASE(silent_agent_keeps_its_tasks_until_its_tenure_has_ended) {
  owner->OnManifest(OneJob(1), 1);
  Commit();
  SendReport(Report("a1"));
  RunUntilStable();
  BOOST_TEST_REQUIRE(owner->State().AssignedTo("a1").size() == 1U);
  now += kTenure;
  SendReport(Report("a2"));
  RunUntilStable();
  BOOST_TEST(owner->State().AssignedTo("a1").size() == 1U);
  now += kTenure / 100 + 1;
  SendReport(Report("a2"));
  RunUntilStable();
  BOOST_TEST(owner->State().AssignedTo("a1").empty());
  BOOST_TEST(owner->State().AssignedTo("a2").size() == 1U);
}

BOOST_AUTO_TEST_CASE(agent_with_a_hold_keeps_its_tasks_past_its_tenure) {
  owner->OnManifest(OneJob(1), 1);
  Commit();
  SendReport(Report("a1"));
  RunUntilStable();
  owner->SetStoreReachable(false);
  BOOST_TEST(SendReport(Report("a1")).hold_ms() ==
             static_cast<std::uint64_t>(kHold));
  owner->SetStoreReachable(true);
  now += 10 * kTenure;
  RunUntilStable();
  BOOST_TEST(owner->State().AssignedTo("a1").size() == 1U);
  now += kHold;
  RunUntilStable();
  BOOST_TEST(owner->State().AssignedTo("a1").empty());
}

BOOST_AUTO_TEST_CASE(hold_is_over_once_the_agent_confirms_a_later_tenure) {
  owner->OnManifest(OneJob(1), 1);
  Commit();
  SendReport(Report("a1"));
  RunUntilStable();
  owner->SetStoreReachable(false);
  SendReport(Report("a1"));
  owner->SetStoreReachable(true);
  const wire::owner_reply tenure = SendReport(Report("a1"));
  wire::agent_report confirmed = Report("a1");
  confirmed.set_epoch(1);
  confirmed.set_right_sequence(tenure.sequence());
  SendReport(confirmed);
  now += kTenure + kTenure / 100 + 1;
  RunUntilStable();
  BOOST_TEST(owner->State().AssignedTo("a1").empty());
}

BOOST_AUTO_TEST_CASE(
    new_owner_waits_the_hold_out_for_an_agent_it_cannot_reach) {
  owner->OnManifest(OneJob(2), 1);
  Commit();
  SendReport(Report("a1"));
  RunUntilStable();
  TakeOver(owner->State(), 2, "a9");
  now += 2 * kTenure;
  RunUntilStable();
  BOOST_TEST(owner->State().AssignedTo("a1").size() == 2U);
  now += kHold + kHold / 100;
  RunUntilStable();
  BOOST_TEST(owner->State().AssignedTo("a1").empty());
}

BOOST_AUTO_TEST_CASE(new_owner_waits_one_tenure_for_the_former_owners_agent) {
  owner->OnManifest(OneJob(1), 1);
  Commit();
  SendReport(Report("a1"));
  RunUntilStable();
  TakeOver(owner->State(), 2, "a1");
  now += kTenure - 1;
  RunUntilStable();
  BOOST_TEST(owner->State().AssignedTo("a1").size() == 1U);
  now += kTenure / 100 + 2;
  RunUntilStable();
  BOOST_TEST(owner->State().AssignedTo("a1").empty());
}

BOOST_AUTO_TEST_CASE(
    task_finished_while_its_agent_was_dead_does_not_run_again) {
  owner->OnManifest(OneJob(1), 1);
  Commit();
  SendReport(Report("a1"));
  RunUntilStable();
  worker_task finished;
  finished.task = NameOf(SendReport(Report("a1")).start(0).id());
  finished.state = worker_task_state::kFinished;
  worker_answer = {finished};
  now += kTenure + kTenure / 100 + 1;
  RunUntilStable();
  BOOST_TEST(owner->State().Jobs().at("job@1").Ended());
}

BOOST_AUTO_TEST_CASE(task_that_its_worker_still_runs_is_not_moved) {
  owner->OnManifest(OneJob(1), 1);
  Commit();
  SendReport(Report("a1"));
  RunUntilStable();
  worker_task running;
  running.task = NameOf(SendReport(Report("a1")).start(0).id());
  worker_answer = {running};
  now += kTenure + kTenure / 100 + 1;
  RunUntilStable();
  BOOST_TEST(owner->State().AssignedTo("a1").size() == 1U);
  worker_answer->front().state = worker_task_state::kLapsed;
  worker_answer->front().checkpoint = "c9";
  RunUntilStable();
  BOOST_TEST(owner->State().AssignedTo("a1").empty());
  BOOST_TEST(owner->State().Find("job@1", 0)->checkpoint() == "c9");
}

BOOST_AUTO_TEST_CASE(owner_grants_itself_no_hold) {
  owner->SetStoreReachable(false);
  const wire::owner_reply reply = SendReport(Report("a0"));
  BOOST_TEST(reply.hold_ms() == 0U);
  BOOST_TEST(reply.tenure_ms() == static_cast<std::uint64_t>(kTenure));
}

BOOST_AUTO_TEST_CASE(owner_past_its_lease_grants_nothing) {
  SendReport(Report("a1"));
  now += 5'000;
  const wire::owner_reply reply = owner->OnReport(Report("a1"), now);
  BOOST_TEST(reply.tenure_ms() == 0U);
  BOOST_TEST(reply.hold_ms() == 0U);
  BOOST_TEST(reply.lease_lapsed());
}

BOOST_AUTO_TEST_CASE(replaced_vm_gets_no_task_that_the_old_one_may_still_run) {
  owner->OnManifest(OneJob(1), 1);
  Commit();
  SendReport(Report("a1"));
  RunUntilStable();
  wire::agent_report replaced = Report("a1");
  replaced.set_incarnation(2);
  replaced.set_worker_instance("another");
  BOOST_TEST(SendReport(replaced).start_size() == 0);
  RunUntilStable();
  BOOST_TEST(owner->State().AssignedTo("a1").size() == 1U);
}

BOOST_AUTO_TEST_CASE(restarted_agent_on_the_same_vm_gets_its_backlog_again) {
  owner->OnManifest(OneJob(1), 1);
  Commit();
  SendReport(Report("a1"));
  RunUntilStable();
  wire::agent_report restarted = Report("a1");
  restarted.set_incarnation(2);
  BOOST_TEST(SendReport(restarted).start_size() == 1);
}

BOOST_AUTO_TEST_CASE(finish_reported_by_another_agent_is_ignored) {
  owner->OnManifest(OneJob(1), 1);
  Commit();
  SendReport(Report("a1"));
  RunUntilStable();
  const wire::task_id id = SendReport(Report("a1")).start(0).id();
  wire::agent_report other = Report("a2");
  *other.add_tasks() = Task(id, wire::phase_finished);
  BOOST_TEST(SendReport(other).acknowledged_size() == 1);
  RunUntilStable();
  BOOST_TEST(owner->State().Jobs().at("job@1").finished == 0U);
}

BOOST_AUTO_TEST_CASE(finish_is_acknowledged_only_when_it_is_durable) {
  owner->OnManifest(OneJob(1), 1);
  Commit();
  SendReport(Report("a1"));
  RunUntilStable();
  wire::agent_report report = Report("a1");
  *report.add_tasks() =
      Task(SendReport(report).start(0).id(), wire::phase_finished);
  BOOST_TEST(SendReport(report).acknowledged_size() == 0);
  BOOST_TEST(SendReport(report).acknowledged_size() == 0);
  Commit();
  BOOST_TEST(SendReport(report).acknowledged_size() == 1);
  BOOST_TEST(owner->State().Jobs().at("job@1").Ended());
}

BOOST_AUTO_TEST_CASE(evicted_task_resumes_once_from_its_checkpoint) {
  owner->OnManifest(OneJob(1), 1);
  Commit();
  SendReport(Report("a1"));
  RunUntilStable();
  wire::agent_report report = Report("a1");
  wire::task_report evicted =
      Task(SendReport(report).start(0).id(), wire::phase_evicted);
  evicted.set_checkpoint("c1");
  *report.add_tasks() = evicted;
  SendReport(report);
  SendReport(report);
  RunUntilStable();
  const wire::owner_reply next = SendReport(Report("a1"));
  BOOST_TEST_REQUIRE(next.start_size() == 1);
  BOOST_TEST(next.start(0).checkpoint() == "c1");
  BOOST_TEST(next.start(0).id().attempt() == evicted.id().attempt() + 1);
}

BOOST_AUTO_TEST_CASE(job_removed_from_the_manifest_is_cancelled_and_dropped) {
  owner->OnManifest(OneJob(1), 1);
  Commit();
  SendReport(Report("a1"));
  RunUntilStable();
  wire::agent_report report = Report("a1");
  const wire::task_id id = SendReport(report).start(0).id();
  manifest empty = OneJob(1);
  empty.jobs.clear();
  owner->OnManifest(empty, 2);
  RunUntilStable();
  *report.add_tasks() = Task(id, wire::phase_running);
  BOOST_TEST(SendReport(report).withdraw_size() == 1);
  *report.mutable_tasks(0) = Task(id, wire::phase_stopped);
  SendReport(report);
  RunUntilStable();
  RunUntilStable();
  BOOST_TEST(owner->State().Jobs().empty());
}

BOOST_AUTO_TEST_CASE(older_manifest_changes_nothing) {
  owner->OnManifest(OneJob(1), 2);
  Commit();
  manifest empty = OneJob(1);
  empty.jobs.clear();
  owner->OnManifest(empty, 1);
  Commit();
  BOOST_TEST(!owner->State().Jobs().at("job@1").cancelled);
}

BOOST_AUTO_TEST_CASE(worker_with_repeated_failures_is_quarantined) {
  owner->OnManifest(OneJob(6), 1);
  Commit();
  wire::agent_report report = Report("a1");
  SendReport(report);
  RunUntilStable();
  EndStartedTasks(report, wire::phase_failed);
  SendReport(Report("a2"));
  RunUntilStable();
  BOOST_TEST(owner->State().AssignedTo("a1").empty());
  BOOST_TEST(!owner->State().AssignedTo("a2").empty());
}

BOOST_AUTO_TEST_CASE(job_that_fails_on_every_worker_is_stopped) {
  owner->OnManifest(OneJob(1), 1);
  Commit();
  for (int round = 0; round < 3; ++round) {
    for (const char* name : {"a1", "a2", "a3"}) {
      wire::agent_report report = Report(name);
      const wire::owner_reply reply = SendReport(report);
      for (const auto& start : reply.start()) {
        *report.add_tasks() = Task(start.id(), wire::phase_failed);
      }
      SendReport(report);
      RunUntilStable();
    }
  }
  BOOST_TEST(!owner->State().Jobs().at("job@1").stopped.empty());
}

BOOST_AUTO_TEST_CASE(job_that_fits_no_worker_reports_the_lacking_resource) {
  owner->OnManifest(OneJob(1, 5'000), 1);
  Commit();
  SendReport(Report("a1"));
  RunUntilStable();
  wire::jobs_reply jobs;
  owner->FillJobs(jobs, now);
  BOOST_TEST(jobs.jobs(0).state() == "fits nowhere");
  BOOST_TEST(jobs.jobs(0).reason().find("milli-processors") == 0U);
}

BOOST_AUTO_TEST_CASE(assignments_exceed_a_worker_only_by_the_queue_limit) {
  owner->OnManifest(OneJob(40), 1);
  Commit();
  SendReport(Report("a1"));
  RunUntilStable();
  BOOST_TEST(owner->State().AssignedTo("a1").size() == 6U);
}

BOOST_AUTO_TEST_CASE(teams_with_like_quotas_share_a_round_of_placement) {
  manifest value = OneJob(20);
  wire::job_specification other = value.jobs["job@1"];
  other.set_name("other@1");
  value.jobs["other@1"] = other;
  for (const char* name : {"first", "second"}) {
    team_specification team;
    team.name = name;
    team.quota = {100'000, 1'000'000, 0};
    value.teams[name] = team;
  }
  value.jobs["job@1"].set_team("first");
  value.jobs["other@1"].set_team("second");
  owner->OnManifest(value, 1);
  Commit();
  SendReport(Report("a1"));
  RunUntilStable();
  BOOST_TEST(owner->State().Jobs().at("job@1").assigned.size() == 3U);
  BOOST_TEST(owner->State().Jobs().at("other@1").assigned.size() == 3U);
}

BOOST_AUTO_TEST_CASE(task_that_would_slow_requests_too_much_goes_elsewhere) {
  owner->OnManifest(OneJob(1), 1);
  Commit();
  wire::agent_report saturated = Report("a1");
  saturated.set_effect_room(0);
  auto* running = saturated.add_tasks();
  *running = Task({}, wire::phase_running);
  SendReport(saturated);
  SendReport(Report("a2"));
  RunUntilStable();
  BOOST_TEST(owner->State().AssignedTo("a2").size() == 1U);
}

BOOST_AUTO_TEST_CASE(
    queued_task_is_recalled_only_if_its_effect_fits_another_worker) {
  for (const bool fits : {true, false}) {
    TakeOver(cell_state(), 1, "");
    owner->OnManifest(OneJob(7), 1);
    Commit();
    wire::agent_report full = Report("a1");
    SendReport(full);
    RunUntilStable();
    wire::agent_report other = Report("a2");
    SendReport(other);
    RunUntilStable();
    BOOST_TEST_REQUIRE(owner->State().AssignedTo("a2").size() == 1U);
    const wire::owner_reply given = SendReport(full);
    for (const auto& start : given.start()) {
      *full.add_tasks() = Task(start.id(), wire::phase_backlog);
    }
    if (!fits) {
      other.set_effect_room(0);
    }
    SendReport(full);
    now += owner_options().recall_delay;
    SendReport(other);
    SendReport(full);
    RunUntilStable();
    BOOST_TEST((SendReport(full).give_back_size() > 0) == fits);
  }
}

BOOST_AUTO_TEST_CASE(claim_of_a_key_is_granted_once_and_answered_after) {
  wire::claim_request first;
  first.set_key("k");
  first.set_request_id("r1");
  BOOST_TEST(!owner->Claim(first, 1'000).has_value());
  wire::claim_request second = first;
  second.set_request_id("r2");
  BOOST_TEST(owner->Claim(second, 1'000)->state() == wire::claim_in_progress);
  Commit();
  BOOST_TEST(owner->Claim(first, 1'000)->state() == wire::claim_granted);
  wire::settlement settled;
  settled.set_key("k");
  settled.set_request_id("r1");
  settled.set_outcome(wire::outcome_answered);
  owner->Settle(settled);
  BOOST_TEST(owner->Claim(second, 1'000)->state() == wire::claim_answered);
  Commit();
  BOOST_TEST(owner->Claim(second, 1'000)->state() == wire::claim_answered);
}

BOOST_AUTO_TEST_CASE(answers_kept_with_claims_stay_within_their_bound) {
  for (int i = 0; i < 500; ++i) {
    wire::claim_request request;
    request.set_key("k" + std::to_string(i));
    request.set_request_id("r" + std::to_string(i));
    (void)owner->Claim(request, 1'000);
    Commit();
    wire::settlement settled;
    settled.set_key(request.key());
    settled.set_request_id(request.request_id());
    settled.set_outcome(wire::outcome_answered);
    settled.set_body(std::string(1'000, 'x'));
    settled.set_body_kept(true);
    owner->Settle(settled);
    Commit();
  }
  BOOST_TEST(owner->State().StoredAnswerBytes() == 100'000U);
  wire::claim_request again;
  again.set_key("k499");
  again.set_request_id("other");
  BOOST_TEST(owner->Claim(again, 1'000)->state() == wire::claim_answered);
  BOOST_TEST(!owner->Claim(again, 1'000)->settled().body_kept());
  BOOST_TEST(owner->State().Snapshot().ByteSizeLong() < 1'000'000U);
}

BOOST_AUTO_TEST_CASE(key_of_a_request_that_did_not_run_can_be_claimed_again) {
  wire::claim_request request;
  request.set_key("k");
  request.set_request_id("r1");
  (void)owner->Claim(request, 1'000);
  Commit();
  wire::settlement settled;
  settled.set_key("k");
  settled.set_request_id("r1");
  settled.set_outcome(wire::outcome_not_run);
  owner->Settle(settled);
  Commit();
  request.set_request_id("r2");
  BOOST_TEST(!owner->Claim(request, 1'000).has_value());
}

// Guards against two requests that run under one key: the claim of "r2" was
// refused, its answer was lost, and "r2" ended as not run at its deadline.
BOOST_AUTO_TEST_CASE(key_is_not_freed_by_a_request_that_does_not_hold_it) {
  BOOST_TEST_REQUIRE(MayRun("r1"));
  BOOST_TEST(StateOfClaim("r2") == wire::claim_in_progress);
  Settle("r2", wire::outcome_not_run);
  Commit();
  BOOST_TEST(!MayRun("r3"));
}

// Guards against the same when the claim of the key is not durable yet.
BOOST_AUTO_TEST_CASE(key_being_claimed_is_not_freed_by_another_request) {
  BOOST_TEST(!Claim("r1").has_value());
  Settle("r2", wire::outcome_not_run);
  Commit();
  BOOST_TEST(StateOfClaim("r1") == wire::claim_granted);
  BOOST_TEST(!MayRun("r3"));
}

// Guards against the same under the next owner, which has only the snapshot.
BOOST_AUTO_TEST_CASE(key_is_not_freed_by_another_request_under_a_new_owner) {
  BOOST_TEST_REQUIRE(MayRun("r1"));
  TakeOver(cell_state::Restore(owner->State().Snapshot()), 2, "a0");
  Settle("r2", wire::outcome_not_run);
  Commit();
  BOOST_TEST(!MayRun("r3"));
}

// Guards against an answered request that runs again.
BOOST_AUTO_TEST_CASE(answer_is_kept_when_another_request_did_not_run) {
  BOOST_TEST_REQUIRE(MayRun("r1"));
  Settle("r1", wire::outcome_answered);
  Settle("r2", wire::outcome_not_run);
  Commit();
  BOOST_TEST(StateOfClaim("r3") == wire::claim_answered);
}

BOOST_AUTO_TEST_CASE(key_given_up_before_its_claim_is_durable_is_free) {
  BOOST_TEST(!Claim("r1").has_value());
  Settle("r1", wire::outcome_not_run);
  Commit();
  BOOST_TEST(MayRun("r2"));
}

// Guards against two requests that run under one key after a replay.
BOOST_AUTO_TEST_CASE(replayed_release_frees_only_the_claim_of_its_request) {
  BOOST_TEST_REQUIRE(MayRun("r1"));
  cell_state state = owner->State();
  ApplyRelease(state, "r2");
  BOOST_TEST(state.Claims().count("k") == 1U);
  ApplyRelease(state, "r1");
  BOOST_TEST(state.Claims().empty());
}

// Guards against a replay of earlier releases' records that comes to another
// state than theirs, so that claims recorded after it are lost.
BOOST_AUTO_TEST_CASE(replayed_release_without_a_request_frees_the_key) {
  BOOST_TEST_REQUIRE(MayRun("r1"));
  cell_state state = owner->State();
  ApplyRelease(state, "");
  BOOST_TEST(state.Claims().empty());
}

// Guards against a repetition that is told of a request that never ran, in
// place of the answer.
BOOST_AUTO_TEST_CASE(pending_answer_is_not_replaced_by_another_request) {
  BOOST_TEST_REQUIRE(MayRun("r1"));
  Settle("r2", wire::outcome_unknown);
  BOOST_TEST(StateOfClaim("r3") == wire::claim_in_progress);
  Settle("r1", wire::outcome_answered);
  Settle("r2", wire::outcome_unknown);
  BOOST_TEST(Claim("r3")->settled().request_id() == "r1");
  Commit();
  BOOST_TEST(Claim("r3")->settled().request_id() == "r1");
}

// Guards against "may have run" for a request whose first claim got no answer
// in time, as while the store is slow: it was never sent.
BOOST_AUTO_TEST_CASE(repeated_claim_waits_for_the_record_of_the_first) {
  BOOST_TEST(!Claim("r1").has_value());
  BOOST_TEST(!Claim("r1").has_value());
  BOOST_TEST(StateOfClaim("r2") == wire::claim_in_progress);
  BOOST_TEST_REQUIRE(owner->NextRecord().has_value());
  BOOST_TEST(owner->InFlight().changes_size() == 1);
  BOOST_TEST(!Claim("r1").has_value());
  BOOST_TEST_REQUIRE(owner->OnCommitted(now).has_value());
  BOOST_TEST(StateOfClaim("r1") == wire::claim_granted);
  BOOST_TEST(!owner->NextRecord().has_value());
}

BOOST_AUTO_TEST_CASE(restored_snapshot_equals_the_original) {
  owner->OnManifest(OneJob(20), 1);
  Commit();
  wire::agent_report report = Report("a1");
  SendReport(report);
  RunUntilStable();
  EndStartedTasks(report, wire::phase_finished);
  RunUntilStable();
  const wire::cell_snapshot snapshot = owner->State().Snapshot();
  BOOST_TEST(cell_state::Restore(snapshot).Snapshot().SerializeAsString() ==
             snapshot.SerializeAsString());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
