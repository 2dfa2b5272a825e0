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

}  // namespace chervilkeel
