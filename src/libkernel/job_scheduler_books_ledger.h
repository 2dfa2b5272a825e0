// What is checked of simulated executors, and the time and chance that they
// live by.
#pragma once

#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "chervilkeel/job_scheduler.h"

namespace chervilkeel {

using run_name = std::pair<task_name, std::uint64_t>;

class virtual_time {
 public:
  millis Now() const { return now_; }

  void After(millis delay, std::function<void()> step) {
    steps_.emplace(now_ + std::max<millis>(delay, 0), std::move(step));
  }

  void RunUntil(millis end) {
    while (!steps_.empty() && steps_.begin()->first <= end) {
      auto node = steps_.extract(steps_.begin());
      now_ = node.key();
      node.mapped()();
    }
    now_ = end;
  }

 private:
  millis now_ = 1'000;
  std::multimap<millis, std::function<void()>> steps_;
};

class dice {
 public:
  explicit dice(std::uint64_t seed) : engine_(seed) {}

  millis Between(millis least, millis most) {
    const auto values = static_cast<std::uint64_t>(most - least + 1);
    return least + static_cast<millis>(engine_() % values);
  }
  bool Happens(int percent) { return Between(0, 99) < percent; }

 private:
  std::mt19937_64 engine_;
};

// Sees the starts and ends on all executors, and notes broken rules.
class books_ledger {
 public:
  std::map<std::string, job_record> jobs;
  std::map<std::string, millis> cancelled_at;  // When an owner took it.
  // Owners that can't hear of cancellations.
  std::set<std::uint64_t> epochs_in_outage;
  std::string failure;   // The first one.
  bool is_calm = false;  // Tasks are short and do not fail.
  bool prints = false;   // What happens, to stderr.

  void Note(millis now, const std::string& text) const {
    if (prints) {
      std::fprintf(stderr, "%lld %s\n", static_cast<long long>(now),
                   text.c_str());
    }
  }

  void Fail(millis now, const std::string& text) {
    if (failure.empty()) {
      Note(now, "FAILURE " + text);
      failure = "at " + std::to_string(now) + " ms: " + text;
    }
  }

  const job_step& StepOf(const task_name& task) const {
    return jobs.at(task.job).spec.steps[task.step];
  }

  static std::uint64_t EpochOf(const run_name& run) {
    return 1 + run.second / scheduler_options().runs_per_epoch;
  }

  static std::string Text(const run_name& run) {
    return run.first.ToString() + " run " + std::to_string(run.second);
  }

  void OnStart(const run_name& run,
               const std::string& where,
               millis now,
               bool is_late) {
    const task_name& task = run.first;
    const bool is_single = !StepOf(task).speculative;
    const std::string text = Text(run) + " starts on " + where;
    Note(now, text + (is_late ? " late" : ""));
    if (is_single && !live_[task].empty()) {
      Fail(now, text + " beside " + *live_[task].begin());
    }
    if (recorded_done_.count(task) != 0) {
      Fail(now, text + " after its recorded end");
    }
    const auto cancelled = cancelled_at.find(task.job);
    if (!is_late && cancelled != cancelled_at.end() &&
        epochs_in_outage.count(EpochOf(run)) == 0 &&
        now > cancelled->second + kCancelTime) {
      Fail(now, text + " after its job was cancelled");
    }
    for (open_end& open : open_ends_) {
      open.was_started_since = open.was_started_since || open.task == task;
    }
    live_[task].insert(Text(run) + " on " + where);
    ++starts;
  }

  void OnEnd(const run_name& run, const std::string& where) {
    live_[run.first].erase(Text(run) + " on " + where);
  }

  void OnDone(const task_name& task,
              const std::string& where,
              std::uint64_t number,
              millis now) {
    open_ends_.push_back({where, number, task, now, false});
  }

  void OnRecorded(const std::string& where,
                  std::uint64_t number,
                  millis last_lapse,
                  millis now) {
    std::erase_if(open_ends_, [&](const open_end& open) {
      if (open.where != where || open.number != number) {
        return false;
      }
      // An end that is recorded only after the lease has lapsed came too late:
      // its task may have been started elsewhere.
      if (last_lapse >= open.ended_at || StepOf(open.task).speculative) {
        return true;
      }
      Note(now, "recorded end of " + open.task.ToString() + " on " + where);
      if (open.was_started_since) {
        Fail(now, open.task.ToString() + " was started after its end on " +
                      where + ", which is recorded");
      }
      recorded_done_.insert(open.task);
      return true;
    });
  }

  void OnCrash(const std::string& where) {
    std::erase_if(open_ends_,
                  [&](const open_end& open) { return open.where == where; });
  }

  std::uint64_t starts = 0;

 private:
  struct open_end {
    std::string where;
    std::uint64_t number = 0;
    task_name task;
    millis ended_at = 0;
    bool was_started_since = false;
  };

  static constexpr millis kCancelTime = 3'000;

  std::map<task_name, std::set<std::string>> live_;
  std::set<task_name> recorded_done_;
  std::vector<open_end> open_ends_;
};

}  // namespace chervilkeel
