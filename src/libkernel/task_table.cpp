#include "chervilkeel/task_table.h"

#include <algorithm>

namespace chervilkeel {

void task_table::Resize(std::size_t size) {
  done_.resize(size);
  touched_.resize(size);
}

std::optional<std::uint32_t> task_table::NextUntouched(
    std::uint32_t index) const {
  const auto first = touched_.begin() + std::max(index, first_untouched_);
  if (first >= touched_.end()) {
    return std::nullopt;
  }
  const auto found = std::find(first, touched_.end(), false);
  if (found == touched_.end()) {
    return std::nullopt;
  }
  return static_cast<std::uint32_t>(found - touched_.begin());
}

std::optional<std::uint32_t> task_table::FirstNotDone() const {
  const auto found = std::find(done_.begin(), done_.end(), false);
  if (found == done_.end()) {
    return std::nullopt;
  }
  return static_cast<std::uint32_t>(found - done_.begin());
}

const scheduled_task& task_table::operator[](std::size_t index) const {
  static const scheduled_task kUntouched;
  static const scheduled_task kDone = [] {
    scheduled_task task;
    task.done = true;
    return task;
  }();
  const auto found = tracked_.find(static_cast<std::uint32_t>(index));
  return found != tracked_.end() ? found->second
         : done_[index]          ? kDone
                                 : kUntouched;
}

scheduled_task task_table::Untouched() const {
  scheduled_task task;
  task.ready_since = ready_since_;
  task.possibly_running = possibly_running_;
  return task;
}

scheduled_task task_table::CopyOf(std::uint32_t index) const {
  const auto found = tracked_.find(index);
  if (found != tracked_.end()) {
    return found->second;
  }
  scheduled_task task = Untouched();
  task.done = done_[index];
  return task;
}

scheduled_task& task_table::Track(std::uint32_t index) {
  const auto found = tracked_.find(index);
  if (found != tracked_.end()) {
    return found->second;
  }
  Touch(index);
  return tracked_.emplace(index, CopyOf(index)).first->second;
}

void task_table::SetDone(std::uint32_t index) {
  if (done_[index]) {
    return;
  }
  done_[index] = true;
  ++done_count_;
  Touch(index);
  const auto found = tracked_.find(index);
  if (found != tracked_.end()) {
    found->second.done = true;
  }
}

void task_table::ReleaseDone(std::uint32_t index) {
  const auto found = tracked_.find(index);
  if (found != tracked_.end() && found->second.done &&
      found->second.runs.empty()) {
    tracked_.erase(found);
  }
}

void task_table::SetReadySince(millis now) {
  ready_since_ = now;
  for (auto& [index, task] : tracked_) {
    task.ready_since = now;
  }
}

std::string task_table::DoneText() const {
  std::string text(done_.size(), '0');
  for (std::size_t i = 0; i < done_.size(); ++i) {
    if (done_[i]) {
      text[i] = '1';
    }
  }
  return text;
}

void task_table::Touch(std::uint32_t index) {
  if (touched_[index]) {
    return;
  }
  touched_[index] = true;
  ++touched_count_;
  while (first_untouched_ < touched_.size() && touched_[first_untouched_]) {
    ++first_untouched_;
  }
}

}  // namespace chervilkeel
