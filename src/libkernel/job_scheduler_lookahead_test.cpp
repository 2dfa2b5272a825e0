// Large tasks beside many small ones: workers are reserved for those that have
// waited, and given back.
#include <boost/test/unit_test.hpp>

#include "job_scheduler_fixture.h"

namespace chervilkeel {

namespace {

constexpr millis kLookahead = 300;
constexpr millis kSmallDuration = 1'000;

struct lookahead_fixture : scheduler_fixture {
  struct simulated_run {
    std::string agent;
    worker_order order;
    millis ends_at = 0;
  };

  std::vector<std::string> agents{"a", "b"};
  std::vector<simulated_run> runs;
  std::vector<scheduler_event> events;
  std::map<std::string, std::vector<millis>> starts;  // By job.
  int jobs = 0;

  // Begins anew with workers of 4 cores, each of which runs small tasks that
  // end at different times.
  void Begin(millis lookahead) {
    options.lookahead = lookahead;
    scheduler = job_scheduler(options, 0);
    scheduler.on_event = [this](const auto& event) { events.push_back(event); };
    SetPriorities();
    for (const std::string& agent : agents) {
      ReportIdleWorker(agent);
    }
    for (std::size_t i = 0; i < 4 * agents.size(); ++i) {
      AddSmall();
      Play(250);
    }
  }

  // Previews are urgent, paths are not.
  void SetPriorities() {
    scheduling_config config;
    config.version = 1;
    for (const char* name : {"paths", "previews"}) {
      queue_policy queue;
      queue.name = name;
      queue.service = "cutting";
      queue.priority = name == std::string("paths") ? 1 : 0;
      config.queues[name] = queue;
    }
    scheduler.SetConfig(config);
  }

  void AddSmall() { Add("small" + std::to_string(jobs++), 1'000, "paths"); }

  void Add(const std::string& id, std::int64_t milli, const char* queue) {
    job_record record = MakeJob(id, 1);
    record.accepted_ms = kWallMs + now;
    record.queue.name = queue;
    record.spec.steps[0].size.milli_processors = milli;
    record.spec.steps[0].expected = kSmallDuration;
    scheduler.AddJob(record, now);
  }

  // Lets workers carry out their orders. Each small task is followed by another
  // one.
  void Play(millis duration) {
    for (const millis until = now + duration; now < until;) {
      now += 50;
      for (std::size_t i = 0; i < runs.size(); ++i) {
        if (runs[i].ends_at <= now) {
          const simulated_run ended = runs[i];
          runs.erase(runs.begin() + static_cast<std::ptrdiff_t>(i--));
          ReportEnd(ended.agent, ended.order, run_end::kDone);
          AddSmall();
        }
      }
      for (const std::string& agent : agents) {
        scheduler.OnReport(MakeReport(agent), now);
      }
      Tick();
      for (const std::string& agent : agents) {
        for (const worker_order& order : TakeOrders(agent)) {
          if (order.kind == order_kind::kStart) {
            starts[order.task.job].push_back(now);
            runs.push_back({agent, order, now + kSmallDuration});
          }
        }
      }
      Commit();
    }
  }

  // Returns the causes for which reservations ended, in order.
  std::string Ends() const {
    std::string causes;
    for (const scheduler_event& event : events) {
      const std::string name = event.event;
      if (name == "room_released") {
        causes += event.detail.substr(0, event.detail.find(' ')) + ";";
      }
    }
    return causes;
  }

  const std::string& ReservedWorker() const {
    static const std::string kNone;
    const scheduler_event* last = nullptr;
    for (const scheduler_event& event : events) {
      last = event.event == std::string("room_reserved") ? &event : last;
    }
    return last == nullptr ? kNone : last->worker;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(room_for_large_tasks, lookahead_fixture)

// Guards against large tasks that starve because small ones take each gap.
BOOST_AUTO_TEST_CASE(large_task_beside_small_ones_gets_a_reserved_worker) {
  Begin(kLookahead);
  Add("large", 4'000, "paths");
  Play(3'000);
  BOOST_TEST(starts.count("large") == 1U);
  BOOST_TEST(Ends() == "cause=started;");
}

// Guards against a gang that starves, or whose members start one by one.
BOOST_AUTO_TEST_CASE(gang_beside_small_tasks_starts_at_once_where_reserved) {
  Begin(kLookahead);
  job_record record = MakeJob("gang", 2);
  record.accepted_ms = kWallMs + now;
  record.spec.steps[0].gang = true;
  record.spec.steps[0].size.milli_processors = 2'000;
  scheduler.AddJob(record, now);
  Play(3'500);
  BOOST_REQUIRE(starts.count("gang") == 1U);
  BOOST_TEST(starts["gang"].size() == 2U);
  BOOST_TEST(starts["gang"].front() == starts["gang"].back());
  BOOST_TEST(Ends() == "cause=started;");
}

// Guards against a change of decisions where looking ahead is off.
BOOST_AUTO_TEST_CASE(nothing_is_reserved_without_the_setting) {
  Begin(0);
  Add("large", 4'000, "paths");
  Play(3'000);
  BOOST_TEST(starts.count("large") == 0U);
  BOOST_TEST(ReservedWorker().empty());
}

// Guards against a worker that stays idle for a task that cannot start there.
BOOST_AUTO_TEST_CASE(reservation_of_a_worker_that_leaves_is_given_up) {
  Begin(kLookahead);
  Add("large", 4'000, "paths");
  Play(400);
  const std::string reserved = ReservedWorker();
  BOOST_REQUIRE(!reserved.empty());
  worker_report report = MakeReport(reserved);
  report.worker.draining = true;
  scheduler.OnReport(report, now);
  PassTime(100);
  BOOST_TEST(Ends() == "cause=draining;");
}

BOOST_AUTO_TEST_CASE(reservation_of_a_worker_that_restarts_is_given_up) {
  Begin(kLookahead);
  Add("large", 4'000, "paths");
  Play(400);
  worker_report report = MakeReport(ReservedWorker());
  report.worker.boot.started_ms = 7;
  report.has_runs = true;
  scheduler.OnReport(report, now);
  PassTime(100);
  BOOST_TEST(Ends() == "cause=worker_lost;");
}

BOOST_AUTO_TEST_CASE(reservation_in_an_evacuated_data_centre_is_given_up) {
  auto evacuations = std::make_shared<evacuation_state>();
  evacuations->Update({10, {}}, now);
  options.evacuations = evacuations;
  Begin(kLookahead);
  Add("large", 4'000, "paths");
  Play(400);
  BOOST_REQUIRE(!ReservedWorker().empty());
  evacuations->Update({11, {""}}, now);  // The workers' data centre.
  Play(100);
  BOOST_TEST(Ends() == "cause=evacuated;");
}

BOOST_AUTO_TEST_CASE(reservation_for_a_cancelled_job_is_given_up) {
  Begin(kLookahead);
  Add("large", 4'000, "paths");
  Play(400);
  scheduler.CancelJob("large");
  Play(100);
  BOOST_TEST(Ends() == "cause=task_ended;");
}

// Guards against urgent tasks that wait for the sake of large ones.
BOOST_AUTO_TEST_CASE(urgent_task_takes_the_reserved_worker) {
  Begin(kLookahead);
  Add("large", 4'000, "paths");
  Play(400);
  BOOST_REQUIRE(!ReservedWorker().empty());
  Add("urgent", 1'000, "previews");
  Play(300);
  BOOST_TEST(starts.count("urgent") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
