// How services and batch tasks share workers: the choice of workers for
// services, and what the scheduler tells of it.
#include <boost/test/unit_test.hpp>

#include "job_scheduler_fixture.h"

namespace chervilkeel {

namespace {

struct sharing_fixture : scheduler_fixture {
  std::vector<scheduler_event> events;

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
        ReportStart(agent, order, start_outcome::kStarted);
      }
    }
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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
