// The metrics of a process, by prometheus-cpp.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace chervilkeel {

// Counters, gauges and latency histograms of a process. Thread-safe.
class process_metrics {
 public:
  process_metrics();

  // Counts one request of a service that ended with an outcome, and its time.
  void CountRequest(const std::string& service,
                    const std::string& outcome,
                    double seconds);

  // Counts an event such as "journal_writes" or "retries".
  void CountEvent(const std::string& event, double count = 1);

  // Sets a value such as "tasks_running".
  void SetValue(const std::string& name, double value);

  // Returns everything in the text format that Prometheus reads.
  std::string Text() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Histogram>& latencies_;
  prometheus::Family<prometheus::Counter>& events_;
  prometheus::Family<prometheus::Gauge>& values_;
};

}  // namespace chervilkeel
