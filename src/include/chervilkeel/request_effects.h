// Learns how much the batch tasks of each class slow requests that run beside
// them, over all workers of a cell.
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

// Recursive least squares (Kalman's filter with a constant state): the mean
// logarithm of a service's time is a baseline of the service, plus, for each
// class, its effect times the share of the worker that its tasks are given. A
// worker whose load differs from the others' teaches both at once, so that no
// service has to be measured alone.
class request_effect_model {
 public:
  request_effect_model();

  // Takes what one worker saw in one interval. Services and classes beyond a
  // fixed number are left out.
  void Learn(const wire::effect_sample& sample);

  // Returns the estimated effect of a class; the prior for an unknown one.
  effect_estimate EffectOf(const std::string& task_class) const;

  // Returns the mean log of the service's time in ms without batch tasks, once
  // it is known well enough to act on.
  std::optional<double> BaselineOf(const std::string& service) const;

  // Writes everything known into an answer to an agent.
  void Fill(wire::owner_reply& reply) const;

 private:
  using columns = std::map<std::string, std::size_t>;
  using real_vector = boost::numeric::ublas::vector<double>;
  using real_matrix = boost::numeric::ublas::matrix<double>;

  std::optional<std::size_t> ColumnOf(columns& known,
                                      const std::string& name,
                                      const effect_estimate& prior);
  void Update(const real_vector& inputs, double seen, double variance);

  columns services_;
  columns classes_;
  std::size_t used_ = 0;
  real_vector means_;
  real_matrix covariance_;
};

}  // namespace chervilkeel
