// What jobs with very many tasks take of the scheduler's memory. All cases
// guard against an owner that outgrows its memory and is killed, and each owner
// after it (LOST).
#include <malloc.h>

#include <algorithm>
#include <limits>

#include <boost/test/unit_test.hpp>

#include "job_scheduler_fixture.h"

namespace chervilkeel {

namespace {

constexpr std::size_t kMegabyte = 1'048'576;
constexpr std::size_t kOwnerMemory = 260 * kMegabyte;

std::size_t BytesInUse() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

struct large_job_fixture : scheduler_fixture {
  std::size_t before = 0;

  large_job_fixture() {
    ReportIdleWorker("a");
    before = BytesInUse();
  }

  static job_record MakeLargeJob(const std::string& id,
                                 std::uint32_t steps,
                                 std::uint32_t tasks) {
    job_record record = MakeJob(id, tasks);
    record.spec.steps.assign(steps, record.spec.steps[0]);
    return record;
  }

  // Many small tasks with the longest payload of a job.
  static job_record MakeSmallTasks(const std::string& id) {
    job_record record = MakeLargeJob(id, 100, 1'000);
    record.spec.payload.assign(4'000, 'x');
    for (job_step& step : record.spec.steps) {
      step.size = {1, 1, 0};
    }
    return record;
  }

  // Reports each start that is ordered, until no more are.
  void StartAll() {
    for (auto orders = TakeOrders("a"); !orders.empty();
         orders = TakeOrders("a")) {
      for (const worker_order& order : orders) {
        ReportStart("a", order, start_outcome::kStarted);
      }
      now += 10;
      Tick();
    }
  }

  std::size_t BytesTaken() const { return BytesInUse() - before; }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(job_scheduler_large_jobs, large_job_fixture)

BOOST_AUTO_TEST_CASE(ten_jobs_of_a_million_waiting_tasks_fit_an_owner) {
  for (int i = 0; i < 10; ++i) {
    scheduler.AddJob(MakeLargeJob("j" + std::to_string(i), 1'000, 1'000), now);
    BOOST_REQUIRE(BytesTaken() < kOwnerMemory / 4);
  }
  Tick();
  BOOST_TEST(TakeOrders("a").size() == 4U);
  BOOST_TEST(BytesTaken() < kOwnerMemory / 4);
}

BOOST_AUTO_TEST_CASE(done_tasks_of_a_large_job_fit_an_owner) {
  scheduler.AddJob(MakeLargeJob("j", 1'000, 100), now);
  for (int round = 0; round < 5'000; ++round) {
    now += 10;
    Tick();
    for (const worker_order& order : TakeOrders("a")) {
      ReportStart("a", order, start_outcome::kStarted);
      ReportEnd("a", order, run_end::kDone);
    }
    Commit();
  }
  BOOST_TEST(scheduler.Jobs().at("j").done_tasks >= 20'000U);
  BOOST_TEST(BytesTaken() < kOwnerMemory / 4);
}

BOOST_AUTO_TEST_CASE(ended_jobs_with_many_dependencies_fit_an_owner) {
  for (int i = 0; i < 600; ++i) {
    job_record record = MakeLargeJob("j" + std::to_string(i), 2, 1);
    record.spec.steps[1].after.assign(125'000, 0);
    scheduler.AddJob(record, now);
    scheduler.CancelJob(record.id);
    Commit();
    now += 100;
    Tick();
    BOOST_REQUIRE(BytesTaken() < kOwnerMemory / 4);
  }
}

BOOST_AUTO_TEST_CASE(restored_ended_jobs_fit_an_owner) {
  std::vector<job_progress> progress;
  std::vector<job_record> records;
  for (int i = 0; i < 100; ++i) {
    records.push_back(MakeLargeJob("j" + std::to_string(i), 1'000, 1'000));
    progress.push_back({"j" + std::to_string(i), job_state::kCompleted, 1, {}});
  }
  scheduler.Restore(std::move(records), progress, {}, {}, now);
  records = {};
  BOOST_TEST(BytesTaken() < kOwnerMemory / 4);
}

BOOST_AUTO_TEST_CASE(occurrences_that_are_all_due_open_as_earlier_ones_end) {
  job_record record = MakeJob("j", 1);
  record.spec.repeats = 4'000'000'000;
  record.spec.repeat_interval = 1;
  scheduler.AddJob(record, now);
  Tick();
  BOOST_TEST(BytesTaken() < kOwnerMemory / 4);
  const auto& occurrences = scheduler.Jobs().at("j").occurrences;
  const std::size_t open = occurrences.size();
  for (const worker_order& order : TakeOrders("a")) {
    ReportStart("a", order, start_outcome::kStarted);
    ReportEnd("a", order, run_end::kDone);
  }
  BOOST_TEST(occurrences.size() > open);
}

BOOST_AUTO_TEST_CASE(due_time_near_the_end_of_its_range_does_not_come_early) {
  job_record record = MakeJob("j", 1);
  record.spec.repeats = 10;
  record.spec.first_due_ms = kWallMs;
  record.spec.repeat_interval = std::numeric_limits<millis>::max() / 2;
  scheduler.AddJob(record, now);
  Tick();
  BOOST_TEST(scheduler.Jobs().at("j").occurrences.size() == 1U);
}

// A list that names a far occurrence must not open all those before it.
BOOST_AUTO_TEST_CASE(listed_run_of_a_far_occurrence_opens_none) {
  job_record record = MakeJob("j", 1);
  record.spec.repeats = 4'000'000'000;
  record.spec.first_due_ms = kWallMs * 2;
  scheduler.AddJob(record, now);
  worker_report report = MakeReport("a");
  report.has_runs = true;
  report.runs.push_back({{"j", 3'000'000'000, 0, 0}, 7, "", 10, 0});
  scheduler.OnReport(report, now);
  BOOST_TEST(scheduler.Jobs().at("j").occurrences.empty());
}

BOOST_AUTO_TEST_CASE(orders_of_a_large_job_fit_one_reply) {
  scheduler.AddJob(MakeSmallTasks("j"), now);
  for (int i = 0; i < 20; ++i) {
    now += 100;
    Tick();
  }
  std::size_t payload = 0;
  for (const auto& [number, order] : scheduler.OrdersFor("a", 0)) {
    payload += order.payload.size();
  }
  BOOST_TEST(payload > 0U);
  BOOST_TEST(payload <= kMegabyte);
  BOOST_TEST(BytesTaken() < 4 * kMegabyte);
}

BOOST_AUTO_TEST_CASE(tasks_of_a_large_job_follow_as_others_are_done) {
  scheduler.AddJob(MakeSmallTasks("j"), now);
  Tick();
  for (int i = 0; i < 40; ++i) {
    for (const worker_order& order : TakeOrders("a")) {
      BOOST_TEST(order.payload.size() == 4'000U);
      ReportStart("a", order, start_outcome::kStarted);
      ReportEnd("a", order, run_end::kDone);
    }
    now += 10;
    Tick();
  }
  BOOST_TEST(scheduler.Jobs().at("j").done_tasks > 1'000U);
}

// An ordinary job must find room, although nothing of the large ones ends.
BOOST_AUTO_TEST_CASE(job_beside_large_ones_starts_at_once) {
  for (const char* id : {"large1", "large2", "large3"}) {
    scheduler.AddJob(MakeSmallTasks(id), now);
  }
  Tick();
  StartAll();
  job_record ordinary = MakeJob("ordinary", 4);
  ordinary.spec.steps[0].size = {100, 10, 0};
  scheduler.AddJob(ordinary, now);
  Tick();
  const auto orders = TakeOrders("a");
  BOOST_TEST(std::count_if(orders.begin(), orders.end(), [](const auto& order) {
               return order.task.job == "ordinary";
             }) == 4);
}

BOOST_AUTO_TEST_CASE(refused_and_lost_starts_leave_the_window) {
  scheduler.AddJob(MakeSmallTasks("j"), now);
  Tick();
  const auto orders = TakeOrders("a");
  BOOST_REQUIRE(!orders.empty());
  BOOST_TEST(scheduler.Workers().at("a").open_starts == orders.size());
  worker_report report = MakeReport("a");
  report.starts.push_back(
      {orders[0].task, orders[0].run, start_outcome::kNoCapacity});
  scheduler.OnReport(report, now);
  BOOST_TEST(scheduler.Workers().at("a").open_starts == orders.size() - 1);
  report = MakeReport("a");
  report.worker.boot.started_ms = 6;
  scheduler.OnReport(report, now);
  BOOST_TEST(scheduler.Workers().at("a").open_starts == 0U);
  BOOST_TEST(scheduler.Workers().at("a").open_start_bytes == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
