#include "chervilkeel/request_effects.h"

#include <algorithm>
#include <cmath>

#include <boost/numeric/ublas/matrix_proxy.hpp>

namespace chervilkeel {

namespace {

namespace ublas = boost::numeric::ublas;

constexpr std::size_t kMaxColumns = 64;  // Services and classes together.
constexpr effect_estimate kServicePrior{4, 3};  // Log of milliseconds.
constexpr effect_estimate kClassPrior{0.2, 0.4};
constexpr double kRequestTimeVariance = 0.2;  // Of the log of one request time.
constexpr double kModelErrorVariance = 0.0004;  // Error of the model itself.
constexpr double kEffectDriftVariance = 1e-6;   // Per sample, for each effect.
constexpr double kMaxBaselineDeviation = 0.15;  // Of a baseline that is usable.
constexpr std::uint32_t kMinRequests = 5;       // Of one service in a sample.

}  // namespace

request_effect_model::request_effect_model()
    : means_(ublas::zero_vector<double>(kMaxColumns)),
      covariance_(ublas::zero_matrix<double>(kMaxColumns, kMaxColumns)) {}

std::optional<std::size_t> request_effect_model::ColumnOf(
    columns& column_index,
    const std::string& name,
    const effect_estimate& prior) {
  const auto found = column_index.find(name);
  if (found != column_index.end()) {
    return found->second;
  }
  if (columns_used_ == kMaxColumns) {
    return std::nullopt;
  }
  const std::size_t column = columns_used_++;
  column_index[name] = column;
  means_(column) = prior.mean;
  covariance_(column, column) = prior.deviation * prior.deviation;
  return column;
}

void request_effect_model::AddSample(const wire::effect_sample& sample) {
  real_vector inputs = ublas::zero_vector<double>(kMaxColumns);
  for (const wire::class_load& load : sample.loads()) {
    const auto column = ColumnOf(classes_, load.task_class(), kClassPrior);
    if (column) {
      inputs(*column) = load.share();
    }
  }
  for (const wire::service_sample& service : sample.services()) {
    const auto column = ColumnOf(services_, service.service(), kServicePrior);
    if (!column || service.count() < kMinRequests) {
      continue;
    }
    inputs(*column) = 1;
    Update(inputs, service.mean_log_ms(),
           kModelErrorVariance + kRequestTimeVariance / service.count());
    inputs(*column) = 0;
  }
  for (const auto& [name, column] : classes_) {
    covariance_(column, column) += kEffectDriftVariance;
  }
}

void request_effect_model::Update(const real_vector& inputs,
                                  double observed,
                                  double variance) {
  const real_vector cross_covariance = ublas::prod(covariance_, inputs);
  const double innovation_variance =
      ublas::inner_prod(inputs, cross_covariance) + variance;
  const double innovation = observed - ublas::inner_prod(inputs, means_);
  means_ += cross_covariance * (innovation / innovation_variance);
  covariance_ -= ublas::outer_prod(cross_covariance, cross_covariance) /
                 innovation_variance;
}

effect_estimate request_effect_model::EffectOf(
    const std::string& task_class) const {
  const auto found = classes_.find(task_class);
  if (found == classes_.end()) {
    return kClassPrior;
  }
  const double variance =
      std::max(0.0, covariance_(found->second, found->second));
  return {std::max(0.0, means_(found->second)), std::sqrt(variance)};
}

std::optional<double> request_effect_model::BaselineOf(
    const std::string& service) const {
  const auto found = services_.find(service);
  if (found == services_.end() ||
      covariance_(found->second, found->second) >
          kMaxBaselineDeviation * kMaxBaselineDeviation) {
    return std::nullopt;
  }
  return means_(found->second);
}

void request_effect_model::AddToReply(wire::owner_reply& reply) const {
  for (const auto& [name, column] : classes_) {
    const effect_estimate estimate = EffectOf(name);
    wire::class_effect* effect = reply.add_class_effects();
    effect->set_task_class(name);
    effect->set_effect(estimate.mean);
    effect->set_deviation(estimate.deviation);
  }
  for (const auto& [name, column] : services_) {
    const auto baseline = BaselineOf(name);
    if (baseline) {
      wire::service_baseline* entry = reply.add_baselines();
      entry->set_service(name);
      entry->set_mean_log_ms(*baseline);
    }
  }
}

}  // namespace chervilkeel
