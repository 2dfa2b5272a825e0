// How long sound tasks wait for their trials beside tasks that crash executors.
#include "crash_fixture.h"

#include <algorithm>
#include <string>

#include <boost/test/unit_test.hpp>

namespace chervilkeel {

namespace {

// A fleet with much room that has just started many tasks, some of which crash
// their executors at once: all of them are suspect.
struct crowded_trials_fixture : crash_fixture {
  static constexpr int kSoundJobs = 44;

  crowded_trials_fixture() {
    crash_delay = [](const task_name& task) -> millis {
      return task.job.rfind("bad", 0) == 0 ? kStep : 0;
    };
    AddExecutors("abcdefghijk");
  }

  void SubmitAll(int bad_jobs) {
    for (int i = 0; i < kSoundJobs; ++i) {
      Submit(MakeSmallJob("sound" + std::to_string(i)));
    }
    for (int i = 0; i < bad_jobs; ++i) {
      Submit(MakeSmallJob("bad" + std::to_string(i)));
    }
  }

  static job_record MakeSmallJob(const std::string& id) {
    job_record record = MakeJob(id, 1);
    record.spec.steps[0].size = {400, 100, 0};
    return record;
  }

  int CountJobs(const std::string& prefix, job_state state) const {
    return static_cast<int>(
        std::count_if(records.begin(), records.end(), [&](const auto& entry) {
          return entry.first.rfind(prefix, 0) == 0 &&
                 scheduler.StateOf(entry.first) == state;
        }));
  }
};

}  // namespace

// Guards against accepted jobs that could run and don't (LOST): a crashed
// executor held one of few places for trials until it was back, and the sound
// tasks waited behind those that crash.
BOOST_FIXTURE_TEST_CASE(sound_tasks_are_tried_in_time_beside_many_that_crash,
                        crowded_trials_fixture) {
  SubmitAll(20);
  constexpr millis kFinishTime = 14'000;  // That the users give all jobs.
  PassFleetTime(kFinishTime);
  BOOST_TEST(CountJobs("sound", job_state::kCompleted) == kSoundJobs);
  PassFleetTime(60'000);
  BOOST_TEST(CountJobs("sound", job_state::kCompleted) == kSoundJobs);
  BOOST_TEST(CountJobs("bad", job_state::kFailed) == 20);
}

// Guards against sound tasks that wait as long as new suspects come (LOST):
// those beside two crashes were tried only when no other suspect waited.
BOOST_FIXTURE_TEST_CASE(suspect_of_two_crashes_is_tried_beside_new_suspects,
                        crowded_trials_fixture) {
  // Submits jobs if they are new, and tells of a crash beneath their tasks.
  std::int64_t crashed_boot = 0;
  const auto crash_beneath = [&](const std::vector<std::string>& ids) {
    worker_report report = MakeReport("gone");
    report.worker.service = "another";
    report.worker.boot.started_ms = 1'000;
    crashed_executor crashed{report.worker.boot, {}};
    crashed.boot.started_ms = ++crashed_boot;
    for (const std::string& id : ids) {
      if (records.count(id) == 0) {
        Submit(MakeSmallJob(id));
      }
      constexpr std::uint64_t kHighRun = 500'000;
      crashed.runs.push_back(
          {{id, 0, 0, 0},
           kHighRun + static_cast<std::uint64_t>(crashed_boot),
           false});
    }
    report.crashes.push_back(crashed);
    scheduler.OnReport(report, now);
  };
  crash_beneath({"bad", "sound"});
  crash_beneath({"bad", "sound"});
  for (int i = 0; i < 40; ++i) {
    const std::string first = "bad" + std::to_string(i);
    crash_beneath({first + "a", first + "b", first + "c", first + "d"});
    PassFleetTime(500);
  }
  BOOST_TEST(NameOf(*scheduler.StateOf("sound")) == "completed");
}

// Guards against sound tasks that become suspect without a crash: an agent
// tells of earlier crashes again with each new one, and once the cause of such
// a crash was given up, the tasks beside it were blamed.
BOOST_FIXTURE_TEST_CASE(crash_that_is_told_again_blames_no_other_task,
                        scheduler_fixture) {
  ReportIdleWorker("a");
  scheduler.AddJob(MakeJob("bad", 1), now);
  scheduler.AddJob(MakeJob("sound", 1), now);
  const task_name bad{"bad", 0, 0, 0};
  const task_name sound{"sound", 0, 0, 0};
  worker_report report = MakeReport("a");
  report.has_runs = true;
  const auto report_crash = [&](const std::vector<lost_run>& runs) {
    report.crashes.push_back({report.worker.boot, runs});
    ++report.worker.boot.started_ms;
    scheduler.OnReport(report, now);
  };
  report_crash({{bad, 1, false}});
  report_crash({{bad, 2, false}, {sound, 1, false}});
  report_crash({{bad, 3, false}});
  Commit();
  BOOST_TEST(NameOf(*scheduler.StateOf("bad")) == "failed");
  report_crash({});
  const scheduled_task& task =
      scheduler.Jobs().at("sound").occurrences.at(0).steps[0].tasks[0];
  BOOST_TEST(task.crashed_runs.empty());
  BOOST_TEST(!task.is_suspect);
}

// Guards against a sound job that is given up (LOST): of two runs of a crash,
// the other one belongs to a job that has ended, and counted for nothing.
BOOST_FIXTURE_TEST_CASE(
    crash_beside_a_run_of_an_ended_job_gives_up_no_other_job,
    scheduler_fixture) {
  ReportIdleWorker("a");
  scheduler.AddJob(MakeJob("ended", 1), now);
  scheduler.AddJob(MakeJob("sound", 1), now);
  scheduler.CancelJob("ended");
  Commit();
  PassTime(1'000);
  worker_report report = MakeReport("a");
  for (std::uint64_t run = 1; run <= 2; ++run) {
    report.crashes.push_back(
        {report.worker.boot,
         {{{"ended", 0, 0, 0}, run, false}, {{"sound", 0, 0, 0}, run, false}}});
    ++report.worker.boot.started_ms;
    scheduler.OnReport(report, now);
  }
  Commit();
  BOOST_TEST(!IsFinal(*scheduler.StateOf("sound")));
}

}  // namespace chervilkeel
