// An owner that was elected while a former one may act without a lease: one of
// them has the consent of most agents.
#include <boost/test/unit_test.hpp>

#include "job_scheduler_fixture.h"

namespace chervilkeel {

namespace {

// A new owner with three former members and a job of the former owner.
struct new_owner_fixture : scheduler_fixture {
  new_owner_fixture() {
    options.longest_lease = kLongestLease;
    options.former_may_act = true;
    options.epoch = 2;
    scheduler = job_scheduler(options, now);
    SetConfig();
    job_record former = MakeJob("former", 1);
    former.epoch = 1;
    scheduler.Restore({former}, {}, {}, {"a", "b", "c"}, now);
  }

  void AddJobOfThisEpoch() {
    job_record record = MakeJob("new", 1);
    record.epoch = 2;
    scheduler.AddJob(record, now);
    Tick();
  }

  std::vector<worker_order> TakeAllOrders() {
    std::vector<worker_order> orders = TakeOrders("a");
    for (const worker_order& order : TakeOrders("b")) {
      orders.push_back(order);
    }
    return orders;
  }

  // Lets time pass in which the workers a and b report.
  void PassTimeWithReports(millis duration) {
    for (const millis until = now + duration; now < until;) {
      PassTime(kReportInterval);
      ReportIdleWorker("a");
      ReportIdleWorker("b");
    }
  }

  // Until when a silent member may be granted by an owner that lacks the
  // others.
  millis SilentMemberWait() const {
    return (options.list_freshness + options.grant) * 102 / 100 +
           options.grant_margin;
  }

  static constexpr millis kLongestLease = 60'000;
  static constexpr millis kReportInterval = 500;
};

// An owner with three members that has lost its lease.
struct former_owner_fixture : scheduler_fixture {
  former_owner_fixture() {
    ReportIdleWorker("a");
    ReportIdleWorker("b");
    ReportIdleWorker("c");
    scheduler.SetHasLease(false);
  }

  // Reports an executor that has started anew.
  void ReportNewBoot(const std::string& agent) {
    worker_report report = MakeReport(agent);
    report.worker.boot.started_ms += 1'000;
    report.has_runs = true;
    scheduler.OnReport(report, now);
    Tick();
  }

  void LetListsAge() { PassTime(options.list_freshness + 100); }
};

}  // namespace

// The cases guard against two owners that act at once (TWICE), but where they
// say otherwise.
BOOST_FIXTURE_TEST_SUITE(owner_beside_a_former_one, new_owner_fixture)

BOOST_AUTO_TEST_CASE(owner_that_few_members_obey_does_not_act) {
  AddJobOfThisEpoch();
  ReportIdleWorker("a");
  PassTime(kReportInterval);
  ReportIdleWorker("a");
  BOOST_TEST(!scheduler.MayGrant("a"));
  BOOST_TEST(TakeAllOrders().empty());
}

// Guards against jobs that nobody runs (LOST).
BOOST_AUTO_TEST_CASE(owner_that_most_members_obey_acts_at_once) {
  AddJobOfThisEpoch();
  ReportIdleWorker("a");
  ReportIdleWorker("b");
  BOOST_TEST(scheduler.MayGrant("a"));
  BOOST_TEST(scheduler.MayGrant("b"));
  const auto orders = TakeAllOrders();
  BOOST_REQUIRE_EQUAL(orders.size(), 1);
  BOOST_TEST(orders[0].task.job == "new");
}

BOOST_AUTO_TEST_CASE(task_of_the_former_owner_waits_for_a_silent_member) {
  ReportIdleWorker("a");
  ReportIdleWorker("b");
  PassTimeWithReports(SilentMemberWait() - kReportInterval);
  BOOST_TEST(TakeAllOrders().empty());
}

// Guards against services that stand still for as long as an outage may last
// because of one silent agent (LOST).
BOOST_AUTO_TEST_CASE(silent_member_is_waited_for_until_the_former_owner_ends) {
  ReportIdleWorker("a");
  ReportIdleWorker("b");
  PassTimeWithReports(SilentMemberWait() + kReportInterval);
  BOOST_TEST(TakeAllOrders().size() == 1);
}

BOOST_AUTO_TEST_CASE(few_members_are_enough_once_all_outages_are_over) {
  ReportIdleWorker("a");
  PassTime(kLongestLease - kReportInterval);
  ReportIdleWorker("a");
  BOOST_TEST(!scheduler.MayGrant("a"));
  PassTime(kLongestLease / 10);
  ReportIdleWorker("a");
  BOOST_TEST(scheduler.MayGrant("a"));
}

BOOST_AUTO_TEST_CASE(members_are_not_changed_while_the_former_owner_may_act) {
  ReportIdleWorker("a");
  ReportIdleWorker("b");
  worker_report report = MakeReport("d");
  report.has_runs = true;
  scheduler.OnReport(report, now);
  BOOST_TEST(!scheduler.HasChanges());
  PassTime(options.list_freshness * 2);
  const auto changes = scheduler.TakeChanges(kWallMs + now);
  BOOST_REQUIRE(changes && changes->members);
  BOOST_TEST(changes->members->count("c") == 1U);
  BOOST_TEST(changes->members->count("d") == 1U);
}

BOOST_AUTO_TEST_CASE(ends_are_not_acknowledged_while_the_former_owner_may_act) {
  worker_report report = MakeReport("a");
  report.has_runs = true;
  report.ends.push_back({1, {"former", 0, 0, 0}, 1, run_end::kDone, ""});
  scheduler.OnReport(report, now);
  Commit();
  ReportIdleWorker("b");
  BOOST_TEST(scheduler.RecordedEnd("a") == 0);
  ReportIdleWorker("c");
  BOOST_TEST(!scheduler.FormerMayAct());
  BOOST_TEST(scheduler.RecordedEnd("a") == 1);
}

// A member that calls without a list of its runs may obey the former owner.
BOOST_AUTO_TEST_CASE(member_that_never_listed_its_runs_stays_a_member) {
  options.former_may_act = false;
  scheduler = job_scheduler(options, now);
  SetConfig();
  scheduler.Restore({}, {}, {}, {"a"}, now);
  scheduler.OnReport(MakeReport("a"), now);
  PassTime(kLongestLease / 2);
  BOOST_TEST(!scheduler.HasChanges());
  PassTime(kLongestLease);
  const auto changes = scheduler.TakeChanges(kWallMs + now);
  BOOST_REQUIRE(changes && changes->members);
  BOOST_TEST(changes->members->empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(owner_without_a_lease, former_owner_fixture)

// Guards against runs that lapse in an outage.
BOOST_AUTO_TEST_CASE(owner_that_most_members_report_to_hears_most) {
  LetListsAge();
  ReportIdleWorker("a");
  ReportIdleWorker("b");
  BOOST_TEST(scheduler.HearsMostMembers(now));
}

BOOST_AUTO_TEST_CASE(owner_that_few_members_report_to_does_not_hear_most) {
  LetListsAge();
  ReportIdleWorker("a");
  BOOST_TEST(!scheduler.HearsMostMembers(now));
}

BOOST_AUTO_TEST_CASE(executor_that_came_without_a_lease_does_not_count) {
  LetListsAge();
  ReportIdleWorker("a");
  ReportNewBoot("b");
  BOOST_TEST(!scheduler.HearsMostMembers(now));
  scheduler.SetHasLease(true);
  BOOST_TEST(scheduler.HearsMostMembers(now));
}

// The next owner may know of members whose storing had no answer.
BOOST_AUTO_TEST_CASE(most_are_needed_of_all_members_that_may_be_stored) {
  for (const char* agent : {"d", "e", "f"}) {
    worker_report report = MakeReport(agent);
    report.has_runs = true;
    scheduler.OnReport(report, now);
  }
  const auto changes = scheduler.TakeChanges(kWallMs + now);
  BOOST_REQUIRE(changes && changes->members);
  LetListsAge();
  ReportNewBoot("d");
  scheduler.OnReport(MakeReport("a"), now);
  scheduler.OnReport(MakeReport("b"), now);
  BOOST_TEST(!scheduler.HearsMostMembers(now));
  scheduler.CommitFailed(*changes);
  BOOST_TEST(!scheduler.HearsMostMembers(now));
}

// The same if the members are then wanted as they were: what is stored last may
// still be the larger set.
BOOST_AUTO_TEST_CASE(commit_without_members_settles_no_doubt_about_members) {
  worker_report report = MakeReport("d");
  scheduler.OnReport(report, now);
  const auto changes = scheduler.TakeChanges(kWallMs + now);
  BOOST_REQUIRE(changes && changes->members);
  scheduler.CommitFailed(*changes);
  for (millis passed = 0; passed < options.grant * 2; passed += 500) {
    PassTime(500);
    for (const char* agent : {"a", "b", "c"}) {
      worker_report known = MakeReport(agent);
      known.has_runs = true;
      scheduler.OnReport(known, now);
    }
  }
  scheduler.AddJob(MakeJob("j", 1), now);
  scheduler.CancelJob("j");
  const auto later = scheduler.TakeChanges(kWallMs + now);
  BOOST_REQUIRE(later && !later->members);
  scheduler.Committed(later->number);
  LetListsAge();
  ReportIdleWorker("a");
  ReportIdleWorker("b");
  BOOST_TEST(!scheduler.HearsMostMembers(now));
}

// A silent agent may have a new owner, which keeps its runs alive.
BOOST_AUTO_TEST_CASE(silent_worker_is_given_up_later_without_a_lease) {
  const millis with_lease =
      options.grant * 102 / 100 + options.grant_margin + 100;
  PassTime(with_lease);
  BOOST_TEST(scheduler.Workers().at("a").runs_known);
  PassTime(options.list_freshness);
  BOOST_TEST(!scheduler.Workers().at("a").runs_known);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
