// The tasks of a step. Only tasks that have been ordered to start, or of which
// a report tells, take up an object each; all others take two bits.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chervilkeel/scheduled_task.h"

namespace chervilkeel {

// References to tracked tasks stay valid until ReleaseDone().
class task_table {
 public:
  // Sets the number of tasks of an empty table. None of them has started.
  void Resize(std::size_t size);

  std::size_t Size() const { return done_.size(); }
  std::size_t DoneCount() const { return done_count_; }
  bool IsComplete() const { return done_count_ == done_.size(); }
  bool IsDone(std::size_t index) const { return done_[index]; }

  // Number of tasks that are not done and not tracked.
  std::size_t UntouchedCount() const {
    return touched_.size() - touched_count_;
  }

  // Returns the first task from `index` on that is not done and not tracked.
  std::optional<std::uint32_t> NextUntouched(std::uint32_t index) const;

  // Returns the first task that is not done.
  std::optional<std::uint32_t> FirstNotDone() const;

  // Returns a task for reading. Untracked tasks share an object, which lacks
  // their ready_since and possibly_running.
  const scheduled_task& operator[](std::size_t index) const;

  // Returns what Track() would create for a task that has not started.
  scheduled_task Untouched() const;

  // Returns a copy of a task; of an untracked one as Track() would create it.
  scheduled_task CopyOf(std::uint32_t index) const;

  // Returns a task for changes. It is tracked from now on.
  scheduled_task& Track(std::uint32_t index);

  // Marks a task as done.
  void SetDone(std::uint32_t index);

  // Stops tracking a task if it is done and has no runs.
  void ReleaseDone(std::uint32_t index);

  // When the tasks that are not tracked became ready.
  millis ReadySince() const { return ready_since_; }
  void SetReadySince(millis now);

  // Marks all tasks as possibly started by a scheduler of an earlier epoch.
  void SetPossiblyRunning() { possibly_running_ = true; }
  bool ArePossiblyRunning() const { return possibly_running_; }

  // The tracked tasks by index.
  const std::map<std::uint32_t, scheduled_task>& Tracked() const {
    return tracked_;
  }
  std::map<std::uint32_t, scheduled_task>& Tracked() { return tracked_; }

  // Returns one character per task: '1' if it is done.
  std::string DoneText() const;

 private:
  void Touch(std::uint32_t index);

  std::vector<bool> done_;
  std::vector<bool> touched_;  // Tasks that are done or have been tracked.
  std::size_t done_count_ = 0;
  std::size_t touched_count_ = 0;
  std::uint32_t first_untouched_ = 0;  // All tasks before it are touched.
  millis ready_since_ = 0;
  bool possibly_running_ = false;
  std::map<std::uint32_t, scheduled_task> tracked_;
};

}  // namespace chervilkeel
