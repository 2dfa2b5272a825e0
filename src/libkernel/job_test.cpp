#include "chervilkeel/job.h"

#include <boost/test/unit_test.hpp>

#include "chervilkeel/worker_health.h"

namespace chervilkeel {

namespace {

job_spec TwoSteps() {
  job_spec spec;
  spec.payload = "spec";
  job_step first;
  first.tasks = 3;
  first.expected = 400;
  first.size = {500, 256, 0};
  job_step second = first;
  second.after = {0};
  second.expected = 700;
  second.filler = true;
  second.image = "ink";
  spec.steps = {first, second};
  return spec;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(job_values)

BOOST_AUTO_TEST_CASE(record_written_and_read_is_the_same) {
  job_record record;
  record.id = "0123456789abcdef";
  record.queue.name = "paths";
  record.queue.service = "cutting";
  record.queue.max_attempts = 4;
  record.accepted_ms = 12;
  record.spec = TwoSteps();
  const auto read = DecodeJobRecord(EncodeJobRecord(record));
  BOOST_REQUIRE(read);
  BOOST_TEST(EncodeJobRecord(read.value()) == EncodeJobRecord(record));
  BOOST_TEST(read.value().spec.steps[1].image == "ink");
}

BOOST_AUTO_TEST_CASE(progress_written_and_read_is_the_same) {
  job_progress progress;
  progress.id = "j";
  progress.state = job_state::kRunning;
  step_progress step;
  step.done = "010";
  step.failed_runs[2] = {1, 1'000'002};
  step.crashed_runs[1] = {3, 1'000'004};
  step.late_crashed_runs[0] = {5};
  step.proven_runs[1] = 2;
  step.checkpoints[0] = "saved";
  progress.steps.push_back(step);
  const auto read = DecodeJobProgress(EncodeJobProgress(progress));
  BOOST_REQUIRE(read);
  BOOST_TEST(EncodeJobProgress(read.value()) == EncodeJobProgress(progress));
  BOOST_CHECK(read.value().steps.at(0).crashed_runs == step.crashed_runs);
  BOOST_CHECK(read.value().steps.at(0).late_crashed_runs ==
              step.late_crashed_runs);
  BOOST_CHECK(read.value().steps.at(0).proven_runs == step.proven_runs);
}

// Guards against progress that outgrows a value of the store (LOST).
BOOST_AUTO_TEST_CASE(progress_of_a_million_tasks_fits_a_value_of_the_store) {
  constexpr std::size_t kValueBytes = 1'048'576;
  job_progress progress;
  progress.id = "0123456789abcdef";
  progress.state = job_state::kRunning;
  for (std::uint32_t i = 0; i < 1'000; ++i) {
    step_progress step;
    step.step = i;
    for (int task = 0; task < 1'000; ++task) {
      step.done += task % 3 == 0 || i % 2 == 0 ? '1' : '0';
    }
    progress.steps.push_back(step);
  }
  const std::string text = EncodeJobProgress(progress);
  BOOST_TEST(text.size() < kValueBytes / 2);
  const auto read = DecodeJobProgress(text);
  BOOST_REQUIRE(read);
  BOOST_REQUIRE(read.value().steps.size() == progress.steps.size());
  for (std::size_t i = 0; i < progress.steps.size(); ++i) {
    BOOST_REQUIRE(read.value().steps[i].done == progress.steps[i].done);
  }
}

// Guards against tasks that run again after an upgrade (TWICE).
BOOST_AUTO_TEST_CASE(progress_in_the_former_format_is_read) {
  const std::string done(100, '1');
  const auto read = DecodeJobProgress(
      R"({"id":"j","state":"running","steps":[{"step":0,"done":")" + done +
      R"("}]})");
  BOOST_REQUIRE(read);
  BOOST_TEST(read.value().steps.at(0).done == done);
}

BOOST_AUTO_TEST_CASE(progress_with_too_few_digits_is_invalid) {
  const auto read = DecodeJobProgress(
      R"({"id":"j","state":"running","steps":[{"step":0,"tasks":100,)"
      R"("done_bits":"ff"}]})");
  BOOST_TEST(!read);
}

BOOST_AUTO_TEST_CASE(job_with_too_many_tasks_in_all_is_refused) {
  job_spec spec = TwoSteps();
  spec.steps.assign(101, spec.steps[0]);
  for (job_step& step : spec.steps) {
    step.tasks = kMaxTasksPerStep;
  }
  BOOST_TEST(CheckJob(spec, 10).size() == 1U);
  spec.steps.pop_back();
  BOOST_TEST(CheckJob(spec, 10).empty());
}

BOOST_AUTO_TEST_CASE(record_that_is_not_json_is_invalid) {
  const auto read = DecodeJobRecord("{\"id\":");
  BOOST_REQUIRE(!read);
  BOOST_CHECK(read.error().code == error_code::kInvalid);
}

BOOST_AUTO_TEST_CASE(critical_path_sums_the_chain_of_dependent_steps) {
  BOOST_TEST(CriticalPath(TwoSteps()) == 1'100);
}

BOOST_AUTO_TEST_CASE(remaining_path_of_a_step_includes_the_steps_behind_it) {
  const job_spec spec = TwoSteps();
  const std::vector<millis> paths = RemainingPaths(spec);
  BOOST_TEST(paths.at(0) == CriticalPath(spec));
  BOOST_TEST(paths.at(1) == spec.steps[1].expected);
}

BOOST_AUTO_TEST_CASE(check_of_an_invalid_job_reports_every_violation) {
  job_spec spec = TwoSteps();
  spec.payload.assign(20, 'x');
  spec.steps[0].tasks = 0;
  spec.steps[1].after = {1};
  const findings found = CheckJob(spec, 10);
  BOOST_TEST(found.size() == 3);
  BOOST_TEST(found[2].place == "step 1");
}

BOOST_AUTO_TEST_CASE(truncated_task_name_is_rejected) {
  task_name name;
  BOOST_TEST(ParseTaskName("abc.0.1.17", name));
  BOOST_TEST(name.index == 17);
  BOOST_TEST(!ParseTaskName("abc.0.1", name));
  BOOST_TEST(!ParseTaskName("abc.0.1.x", name));
  BOOST_TEST(!ParseTaskName(".0.1.2", name));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(worker_health_judgement)

BOOST_AUTO_TEST_CASE(worker_that_fails_most_runs_gets_one_probe_at_a_time) {
  worker_health health;
  for (int i = 0; i < 3; ++i) {
    health.OnFailure({"j", 0, 0}, 0);
  }
  BOOST_TEST(health.IsSuspect());
  BOOST_TEST(!health.MayStart(100, false));
  BOOST_TEST(health.MayStart(1'000, false));
  health.OnProbe(1'000);
  BOOST_TEST(!health.MayStart(1'001, false));
  health.OnSuccess({"j", 0, 0}, 1'500);
  BOOST_TEST(health.MayStart(1'501, false));
}

BOOST_AUTO_TEST_CASE(
    worker_with_a_few_failures_among_successes_is_not_suspect) {
  worker_health health;
  for (int i = 0; i < 4; ++i) {
    health.OnSuccess({"j", 0, 0}, 0);
  }
  for (int i = 0; i < 3; ++i) {
    health.OnFailure({"j", 0, 0}, 0);
  }
  BOOST_TEST(!health.IsSuspect());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
