// Tests of the learned effects of colocated tasks on requests, and of the
// control of colocation on a worker.
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <random>

#include "chervilkeel/colocation_control.h"
#include "chervilkeel/progress_monitor.h"
#include "chervilkeel/request_effects.h"

namespace chervilkeel {

namespace {

constexpr double kBaselineMs = 20;

// Samples of workers with random loads, whose service times follow from known
// effects and noise.
struct effects_fixture {
  wire::effect_sample Sample() {
    std::uniform_real_distribution<> share(0, 0.6);
    std::normal_distribution<> noise(0, 0.05);
    wire::effect_sample sample;
    const double quiet = share(random);
    const double noisy = share(random);
    for (const auto& [name, value] :
         {std::pair("quiet", quiet), std::pair("noisy", noisy)}) {
      wire::class_load* load = sample.add_loads();
      load->set_task_class(name);
      load->set_share(value);
    }
    wire::service_sample* service = sample.add_services();
    service->set_service("preview");
    service->set_count(50);
    service->set_mean_log_ms(std::log(kBaselineMs) + 0.1 * quiet + 0.8 * noisy +
                             noise(random));
    return sample;
  }

  std::mt19937_64 random{7};
  request_effect_model model;
};

// A controller that knows the effects of one quiet and one noisy class and the
// baseline of one service.
struct control_fixture {
  control_fixture() {
    wire::owner_reply reply;
    for (const auto& [name, value] :
         {std::pair("quiet", 0.1), std::pair("noisy", 0.8)}) {
      wire::class_effect* effect = reply.add_class_effects();
      effect->set_task_class(name);
      effect->set_effect(value);
    }
    wire::service_baseline* baseline = reply.add_baselines();
    baseline->set_service("preview");
    baseline->set_mean_log_ms(std::log(kBaselineMs));
    control.UpdateEffects(reply);
  }

  void RunSteps(double service_ms, double slots_in_use, int steps) {
    service_time_sums sums;
    for (int i = 0; i < steps; ++i) {
      for (int j = 0; j < 30; ++j) {
        sums.Add("preview", service_ms);
      }
      now += 200;
      control.Step(sums.Take(), {{"noisy", 0.25}}, slots_in_use, now);
    }
  }

  millis now = 1'000;
  colocation_control control{colocation_options()};
};

wire::agent_report ProgressReport(std::uint64_t progress_ms, bool throttled) {
  wire::agent_report report;
  report.set_agent("a");
  for (const char* job : {"left@1", "right@1"}) {
    auto* task = report.add_tasks();
    task->mutable_id()->set_job(job);
    task->mutable_id()->set_attempt(1);
    task->set_phase(wire::phase_running);
    task->set_progress_ms(progress_ms);
    task->set_throttled(throttled);
  }
  return report;
}

std::string ClassOf(const wire::task_id& id) {
  return id.job();
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(request_effects_suite, effects_fixture)

BOOST_AUTO_TEST_CASE(
    effects_of_classes_are_separated_without_unloaded_samples) {
  for (int i = 0; i < 300; ++i) {
    model.AddSample(Sample());
  }
  BOOST_TEST(std::abs(model.EffectOf("quiet").mean - 0.1) < 0.05);
  BOOST_TEST(std::abs(model.EffectOf("noisy").mean - 0.8) < 0.05);
  BOOST_TEST_REQUIRE(model.BaselineOf("preview").has_value());
  BOOST_TEST(std::abs(*model.BaselineOf("preview") - std::log(kBaselineMs)) <
             0.05);
}

BOOST_AUTO_TEST_CASE(baseline_of_unmeasured_service_is_empty) {
  BOOST_TEST(!model.BaselineOf("preview").has_value());
  model.AddSample(Sample());
  wire::owner_reply reply;
  model.AddToReply(reply);
  BOOST_TEST(reply.class_effects_size() == 2);
}

BOOST_AUTO_TEST_CASE(classes_beyond_the_limit_are_not_reported) {
  wire::effect_sample sample;
  for (int i = 0; i < 200; ++i) {
    sample.add_loads()->set_task_class("class-" + std::to_string(i));
  }
  model.AddSample(sample);
  wire::owner_reply reply;
  model.AddToReply(reply);
  BOOST_TEST(reply.class_effects_size() == 64);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(colocation_control_suite, control_fixture)

BOOST_AUTO_TEST_CASE(budget_shrinks_when_many_slots_are_in_use) {
  RunSteps(kBaselineMs, 0.1, 20);
  const double low_load_budget = control.Budget();
  RunSteps(kBaselineMs, 0.9, 20);
  BOOST_TEST(control.Budget() < low_load_budget / 2);
}

BOOST_AUTO_TEST_CASE(budget_shrinks_when_requests_are_slower_than_predicted) {
  RunSteps(kBaselineMs * std::exp(0.2), 0.9, 20);
  const double predicted = control.Budget();
  RunSteps(kBaselineMs * std::exp(0.4), 0.9, 40);
  BOOST_TEST(control.Budget() < predicted * 0.6);
  BOOST_TEST(std::abs(control.MeasuredSlowdown() - std::exp(0.4)) < 0.05);
}

BOOST_AUTO_TEST_CASE(budget_is_unchanged_after_few_requests) {
  const double before = control.Budget();
  service_time_sums sums;
  sums.Add("preview", 10 * kBaselineMs);
  control.Step(sums.Take(), {{"noisy", 0.25}}, 0, now);
  BOOST_TEST(control.Budget() == before);
  BOOST_TEST(control.MeasuredSlowdown() == 1);
}

BOOST_AUTO_TEST_CASE(sample_holds_each_request_once) {
  RunSteps(kBaselineMs, 0.1, 2);
  const wire::effect_sample first = control.TakeSample();
  BOOST_TEST_REQUIRE(first.services_size() == 1);
  BOOST_TEST(first.services(0).count() == 60U);
  BOOST_TEST(std::abs(first.loads(0).share() - 0.25) < 1e-9);
  BOOST_TEST(control.TakeSample().services_size() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(progress_monitor_suite)

BOOST_AUTO_TEST_CASE(slow_progress_with_neighbour_raises_expected_slowdown) {
  progress_monitor monitor;
  interference_model model;
  for (int i = 0; i < 20; ++i) {
    monitor.Observe(ProgressReport(i * 5'000ULL / 2, false), ClassOf,
                    i * 5'000LL, model);
  }
  BOOST_TEST(model.Expected("left@1", "right@1") > 1.5);
}

BOOST_AUTO_TEST_CASE(progress_of_throttled_tasks_is_ignored) {
  progress_monitor monitor;
  interference_model model;
  for (int i = 0; i < 20; ++i) {
    monitor.Observe(ProgressReport(i * 5'000ULL / 2, true), ClassOf,
                    i * 5'000LL, model);
  }
  BOOST_TEST(model.Expected("left@1", "right@1") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
