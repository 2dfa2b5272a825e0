// Learns how much colocated tasks slow each other from the progress that agents
// report.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "chervilkeel/clock.h"
#include "chervilkeel/placement.h"
#include "wire/chervilkeel.pb.h"

namespace chervilkeel {

// Returns the class of a task, or an empty string if it is unknown.
using class_lookup = std::function<std::string(const wire::task_id&)>;

// Measures the progress of tasks over intervals in which the same tasks ran on
// a worker, none of them throttled. The delay of the reports cancels out in the
// difference between two of them.
class progress_monitor {
 public:
  // Processes a report, and updates the model at the end of each interval.
  void Observe(const wire::agent_report& report,
               const class_lookup& class_of,
               millis now,
               interference_model& model);

 private:
  // The tasks that have run on a worker since the start of an interval, with
  // their progress at the start.
  struct observation {
    millis since = 0;
    std::map<std::string, std::uint64_t> progress_ms;
  };

  std::map<std::string, observation> observations_;  // By agent.
};

}  // namespace chervilkeel
