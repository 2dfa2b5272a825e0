#include "executor_history.h"

namespace chervilkeel {

void executor_history::OnStartSent(const task_name& task,
                                   std::uint64_t run,
                                   millis now) {
  known_run& entry = runs_[{task, run}];
  entry.sent = now;
  ++entry.open_tries;
}

void executor_history::OnStarted(const task_name& task, std::uint64_t run) {
  const auto found = runs_.find({task, run});
  if (found != runs_.end()) {
    found->second.is_there = true;
  }
}

void executor_history::OnStartWithoutEffect(const task_name& task,
                                            std::uint64_t run) {
  const auto found = runs_.find({task, run});
  if (found != runs_.end() && --found->second.open_tries == 0 &&
      !found->second.is_there) {
    runs_.erase(found);
  }
}

void executor_history::OnList(const std::vector<run_status>& running,
                              millis asked,
                              millis now) {
  OnAnswer(now);
  std::map<run_name, known_run> present;
  for (const run_status& status : running) {
    const auto entry =
        runs_.try_emplace({status.task, status.run}, known_run{now}).first;
    entry->second.is_there = true;
    present.insert(*entry);
  }
  // An order that was sent after the question may not show in its answer.
  for (const auto& [name, run] : runs_) {
    if (run.sent >= asked) {
      present.try_emplace(name, run);
    }
  }
  runs_ = std::move(present);
}

void executor_history::OnCrash(const executor_boot& boot, millis now) {
  crash entry{{boot, {}}, now};
  for (const auto& [name, run] : std::exchange(runs_, {})) {
    const bool is_proven =
        run.is_there && answered_at_ - run.sent >= kProvingTime;
    entry.executor.runs.push_back({name.first, name.second, is_proven});
  }
  crashes_.push_back(std::move(entry));
  ++crash_count_;
  if (crashes_.size() > kMaxCrashes) {
    crashes_.pop_front();
  }
}

void executor_history::OnLeft() {
  runs_.clear();
}

std::vector<crashed_executor> executor_history::Crashes(millis now) const {
  std::vector<crashed_executor> recent;
  for (const crash& entry : crashes_) {
    if (now - entry.at < kMemory) {
      recent.push_back(entry.executor);
    }
  }
  return recent;
}

}  // namespace chervilkeel
