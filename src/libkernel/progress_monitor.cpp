#include "chervilkeel/progress_monitor.h"

#include <algorithm>
#include <vector>

#include "chervilkeel/cell_state.h"

namespace chervilkeel {

namespace {

// Shortest interval, in ms, that is evaluated; long compared with the delay of
// the reports.
constexpr millis kMinInterval = 5'000;

// Larger slowdowns have other causes than colocation and are capped.
constexpr double kMaxSlowdown = 10.0;

bool HasSameTasks(const std::map<std::string, std::uint64_t>& left,
                  const std::map<std::string, std::uint64_t>& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](const auto& one, const auto& other) {
                      return one.first == other.first;
                    });
}

}  // namespace

void progress_monitor::Observe(const wire::agent_report& report,
                               const class_lookup& class_of,
                               millis now,
                               interference_model& model) {
  observation current;
  current.since = now;
  std::map<std::string, std::string> classes;
  bool throttled = false;
  for (const auto& task : report.tasks()) {
    if (task.phase() == wire::phase_running) {
      const std::string name = NameOf(task.id());
      current.progress_ms[name] = task.progress_ms();
      classes[name] = class_of(task.id());
      throttled = throttled || task.throttled();
    }
  }
  observation& start = observations_[report.agent()];
  if (throttled || !HasSameTasks(start.progress_ms, current.progress_ms)) {
    start = std::move(current);
    return;
  }
  const millis elapsed = now - start.since;
  if (elapsed < kMinInterval) {
    return;
  }
  for (const auto& [name, progress] : current.progress_ms) {
    const auto progress_made = static_cast<double>(progress) -
                               static_cast<double>(start.progress_ms.at(name));
    if (progress_made <= 0) {
      continue;
    }
    std::vector<std::string> neighbours;
    for (const auto& [other, task_class] : classes) {
      if (other != name && !task_class.empty()) {
        neighbours.push_back(task_class);
      }
    }
    model.Learn(
        classes[name], neighbours,
        std::min(static_cast<double>(elapsed) / progress_made, kMaxSlowdown));
  }
  start = std::move(current);
}

}  // namespace chervilkeel
