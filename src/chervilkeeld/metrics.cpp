#include "metrics.h"

#include <prometheus/text_serializer.h>

namespace chervilkeel {

namespace {

const prometheus::Histogram::BucketBoundaries& LatencyBuckets() {
  static const prometheus::Histogram::BucketBoundaries kSeconds = {
      0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10};
  return kSeconds;
}

}  // namespace

process_metrics::process_metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      requests_(prometheus::BuildCounter()
                    .Name("chervilkeel_requests_total")
                    .Help("Requests by service and outcome.")
                    .Register(*registry_)),
      latencies_(prometheus::BuildHistogram()
                     .Name("chervilkeel_request_seconds")
                     .Help("Time from a request's arrival to its answer.")
                     .Register(*registry_)),
      events_(prometheus::BuildCounter()
                  .Name("chervilkeel_events_total")
                  .Help("Events by name.")
                  .Register(*registry_)),
      values_(prometheus::BuildGauge()
                  .Name("chervilkeel_value")
                  .Help("Present values by name.")
                  .Register(*registry_)) {}

void process_metrics::CountRequest(const std::string& service,
                                   const std::string& outcome,
                                   double seconds) {
  requests_.Add({{"service", service}, {"outcome", outcome}}).Increment();
  latencies_.Add({{"service", service}}, LatencyBuckets()).Observe(seconds);
}

void process_metrics::CountEvent(const std::string& event, double count) {
  events_.Add({{"event", event}}).Increment(count);
}

void process_metrics::SetValue(const std::string& name, double value) {
  values_.Add({{"name", name}}).Set(value);
}

std::string process_metrics::Text() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace chervilkeel
