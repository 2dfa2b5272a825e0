#include "job_scheduler_fixture.h"

#include <boost/test/unit_test.hpp>

namespace chervilkeel {

BOOST_FIXTURE_TEST_SUITE(job_scheduler_decisions, scheduler_fixture)

BOOST_AUTO_TEST_CASE(job_whose_tasks_are_done_completes_once_that_is_stored) {
  ReportIdleWorker("a");
  scheduler.AddJob(MakeJob("j", 2), now);
  Tick();
  const auto orders = TakeOrders("a");
  BOOST_REQUIRE_EQUAL(orders.size(), 2);
  for (const worker_order& order : orders) {
    ReportStart("a", order, start_outcome::kStarted);
    ReportEnd("a", order, run_end::kDone);
  }
  BOOST_TEST(NameOf(*scheduler.StateOf("j")) == "running");
  Commit();
  BOOST_TEST(NameOf(*scheduler.StateOf("j")) == "completed");
}

BOOST_AUTO_TEST_CASE(end_that_is_not_stored_yet_is_not_acknowledged) {
  ReportIdleWorker("a");
  scheduler.AddJob(MakeJob("j", 1), now);
  Tick();
  ReportEnd("a", TakeOrders("a").at(0), run_end::kDone);
  BOOST_TEST(scheduler.RecordedEnd("a") == 0);
  const auto changes = scheduler.TakeChanges(kWallMs);
  BOOST_REQUIRE(changes);
  BOOST_TEST(scheduler.RecordedEnd("a") == 0);
  scheduler.CommitFailed(*changes);
  BOOST_TEST(scheduler.RecordedEnd("a") == 0);
  Commit();
  BOOST_TEST(scheduler.RecordedEnd("a") == 1);
}

BOOST_AUTO_TEST_CASE(run_missing_from_a_list_older_than_its_start_is_kept) {
  ReportIdleWorker("a");
  scheduler.AddJob(MakeJob("j", 1), now);
  Tick();
  ReportStart("a", TakeOrders("a").at(0), start_outcome::kStarted);
  now += 300;
  worker_report report = MakeReport("a");
  report.has_runs = true;
  report.runs_age = 400;
  scheduler.OnReport(report, now);
  Tick();
  BOOST_TEST(TakeOrders("a").empty());
}

// Guards against one odd row that hides the other rows of its list, or lets a
// task run in two places (TWICE): the run that is missing may be the odd one.
BOOST_AUTO_TEST_CASE(runs_in_an_incomplete_list_are_adopted_and_others_kept) {
  ReportIdleWorker("a");
  scheduler.AddJob(MakeJob("j", 1), now);
  Tick();
  ReportStart("a", TakeOrders("a").at(0), start_outcome::kStarted);
  now += 1'500;
  worker_report report = MakeReport("a");
  run_status other;
  other.task = {"unknown", 0, 0, 0};
  other.run = 9;
  report.runs.push_back(other);
  scheduler.OnReport(report, now);
  Tick();
  const auto stops = TakeOrders("a");
  BOOST_REQUIRE_EQUAL(stops.size(), 1);
  BOOST_TEST(stops[0].task.job == "unknown");
  BOOST_CHECK(stops[0].kind == order_kind::kStop);
}

// Guards against an end that is lost (TWICE): its agent could read it only
// after it had told a later one.
BOOST_AUTO_TEST_CASE(end_that_comes_after_a_later_one_is_processed_and_stored) {
  ReportIdleWorker("a");
  scheduler.AddJob(MakeJob("j", 2), now);
  Tick();
  const auto orders = TakeOrders("a");
  BOOST_REQUIRE_EQUAL(orders.size(), 2);
  const auto report_end = [&](std::uint64_t number, const worker_order& order) {
    worker_report report = MakeReport("a");
    report.ends.push_back({number, order.task, order.run, run_end::kDone, ""});
    scheduler.OnReport(report, now);
  };
  report_end(2, orders[1]);
  const auto changes = scheduler.TakeChanges(kWallMs);
  BOOST_REQUIRE(changes);
  report_end(1, orders[0]);
  scheduler.Committed(changes->number);
  BOOST_TEST(scheduler.RecordedEnd("a") == 0);
  Commit();
  BOOST_TEST(scheduler.RecordedEnd("a") == 2);
  const scheduled_job& job = scheduler.Jobs().at("j");
  BOOST_TEST(job.done_tasks == 2);
  const auto begun_runs = job.begun_runs;
  report_end(1, orders[0]);
  BOOST_TEST(job.begun_runs == begun_runs);
}

BOOST_AUTO_TEST_CASE(run_missing_from_a_fresh_list_starts_under_a_higher_run) {
  ReportIdleWorker("a");
  scheduler.AddJob(MakeJob("j", 1), now);
  Tick();
  const worker_order first = TakeOrders("a").at(0);
  ReportStart("a", first, start_outcome::kStarted);
  now += 2'000;
  worker_report report = MakeReport("a");
  report.has_runs = true;
  scheduler.OnReport(report, now);
  Tick();
  const auto orders = TakeOrders("a");
  BOOST_REQUIRE_EQUAL(orders.size(), 1);
  BOOST_TEST(orders[0].run > first.run);
}

BOOST_AUTO_TEST_CASE(step_waits_until_every_task_before_it_is_done) {
  ReportIdleWorker("a");
  job_record record = MakeJob("j", 2);
  record.spec.steps.push_back(record.spec.steps[0]);
  record.spec.steps[1].after = {0};
  scheduler.AddJob(record, now);
  Tick();
  const auto orders = TakeOrders("a");
  BOOST_REQUIRE_EQUAL(orders.size(), 2);
  ReportEnd("a", orders[0], run_end::kDone);
  BOOST_TEST(TakeOrders("a").empty());
  ReportEnd("a", orders[1], run_end::kDone);
  const auto next = TakeOrders("a");
  BOOST_REQUIRE_EQUAL(next.size(), 2);
  BOOST_TEST(next[0].task.step == 1);
}

BOOST_AUTO_TEST_CASE(cancelled_job_stops_its_runs_and_starts_no_more) {
  ReportIdleWorker("a");
  scheduler.AddJob(MakeJob("j", 6), now);
  Tick();
  const auto orders = TakeOrders("a");
  BOOST_REQUIRE_EQUAL(orders.size(), 4);
  BOOST_TEST(scheduler.CancelJob("j"));
  const auto stops = TakeOrders("a");
  BOOST_REQUIRE_EQUAL(stops.size(), 4);
  for (const worker_order& stop : stops) {
    BOOST_CHECK(stop.kind == order_kind::kStop);
  }
  ReportEnd("a", orders[0], run_end::kStopped);
  BOOST_TEST(TakeOrders("a").empty());
  BOOST_TEST(NameOf(*scheduler.StateOf("j")) == "cancelled");
}

BOOST_AUTO_TEST_CASE(
    stopping_task_holds_its_resources_until_its_end_is_reported) {
  ReportIdleWorker("a");
  scheduler.AddJob(MakeJob("first", 4), now);
  Tick();
  const auto orders = TakeOrders("a");
  BOOST_REQUIRE_EQUAL(orders.size(), 4);
  scheduler.CancelJob("first");
  scheduler.AddJob(MakeJob("second", 1), now);
  Tick();
  BOOST_TEST(TakeOrders("a").size() == 4);  // Only stops.
  ReportEnd("a", orders[0], run_end::kStopped);
  const auto next = TakeOrders("a");
  BOOST_REQUIRE_EQUAL(next.size(), 1);
  BOOST_TEST(next[0].task.job == "second");
}

BOOST_AUTO_TEST_CASE(job_fails_after_its_last_attempt) {
  ReportIdleWorker("a");
  scheduler.AddJob(MakeJob("j", 1), now);
  Tick();
  for (int attempt = 0; attempt < 3; ++attempt) {
    now += 5'000;
    ReportIdleWorker("a");
    const auto orders = TakeOrders("a");
    BOOST_REQUIRE_EQUAL(orders.size(), 1);
    ReportEnd("a", orders[0], run_end::kFailed);
  }
  Commit();
  BOOST_TEST(NameOf(*scheduler.StateOf("j")) == "failed");
  BOOST_TEST(TakeOrders("a").empty());
}

BOOST_AUTO_TEST_CASE(
    task_of_a_silent_agent_restarts_only_after_its_grant_expires) {
  ReportIdleWorker("a");
  scheduler.AddJob(MakeJob("j", 1), now);
  Tick();
  const worker_order first = TakeOrders("a").at(0);
  ReportStart("a", first, start_outcome::kStarted);
  const millis granted = now;
  PassTime(options.grant);
  ReportIdleWorker("b");
  BOOST_TEST(TakeOrders("b").empty());
  PassTime(granted + options.grant + options.grant / 10 + options.grant_margin -
           now);
  const auto moved = TakeOrders("b");
  BOOST_REQUIRE_EQUAL(moved.size(), 1);
  BOOST_TEST(moved[0].run > first.run);
}

BOOST_AUTO_TEST_CASE(step_with_a_limit_per_worker_does_not_exceed_it) {
  ReportIdleWorker("a");
  ReportIdleWorker("b");
  job_record record = MakeJob("j", 4);
  record.spec.steps[0].most_per_worker = 1;
  scheduler.AddJob(record, now);
  Tick();
  BOOST_TEST(TakeOrders("a").size() == 1);
  BOOST_TEST(TakeOrders("b").size() == 1);
}

BOOST_AUTO_TEST_CASE(draining_worker_gets_no_new_task) {
  ReportIdleWorker("a");
  worker_report report = MakeReport("a");
  report.worker.draining = true;
  report.worker.remaining = 10'000;
  scheduler.OnReport(report, now);
  scheduler.AddJob(MakeJob("j", 1), now);
  Tick();
  BOOST_TEST(TakeOrders("a").empty());
}

BOOST_AUTO_TEST_CASE(agent_whose_membership_is_not_stored_gets_no_task) {
  worker_report report = MakeReport("a");
  report.has_runs = true;
  scheduler.OnReport(report, now);
  scheduler.AddJob(MakeJob("j", 1), now);
  Tick();
  BOOST_TEST(TakeOrders("a").empty());
  Commit();
  Tick();
  BOOST_TEST(TakeOrders("a").size() == 1);
}

// Guards against services that are spread over many workers: a later peak of
// batch work would then interfere with a service on every worker.
BOOST_AUTO_TEST_CASE(services_share_few_workers_and_leave_others_free) {
  for (const char* agent : {"a", "b", "c", "d"}) {
    ReportIdleWorker(agent);
  }
  job_record record = MakeJob("service", 4);
  record.spec.steps[0].service = true;
  record.spec.steps[0].tail_target = 20;
  scheduler.AddJob(record, now);
  Tick();
  std::size_t workers = 0;
  for (const char* agent : {"a", "b", "c", "d"}) {
    workers += TakeOrders(agent).empty() ? 0 : 1;
  }
  BOOST_TEST(workers == 1);
}

BOOST_AUTO_TEST_CASE(run_of_an_unknown_job_is_stopped) {
  worker_report report = MakeReport("a");
  report.has_runs = true;
  run_status status;
  status.task = {"forgotten", 0, 0, 0};
  status.run = 7;
  report.runs.push_back(status);
  scheduler.OnReport(report, now);
  Commit();
  const auto orders = TakeOrders("a");
  BOOST_REQUIRE_EQUAL(orders.size(), 1);
  BOOST_CHECK(orders[0].kind == order_kind::kStop);
  BOOST_TEST(orders[0].run == 7);
}

// Guards against more tasks than a worker has room for (LIMIT): a run of a
// cancelled job goes on until it has stopped, also in an occurrence that the
// new owner has not opened.
BOOST_AUTO_TEST_CASE(run_of_a_cancelled_repeating_job_keeps_its_room) {
  job_record record = MakeJob("j", 1);
  record.spec.repeats = 2;
  record.spec.first_due_ms = kWallMs;
  record.spec.repeat_interval = 1'000;
  scheduler.Restore({record}, {}, {"j"}, {"a"}, now);
  worker_report report = MakeReport("a");
  report.has_runs = true;
  run_status status;
  status.task = {"j", 1, 0, 0};
  status.run = 7;
  report.runs.push_back(status);
  scheduler.OnReport(report, now);
  BOOST_TEST(scheduler.Workers().at("a").used.milli_processors ==
             record.spec.steps[0].size.milli_processors);
  Commit();
  const auto orders = TakeOrders("a");
  BOOST_REQUIRE_EQUAL(orders.size(), 1);
  BOOST_CHECK(orders[0].kind == order_kind::kStop);
}

// A surge: there is room for one task, and a job of two steps is in its second
// one while a job of one step of the same size has just come.
BOOST_AUTO_TEST_CASE(surge_gives_room_to_the_job_with_less_left_to_do) {
  ReportIdleWorker("a");
  job_record half_done = MakeJob("z", 1);
  half_done.accepted_ms = kWallMs + now;
  half_done.spec.steps[0].size = {4'000, 100, 0};
  half_done.spec.steps.push_back(half_done.spec.steps[0]);
  half_done.spec.steps[1].after = {0};
  scheduler.AddJob(half_done, now);
  Tick();
  const worker_order first = TakeOrders("a").at(0);
  job_record fresh = MakeJob("b", 1);
  fresh.accepted_ms = kWallMs + now;
  fresh.spec.steps[0].size = {4'000, 100, 0};
  fresh.spec.steps[0].expected = 900;
  scheduler.AddJob(fresh, now);
  ReportEnd("a", first, run_end::kDone);
  const auto orders = TakeOrders("a");
  BOOST_REQUIRE_EQUAL(orders.size(), 1);
  BOOST_TEST(orders[0].task.job == "z");
}

// A task of the first step would end within the objective, but the steps behind
// it would not.
BOOST_AUTO_TEST_CASE(
    job_whose_later_steps_would_be_late_goes_after_one_in_time) {
  ReportIdleWorker("a");
  job_record late = MakeJob("a", 1);
  late.spec.steps[0].size = {4'000, 100, 0};
  late.spec.steps.push_back(late.spec.steps[0]);
  late.spec.steps[1].after = {0};
  late.accepted_ms = kWallMs + now - 2'500;
  job_record in_time = MakeJob("b", 4);
  in_time.spec.steps[0].size = {4'000, 100, 0};
  in_time.accepted_ms = kWallMs + now;
  scheduler.AddJob(late, now);
  scheduler.AddJob(in_time, now);
  Tick();
  const auto orders = TakeOrders("a");
  BOOST_REQUIRE_EQUAL(orders.size(), 1);
  BOOST_TEST(orders[0].task.job == "b");
}

// Lists of runs stop coming for a while, with the network or the agent slow.
// Nothing shows that the task itself makes no progress.
BOOST_AUTO_TEST_CASE(task_is_not_stopped_as_stuck_while_its_worker_is_silent) {
  ReportIdleWorker("a");
  scheduler.AddJob(MakeJob("j", 1), now);
  Tick();
  const worker_order start = TakeOrders("a").at(0);
  ReportStart("a", start, start_outcome::kStarted);
  PassTime(options.grant - 100);
  BOOST_TEST(TakeOrders("a").empty());
}

BOOST_AUTO_TEST_CASE(task_listed_without_progress_is_stopped) {
  ReportIdleWorker("a");
  scheduler.AddJob(MakeJob("j", 1), now);
  Tick();
  const worker_order start = TakeOrders("a").at(0);
  ReportStart("a", start, start_outcome::kStarted);
  worker_report report = MakeReport("a");
  report.has_runs = true;
  run_status status;
  status.task = start.task;
  status.run = start.run;
  status.percent = 30;
  report.runs.push_back(status);
  for (int i = 0; i < 12; ++i) {
    scheduler.OnReport(report, now);
    PassTime(250);
  }
  const auto orders = TakeOrders("a");
  BOOST_REQUIRE_EQUAL(orders.size(), 1);
  BOOST_CHECK(orders[0].kind == order_kind::kStop);
}

// The agent's process acknowledged the stop and ended before the executor had
// it. Its successor lists the run on and knows nothing of the stop.
BOOST_AUTO_TEST_CASE(
    stop_that_was_lost_with_the_agents_process_is_ordered_again) {
  ReportIdleWorker("a");
  scheduler.AddJob(MakeJob("j", 1), now);
  Tick();
  const worker_order start = TakeOrders("a").at(0);
  ReportStart("a", start, start_outcome::kStarted);
  scheduler.CancelJob("j");
  BOOST_REQUIRE_EQUAL(TakeOrders("a").size(), 1);
  worker_report report = MakeReport("a");
  report.has_runs = true;
  run_status status;
  status.task = start.task;
  status.run = start.run;
  report.runs.push_back(status);
  std::size_t stops = 0;
  for (int i = 0; i < 10; ++i) {
    scheduler.OnReport(report, now);
    PassTime(250);
    stops += TakeOrders("a").size();
  }
  BOOST_TEST(stops == 1);
}

// The owner's process was paused or had no processor time. The agent's reports
// wait for it, among them the end of the task.
BOOST_AUTO_TEST_CASE(
    task_that_ended_while_the_owner_was_paused_is_not_run_again) {
  ReportIdleWorker("a");
  ReportIdleWorker("b");
  scheduler.AddJob(MakeJob("j", 1), now);
  Tick();
  const auto on_a = TakeOrders("a");
  const std::string agent = on_a.empty() ? "b" : "a";
  const worker_order start = on_a.empty() ? TakeOrders("b").at(0) : on_a[0];
  ReportStart(agent, start, start_outcome::kStarted);
  now += options.grant + 2'000;
  Tick();
  PassTime(400);
  ReportEnd(agent, start, run_end::kDone);
  ReportIdleWorker("a");
  ReportIdleWorker("b");
  for (const char* name : {"a", "b"}) {
    for (const worker_order& order : TakeOrders(name)) {
      BOOST_ERROR(name << " got an order for run " << order.run << ": "
                       << order.reason);
    }
  }
  Commit();
  BOOST_TEST(NameOf(*scheduler.StateOf("j")) == "completed");
}

// A pause postpones the judgement, and a worker that stays silent is given up
// all the same.
BOOST_AUTO_TEST_CASE(worker_silent_beyond_a_pause_of_the_owner_is_given_up) {
  ReportIdleWorker("a");
  scheduler.AddJob(MakeJob("j", 1), now);
  Tick();
  ReportStart("a", TakeOrders("a").at(0), start_outcome::kStarted);
  now += options.grant + 2'000;
  Tick();
  for (int i = 0; i < 3; ++i) {
    now += 1'200;
    Tick();
  }
  ReportIdleWorker("b");
  BOOST_TEST(TakeOrders("b").size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

// A scheduler that takes over from one of a lower epoch.
struct takeover_fixture : scheduler_fixture {
  takeover_fixture() {
    options.epoch = 2;
    scheduler = job_scheduler(options, 0);
    scheduling_config config;
    config.version = 1;
    queue_policy queue;
    queue.name = "paths";
    queue.service = "cutting";
    config.queues["paths"] = queue;
    scheduler.SetConfig(config);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(job_scheduler_takeover, takeover_fixture)

BOOST_AUTO_TEST_CASE(task_found_running_is_adopted_and_not_started_again) {
  scheduler.Restore({MakeJob("j", 1)}, {}, {}, {"a"}, now);
  worker_report report = MakeReport("a");
  report.has_runs = true;
  run_status status;
  status.task = {"j", 0, 0, 0};
  status.run = 1;
  report.runs.push_back(status);
  scheduler.OnReport(report, now);
  Commit();
  Tick();
  BOOST_TEST(TakeOrders("a").empty());
}

BOOST_AUTO_TEST_CASE(
    restored_task_waits_until_every_former_worker_has_reported) {
  scheduler.Restore({MakeJob("j", 1)}, {}, {}, {"a", "b"}, now);
  ReportIdleWorker("a");
  BOOST_TEST(TakeOrders("a").empty());
  ReportIdleWorker("b");
  BOOST_TEST(TakeOrders("a").size() + TakeOrders("b").size() == 1);
}

// Guards against a task that is started after its last attempt has failed
// (BUDGET), or runs twice (TWICE): the end of an earlier run waits at a former
// worker that has not reported.
BOOST_AUTO_TEST_CASE(adopted_task_that_fails_waits_for_every_former_worker) {
  scheduler.Restore({MakeJob("j", 1)}, {}, {}, {"a", "b"}, now);
  worker_report adopted = MakeReport("a");
  adopted.has_runs = true;
  adopted.runs.push_back({{"j", 0, 0, 0}, 2, "", 10, 0});
  scheduler.OnReport(adopted, now);
  Commit();
  worker_report failed = MakeReport("a");
  failed.has_runs = true;
  failed.ends.push_back({1, {"j", 0, 0, 0}, 2, run_end::kFailed, ""});
  scheduler.OnReport(failed, now);
  Tick();
  BOOST_TEST(TakeOrders("a").empty());
  ReportIdleWorker("b");
  BOOST_TEST(TakeOrders("a").size() + TakeOrders("b").size() == 1);
}

// Guards against a task that runs twice (TWICE): its run under the former owner
// stands in a row that can't be read, and would be granted its life while the
// task starts elsewhere.
BOOST_AUTO_TEST_CASE(
    former_worker_gets_no_grant_until_it_has_listed_all_its_runs) {
  scheduler.Restore({MakeJob("j", 1)}, {}, {}, {"a", "b"}, now);
  ReportIdleWorker("b");
  worker_report report = MakeReport("a");
  run_status other;
  other.task = {"unknown", 0, 0, 0};
  other.run = 9;
  report.runs.push_back(other);
  scheduler.OnReport(report, now);
  Commit();
  Tick();
  BOOST_TEST(scheduler.MayGrant("b"));
  BOOST_TEST(!scheduler.MayGrant("a"));
  BOOST_TEST(TakeOrders("b").empty());
  ReportIdleWorker("a");
  BOOST_TEST(scheduler.MayGrant("a"));
}

BOOST_AUTO_TEST_CASE(
    restored_task_starts_once_the_lease_of_a_silent_worker_has_expired) {
  scheduler.Restore({MakeJob("j", 1)}, {}, {}, {"a", "b"}, now);
  ReportIdleWorker("a");
  PassTime(options.longest_lease + options.longest_lease / 10 +
           options.grant_margin);
  ReportIdleWorker("a");
  const auto orders = TakeOrders("a");
  BOOST_REQUIRE_EQUAL(orders.size(), 1);
  BOOST_TEST(orders[0].run > options.runs_per_epoch);
}

BOOST_AUTO_TEST_CASE(job_accepted_under_this_epoch_starts_without_waiting) {
  scheduler.Restore({MakeJob("old", 1)}, {}, {}, {"a", "b"}, now);
  ReportIdleWorker("a");
  job_record record = MakeJob("new", 1);
  record.epoch = options.epoch;
  scheduler.AddJob(record, now);
  Tick();
  const auto orders = TakeOrders("a");
  BOOST_REQUIRE_EQUAL(orders.size(), 1);
  BOOST_TEST(orders[0].task.job == "new");
}

// The former owner may not know yet that it was replaced, and starts what it
// finds in the inbox. Both owners see the same job: the one of its epoch starts
// it, and the new one waits for the workers that still obey the former.
BOOST_AUTO_TEST_CASE(job_accepted_under_a_former_epoch_waits_for_its_workers) {
  scheduler_options former_options = options;
  former_options.epoch = options.epoch - 1;
  job_scheduler former(former_options, now);
  former.Restore({}, {}, {}, {"a", "b"}, now);
  scheduler.Restore({}, {}, {}, {"a", "b"}, now);
  job_record record = MakeJob("j", 1);
  record.epoch = former_options.epoch;

  former.AddJob(record, now);
  worker_report obeys_former = MakeReport("b");
  obeys_former.has_runs = true;
  former.OnReport(obeys_former, now);
  former.Tick(now, kWallMs + now);
  BOOST_TEST(former.OrdersFor("b", 0).size() == 1);

  ReportIdleWorker("a");
  scheduler.AddJob(record, now);
  Tick();
  BOOST_TEST(TakeOrders("a").empty());
  ReportIdleWorker("b");
  BOOST_TEST(TakeOrders("a").size() + TakeOrders("b").size() == 1);
}

// A replaced owner that still watches the inbox finds the jobs that entries
// have stored under its successor.
BOOST_AUTO_TEST_CASE(job_accepted_under_a_later_epoch_is_left_to_its_owner) {
  ReportIdleWorker("a");
  job_record record = MakeJob("j", 1);
  record.epoch = options.epoch + 1;
  scheduler.AddJob(record, now);
  Tick();
  BOOST_TEST(TakeOrders("a").empty());
  BOOST_TEST(!scheduler.StateOf("j"));
  scheduler.RaiseEpoch(record.epoch);
  scheduler.AddJob(record, now);
  Tick();
  BOOST_TEST(TakeOrders("a").size() == 1);
}

// The former owner opened an occurrence and started it, and no progress of the
// job was stored yet.
BOOST_AUTO_TEST_CASE(
    occurrence_without_stored_progress_waits_for_former_workers) {
  job_record record = MakeJob("j", 1);
  record.spec.repeats = 3;
  record.spec.first_due_ms = kWallMs;
  record.spec.repeat_interval = 60'000;
  scheduler.Restore({record}, {}, {}, {"a", "b"}, now);
  ReportIdleWorker("a");
  BOOST_TEST(TakeOrders("a").empty());
  ReportIdleWorker("b");
  BOOST_TEST(TakeOrders("a").size() + TakeOrders("b").size() == 1);
}

// By this owner's clock the occurrence is not due yet; by the former one's it
// was.
BOOST_AUTO_TEST_CASE(run_of_an_occurrence_not_yet_open_is_adopted) {
  job_record record = MakeJob("j", 1);
  record.spec.repeats = 3;
  record.spec.first_due_ms = kWallMs + 5'000;
  record.spec.repeat_interval = 5'000;
  scheduler.Restore({record}, {}, {}, {"a"}, now);
  worker_report report = MakeReport("a");
  report.has_runs = true;
  run_status status;
  status.task = {"j", 1, 0, 0};
  status.run = 1;
  report.runs.push_back(status);
  scheduler.OnReport(report, now);
  Commit();
  now += 16'000;
  report.runs[0].percent = 50;
  scheduler.OnReport(report, now);
  Tick();
  std::set<std::uint32_t> started;
  for (const worker_order& order : TakeOrders("a")) {
    BOOST_CHECK(order.kind == order_kind::kStart);
    started.insert(order.task.occurrence);
  }
  BOOST_TEST((started == std::set<std::uint32_t>{0, 2}));
}

BOOST_AUTO_TEST_CASE(end_in_an_occurrence_not_yet_open_is_not_run_again) {
  job_record record = MakeJob("j", 1);
  record.spec.repeats = 1;
  record.spec.first_due_ms = kWallMs + 5'000;
  record.spec.repeat_interval = 5'000;
  scheduler.Restore({record}, {}, {}, {"a"}, now);
  worker_report report = MakeReport("a");
  report.has_runs = true;
  report.ends.push_back({1, {"j", 0, 0, 0}, 1, run_end::kDone, ""});
  scheduler.OnReport(report, now);
  Commit();
  now += 16'000;
  scheduler.OnReport(report, now);
  Tick();
  BOOST_TEST(TakeOrders("a").empty());
  BOOST_TEST(NameOf(*scheduler.StateOf("j")) == "completed");
}

// Progress is stored of occurrences with a task that is done. An earlier one
// whose tasks all still run has none.
BOOST_AUTO_TEST_CASE(occurrence_before_a_stored_one_is_not_lost) {
  job_record record = MakeJob("j", 1);
  record.spec.repeats = 2;
  record.spec.first_due_ms = kWallMs;
  record.spec.repeat_interval = 100;
  job_progress progress;
  progress.id = "j";
  progress.state = job_state::kRunning;
  step_progress step;
  step.occurrence = 1;
  step.done = "1";
  progress.steps.push_back(step);
  scheduler.Restore({record}, {progress}, {}, {"a"}, now);
  ReportIdleWorker("a");
  const auto orders = TakeOrders("a");
  BOOST_REQUIRE_EQUAL(orders.size(), 1);
  BOOST_TEST(orders[0].task.occurrence == 0);
}

// An executor reports an end until its record is acknowledged. When an owner
// fails between the two, its successor finds the failure stored and gets it
// reported again.
BOOST_AUTO_TEST_CASE(failure_recorded_before_a_takeover_counts_once) {
  job_progress progress;
  progress.id = "j";
  progress.state = job_state::kRunning;
  step_progress step;
  step.done = "0";
  step.failed_runs[0] = {1, 2};
  progress.steps.push_back(step);
  scheduler.Restore({MakeJob("j", 1)}, {progress}, {}, {"a"}, now);
  worker_report report = MakeReport("a");
  report.has_runs = true;
  report.ends.push_back({1, {"j", 0, 0, 0}, 1, run_end::kFailed, ""});
  report.ends.push_back({2, {"j", 0, 0, 0}, 2, run_end::kFailed, ""});
  scheduler.OnReport(report, now);
  Commit();
  Tick();
  BOOST_TEST(NameOf(*scheduler.StateOf("j")) == "running");
  BOOST_TEST(TakeOrders("a").size() == 1);
}

BOOST_AUTO_TEST_CASE(job_of_a_removed_queue_keeps_its_attempt_limit) {
  job_record record = MakeJob("j", 1);
  record.queue.name = "dropped";
  record.queue.max_attempts = 1;
  scheduler.Restore({record}, {}, {}, {"a"}, now);
  ReportIdleWorker("a");
  ReportEnd("a", TakeOrders("a").at(0), run_end::kFailed);
  Commit();
  BOOST_TEST(NameOf(*scheduler.StateOf("j")) == "failed");
}

BOOST_AUTO_TEST_CASE(done_tasks_are_not_started_again) {
  job_progress progress;
  progress.id = "j";
  progress.state = job_state::kRunning;
  step_progress step;
  step.done = "101";
  progress.steps.push_back(step);
  scheduler.Restore({MakeJob("j", 3)}, {progress}, {}, {"a"}, now);
  ReportIdleWorker("a");
  const auto orders = TakeOrders("a");
  BOOST_REQUIRE_EQUAL(orders.size(), 1);
  BOOST_TEST(orders[0].task.index == 1);
}

// A gang of three needs two workers, as each has capacity for two members. No
// member may start before the second worker reports, and all start under one
// run number.
BOOST_AUTO_TEST_CASE(gang_starts_only_when_every_member_fits) {
  ReportIdleWorker("a");
  job_record record = MakeJob("j", 3);
  record.spec.steps[0].gang = true;
  record.spec.steps[0].size = {2'000, 100, 0};
  scheduler.AddJob(record, now);
  Tick();
  BOOST_TEST(TakeOrders("a").empty());
  now += 100;
  ReportIdleWorker("b");
  Tick();
  std::vector<worker_order> orders = TakeOrders("a");
  for (const worker_order& order : TakeOrders("b")) {
    orders.push_back(order);
  }
  BOOST_REQUIRE_EQUAL(orders.size(), 3);
  for (const worker_order& order : orders) {
    BOOST_TEST(order.run == orders[0].run);
  }
}

BOOST_AUTO_TEST_CASE(older_configuration_is_ignored) {
  scheduling_config older;
  older.version = 1;
  queue_policy queue;
  queue.name = "paths";
  queue.service = "engraving";
  older.queues["paths"] = queue;
  scheduler.SetConfig(older);
  ReportIdleWorker("a");
  scheduler.AddJob(MakeJob("j", 1), now);
  Tick();
  BOOST_TEST(TakeOrders("a").size() == 1);
}

// A service far over its target tail latency pauses the colocated best-effort
// task. Guards against a task that stays paused after the service has ended.
BOOST_AUTO_TEST_CASE(
    paused_best_effort_task_resumes_at_full_pace_after_the_service_ends) {
  job_record service = MakeJob("s", 1);
  service.spec.steps[0].service = true;
  service.spec.steps[0].image = "proofs";
  service.spec.steps[0].tail_target = 18;
  job_record best_effort = MakeJob("f", 1);
  best_effort.spec.steps[0].filler = true;
  best_effort.spec.steps[0].image = "paths";
  best_effort.spec.steps[0].expected = 60'000;
  ReportIdleWorker("a");
  scheduler.AddJob(service, now);
  scheduler.AddJob(best_effort, now);
  Tick();
  std::vector<worker_order> starts = TakeOrders("a");
  BOOST_REQUIRE_EQUAL(starts.size(), 2);
  std::uint32_t pace = 100;
  const auto report = [&](bool with_service, std::uint32_t percent) {
    now += 300;
    worker_report list = MakeReport("a");
    list.has_runs = true;
    for (const worker_order& start : starts) {
      if (start.task.job == "s" && !with_service) {
        continue;
      }
      run_status status;
      status.task = start.task;
      status.run = start.run;
      status.percent = start.task.job == "s" ? 100 : percent;
      status.load = start.task.job == "s" ? 200 : 1'000;
      list.runs.push_back(status);
    }
    scheduler.OnReport(list, now);
    Tick();
    for (const worker_order& order : TakeOrders("a")) {
      pace = order.kind == order_kind::kPace ? order.percent : pace;
    }
  };
  for (std::uint32_t i = 0; i < 12; ++i) {
    report(true, i);
  }
  BOOST_TEST(pace == 0);
  scheduler.CancelJob("s");
  Tick();
  worker_report ended = MakeReport("a");
  for (const worker_order& start : starts) {
    if (start.task.job == "s") {
      ended.ends.push_back({1, start.task, start.run, run_end::kStopped, ""});
    }
  }
  scheduler.OnReport(ended, now);
  for (std::uint32_t i = 12; i < 20; ++i) {
    report(false, i);
  }
  BOOST_TEST(pace == 100);
}

// A scheduler that was elected before another one reads what was stored under
// the later epoch.
BOOST_AUTO_TEST_CASE(job_of_a_later_epoch_does_not_stop_the_recovery) {
  job_record record = MakeJob("later", 1);
  record.epoch = options.epoch + 1;
  BOOST_CHECK_NO_THROW(scheduler.Restore({record}, {}, {}, {}, now));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
