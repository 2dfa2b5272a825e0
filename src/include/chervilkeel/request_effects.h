// Estimates how much the batch tasks of each class slow down the requests that
// are colocated with them, from samples of all workers of a cell.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include <boost/numeric/ublas/matrix.hpp>
#include <boost/numeric/ublas/vector.hpp>

#include "wire/chervilkeel.pb.h"

namespace chervilkeel {

// An estimate with its standard deviation.
struct effect_estimate {
  double mean = 0;
  double deviation = 0;
};

// Linear model fitted by recursive least squares (a Kalman filter with constant
// state). The mean logarithm of a service's request time is the baseline of the
// service plus, for each task class, the effect of the class times the share of
// the worker that its tasks are given. Workers with different loads determine
// baselines and effects together, so that no service has to be measured without
// batch tasks.
class request_effect_model {
 public:
  request_effect_model();

  // Updates the estimates with the sample of one worker and one interval. Once
  // the model is full, new services and classes are ignored.
  void AddSample(const wire::effect_sample& sample);

  // Returns the estimated effect of a class, or the prior if no sample had it.
  effect_estimate EffectOf(const std::string& task_class) const;

  // Returns the mean natural logarithm of the service's request time in ms
  // without batch tasks, or nothing while the estimate is too uncertain.
  std::optional<double> BaselineOf(const std::string& service) const;

  // Adds the effects of all classes and the usable baselines to a reply to an
  // agent.
  void AddToReply(wire::owner_reply& reply) const;

 private:
  using columns = std::map<std::string, std::size_t>;
  using real_vector = boost::numeric::ublas::vector<double>;
  using real_matrix = boost::numeric::ublas::matrix<double>;

  // Returns the column of a service or class, and adds one that starts at
  // `prior` for a new name. Returns nothing if the model is full.
  std::optional<std::size_t> ColumnOf(columns& column_index,
                                      const std::string& name,
                                      const effect_estimate& prior);

  // Corrects all estimates with one observation of the given variance.
  void Update(const real_vector& inputs, double observed, double variance);

  columns services_;
  columns classes_;
  std::size_t columns_used_ = 0;
  real_vector means_;
  real_matrix covariance_;
};

}  // namespace chervilkeel
