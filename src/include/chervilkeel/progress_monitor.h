// Learns from the progress that agents report how much tasks slow each other.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "chervilkeel/clock.h"
#include "chervilkeel/placement.h"
#include "wire/chervilkeel.pb.h"

namespace chervilkeel {

// Finds the class of a task; empty when it is not known.
using class_lookup = std::function<std::string(const wire::task_id&)>;

// Compares the progress of tasks over spans in which the same tasks ran on a
// worker, none of them throttled. The lag of the reports cancels out in the
// difference of two of them.
class progress_monitor {
 public:
  // Takes a report and teaches the model once a span is long enough.
  void Observe(const wire::agent_report& report,
               const class_lookup& class_of,
               millis now,
               interference_model& model);

 private:
  // What ran on a worker since an instant, with the progress at its start.
  struct span {
    millis since = 0;
    std::map<std::string, std::uint64_t> progress_ms;
  };

  std::map<std::string, span> spans_;  // By agent.
};

}  // namespace chervilkeel
