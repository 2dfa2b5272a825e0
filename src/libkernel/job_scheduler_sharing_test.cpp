// How services and batch tasks share workers: the choice of workers for
// services, and what the scheduler tells of it.
#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "job_scheduler_fixture.h"

namespace chervilkeel {

namespace {

constexpr std::int64_t kTailNearTarget = 17;  // ms, of 20.
constexpr std::int64_t kTailOverTarget = 30;
constexpr millis kPauseWait = 4'000;  // All batch tasks are paused by then.
constexpr move_times kSlowMoves = {900, 250, 2'000};
constexpr std::uint32_t kMostlyDone = 65;  // More at the time of the decision.
constexpr millis kIdleJobWait = 3'000;     // A job's first run has begun.
constexpr millis kRoomWait = 20'000;       // Other tasks wait so long.

struct sharing_fixture : scheduler_fixture {
  std::vector<scheduler_event> events;
  std::vector<run_status> runs;
  std::uint32_t percent = 0;
  std::int64_t tail = kTailNearTarget;

  sharing_fixture() {
    scheduler.on_event = [this](const scheduler_event& event) {
      events.push_back(event);
    };
  }

  static job_record MakeService(const std::string& id,
                                std::uint32_t tasks,
                                const std::string& image) {
    job_record record = MakeJob(id, tasks);
    record.spec.steps[0].service = true;
    record.spec.steps[0].tail_target = 20;
    record.spec.steps[0].image = image;
    return record;
  }

  void StartOn(const std::string& agent) {
    for (const worker_order& order : TakeOrders(agent)) {
      if (order.kind == order_kind::kStart) {
        runs.push_back({order.task, order.run, "", 0, 0});
        ReportStart(agent, order, start_outcome::kStarted);
      }
    }
  }

  static job_record MakeBatch(const std::string& id, std::uint32_t tasks) {
    job_record record = MakeJob(id, tasks);
    record.spec.steps[0].filler = true;
    record.spec.steps[0].image = "batch";
    record.spec.steps[0].expected = 30'000;
    return record;
  }

  // Runs a service on worker "a" and adds a job of batch tasks.
  void AddBatchBesideService(const job_record& batch = MakeBatch("batch", 3)) {
    ReportIdleWorker("a");
    scheduler.AddJob(MakeService("service", 1, "x"), now);
    Tick();
    StartOn("a");
    scheduler.AddJob(batch, now);
  }

  // Lets time pass while the worker's service has the tail latency `tail`, and
  // all starts succeed.
  void LetServicesRun(millis duration) {
    for (const millis until = now + duration; now < until; now += 250) {
      for (const worker_order& order : TakeOrders("a")) {
        if (order.kind == order_kind::kStart) {
          runs.push_back({order.task, order.run, "", 0, 0});
        }
      }
      worker_report report = MakeReport("a");
      report.has_runs = true;
      report.runs = runs;
      ++percent;
      for (run_status& run : report.runs) {
        const bool is_service = run.task.job == "service";
        run.percent = is_service ? 100 : percent % 100;
        run.load = is_service ? tail : 0;
      }
      scheduler.OnReport(report, now);
      Tick();
    }
  }

  // Runs a task beside a service that has it paused, then offers another
  // worker. Returns what became of it.
  move_counts OfferWorkerToPausedTask(millis expected,
                                      const move_times& times) {
    options.moves = times;
    auto on_event = scheduler.on_event;
    scheduler = job_scheduler(options, 0);
    scheduler.on_event = on_event;
    SetConfig();
    job_record batch = MakeBatch("batch", 1);
    batch.spec.steps[0].checkpoints = true;
    batch.spec.steps[0].expected = expected;
    AddBatchBesideService(batch);
    LetServicesRun(kIdleJobWait);
    tail = kTailOverTarget;
    LetServicesRun(kPauseWait);
    ReportIdleWorker("b");
    LetServicesRun(1'500);
    return scheduler.TakeMoveCounts();
  }

  std::size_t CountStarts(const std::string& job) const {
    return static_cast<std::size_t>(
        std::count_if(events.begin(), events.end(), [&job](const auto& entry) {
          return entry.event == std::string("start_ordered") &&
                 entry.subject.rfind(job, 0) == 0;
        }));
  }

  std::string DetailOf(const std::string& event) const {
    for (const scheduler_event& entry : events) {
      if (entry.event == event) {
        return entry.detail;
      }
    }
    return "";
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(job_scheduler_sharing, sharing_fixture)

// Guards against a late job whose log does not say where its time went.
BOOST_AUTO_TEST_CASE(ended_job_tells_how_long_its_tasks_waited) {
  scheduler.AddJob(MakeJob("job", 1), now);
  now += 300;
  ReportIdleWorker("a");
  const worker_order start = TakeOrders("a").at(0);
  ReportStart("a", start, start_outcome::kStarted);
  ReportEnd("a", start, run_end::kDone);
  const std::string detail = DetailOf("job_ended");
  BOOST_TEST(detail.find(" waited_ms=300") != std::string::npos, detail);
  BOOST_TEST(detail.find(" throttled_ms=0") != std::string::npos, detail);
  BOOST_TEST(detail.find(" moves=0") != std::string::npos, detail);
}

BOOST_AUTO_TEST_CASE(summary_counts_images_and_workers_without_services) {
  ReportIdleWorker("a");
  ReportIdleWorker("b");
  scheduler.AddJob(MakeService("first", 2, "x"), now);
  scheduler.AddJob(MakeService("second", 1, "y"), now);
  Tick();
  job_record batch = MakeJob("third", 9);
  batch.spec.steps[0].filler = true;
  scheduler.AddJob(batch, now);
  Tick();
  StartOn("a");
  StartOn("b");
  const sharing_summary summary = scheduler.SummarizeSharing();
  BOOST_TEST(summary.workers == 2U);
  BOOST_TEST(summary.service_milli_processors == 3'000);
  BOOST_TEST(summary.service_images_per_worker >= 1.0);
  BOOST_TEST(summary.best_effort_milli_processors ==
             1'000 * static_cast<std::int64_t>(summary.best_effort_runs));
  BOOST_TEST(summary.best_effort_runs + summary.waiting_tasks == 9U);
}

// Guards against batch tasks that crowd workers whose services leave no room,
// where they pause each other and all jobs end late.
BOOST_AUTO_TEST_CASE(tasks_wait_while_services_leave_no_room) {
  AddBatchBesideService();
  LetServicesRun(kIdleJobWait);
  BOOST_TEST(CountStarts("batch") == 1U);
  LetServicesRun(kRoomWait - kIdleJobWait - 1'000);
  BOOST_TEST(CountStarts("batch") == 1U);
}

// Guards against batch tasks that never start where room never comes.
BOOST_AUTO_TEST_CASE(tasks_start_after_the_longest_wait_for_room) {
  AddBatchBesideService();
  LetServicesRun(kRoomWait + 1'000);
  BOOST_TEST(CountStarts("batch") == 3U);
}

// Guards against urgent jobs that wait while the scheduler looks in vain for
// workers for batch tasks after each event.
BOOST_AUTO_TEST_CASE(urgent_task_starts_at_once_while_batch_tasks_are_crowded) {
  AddBatchBesideService();
  LetServicesRun(kIdleJobWait);
  Tick();  // Finds no worker for the batch tasks that are left.
  now += 10;
  ReportIdleWorker("b");
  scheduler.AddJob(MakeJob("urgent", 1), now);
  Tick();
  BOOST_TEST(CountStarts("urgent") == 1U);
  BOOST_TEST(CountStarts("batch") == 1U);
  now += 50;
  Tick();
  BOOST_TEST(CountStarts("batch") == 3U);
}

// Guards against tasks that stay paused beside a free worker, and against moves
// whose reasons are not logged.
BOOST_AUTO_TEST_CASE(paused_task_with_much_work_left_moves_once) {
  BOOST_TEST(OfferWorkerToPausedTask(30'000, kSlowMoves).made == 1U);
  const std::string detail = DetailOf("stop_ordered");
  BOOST_TEST(detail.find(" new_worker=b cost_ms=2") != std::string::npos,
             detail);
  BOOST_TEST(detail.find(" listed_age_ms=") != std::string::npos, detail);
}

// Guards against a move of a task that would end sooner where it is.
BOOST_AUTO_TEST_CASE(paused_task_with_little_work_left_stays) {
  percent = kMostlyDone;
  const move_counts counts = OfferWorkerToPausedTask(1'400, kSlowMoves);
  BOOST_TEST(counts.made == 0U);
  BOOST_TEST(counts.declined == 1U);
}

// Guards against a change for deployments whose times are not known.
BOOST_AUTO_TEST_CASE(paused_task_with_little_work_left_moves_at_unknown_cost) {
  percent = kMostlyDone;
  BOOST_TEST(OfferWorkerToPausedTask(1'400, {}).made == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
