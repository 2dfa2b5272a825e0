// What an agent remembers of the runs on its executor, so that after a crash
// each owner can learn which of them may have been the cause.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "chervilkeel/worker_report.h"

namespace chervilkeel {

// Times are in ms by the agent's clock. Not thread-safe.
class executor_history {
 public:
  // Records that a start was sent. Its answer may be lost.
  void OnStartSent(const task_name& task, std::uint64_t run, millis now);
  // Records that the executor has answered it: the run is there.
  void OnStarted(const task_name& task, std::uint64_t run);
  // Records that a try to start had no effect: it was refused or not sent.
  void OnStartWithoutEffect(const task_name& task, std::uint64_t run);

  // Records that the run has ended. A list of all runs tells that, too.
  void OnEnded(const task_name& task, std::uint64_t run) {
    runs_.erase({task, run});
  }

  // Records that the executor has answered any call.
  void OnAnswer(millis now) { answered_at_ = now; }

  // Takes a list of all runs that the executor was asked for at `asked`.
  void OnList(const std::vector<run_status>& running, millis asked, millis now);

  // Records that the boot has ended without notice.
  void OnCrash(const executor_boot& boot, millis now);

  // Records that the executor has left, and ended its runs, as announced.
  void OnLeft();

  // Returns the crashes of the last kMemory ms.
  std::vector<crashed_executor> Crashes(millis now) const;

  // Returns the number of crashes so far.
  std::uint64_t CrashCount() const { return crash_count_; }

 private:
  struct known_run {
    millis sent = 0;     // The last order to start it, or its first listing.
    int open_tries = 0;  // That may have reached the executor.
    bool is_there = false;
  };

  struct crash {
    crashed_executor executor;
    millis at = 0;
  };

  // Longer than owners need to replace each other.
  static constexpr millis kMemory = 30'000;
  static constexpr std::size_t kMaxCrashes = 4;

  using run_name = std::pair<task_name, std::uint64_t>;
  std::map<run_name, known_run> runs_;
  millis answered_at_ = 0;
  std::deque<crash> crashes_;
  std::uint64_t crash_count_ = 0;
};

}  // namespace chervilkeel
