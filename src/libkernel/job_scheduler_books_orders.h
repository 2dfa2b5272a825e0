// How a simulated agent carries out orders, by the rules of the real one.
#pragma once

#include "job_scheduler_books_executor.h"

namespace chervilkeel {

// Faults of agents that the test has to find.
struct books_agent_faults {
  bool ignores_boots = false;         // Orders reach the next boot.
  bool tries_stopped_starts = false;  // Until they are answered.
  // A start is tried again under a grant that came after the one under which
  // it was ordered has expired.
  bool renews_leases_of_starts = false;
};

class books_orders : public std::enable_shared_from_this<books_orders> {
 public:
  books_orders(virtual_time& time,
               books_executor& executor,
               millis clock_offset)
      : time_(time), executor_(executor), boot_clock_offset_(clock_offset) {}
  virtual ~books_orders() = default;

  books_agent_faults faults;

  // Keeps what happens until the process goes on.
  void PauseFor(millis duration) {
    if (std::exchange(is_paused_, true)) {
      return;
    }
    time_.After(duration, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self == nullptr) {
        return;
      }
      self->is_paused_ = false;
      for (const auto& event : std::exchange(self->kept_, {})) {
        event();
      }
    });
  }

 protected:
  void Run(const std::function<void()>& event) {
    if (is_paused_) {
      kept_.push_back(event);
    } else {
      event();
    }
  }

  struct open_order {
    worker_order order;
    int tries = 0;
    bool withdrawing = false;
    millis granted_until = 0;  // When the order came.
  };
  struct untold_start {
    std::uint64_t number = 0;
    start_result result;
  };

  virtual void Sync(bool wait) = 0;

  // Drops what comes after the end of the process.
  template <class value_type, class function_type>
  std::function<void(std::optional<value_type>)> Guarded(
      function_type function) {
    return [weak = weak_from_this(),
            function](std::optional<value_type> value) {
      if (const auto self = weak.lock()) {
        self->Run([function, value = std::move(value)] { function(value); });
      }
    };
  }

  void After(millis delay, std::function<void()> step) {
    time_.After(delay, [weak = weak_from_this(), step = std::move(step)] {
      if (const auto self = weak.lock()) {
        self->Run(step);
      }
    });
  }

  millis Clock() const { return time_.Now() + boot_clock_offset_; }
  millis LeaseEnd() const { return granted_until_ + clock_offset_; }

  void NoteClock(millis clock) {
    clock_offset_ = clock - Clock();
    clock_known_ = true;
  }

  void ForgetOrders() {
    starts_.clear();
    open_starts_.clear();
    open_stops_.clear();
    withdrawn_.clear();
    settled_.clear();
  }

  // `is_stopped`: the same reply carries an order to stop the run.
  void Carry(const worker_order& order, bool is_stopped) {
    const run_name name{order.task, order.run};
    if (order.boot != worker_.boot && !faults.ignores_boots) {
      return;
    }
    if (order.kind == order_kind::kStart && !WasStartOrdered(name)) {
      open_starts_[name] = {order, 0, false, granted_until_};
      if (is_stopped && !faults.tries_stopped_starts) {
        TakeBack(name);
      } else {
        SendStart(name);
      }
    }
    if (order.kind == order_kind::kStop) {
      const auto open = open_starts_.find(name);
      if (open != open_starts_.end() && !faults.tries_stopped_starts) {
        TakeBack(name);
        return;
      }
      open_stops_[name] = {order, 0, false, 0};
      SendStop(name);
    }
  }

  bool WasStartOrdered(const run_name& name) const {
    return open_starts_.count(name) != 0 || withdrawn_.count(name) != 0 ||
           settled_.count(name) != 0;
  }

  void Report(const run_name& name, start_outcome outcome) {
    const millis now = Clock();
    std::erase_if(settled_, [now](const auto& entry) {
      return now - entry.second > kSettledMemory;
    });
    settled_[name] = now;
    starts_.push_back({++last_start_, {name.first, name.second, outcome, now}});
    if (outcome != start_outcome::kStarted) {
      Sync(false);
    }
  }

  void SendStart(const run_name& name) {
    const auto open = open_starts_.find(name);
    if (open == open_starts_.end() || open->second.withdrawing) {
      return;
    }
    if (open->second.tries == 0 &&
        (!clock_known_ || granted_until_ - Clock() < kLeastLease ||
         worker_.draining)) {
      if (open->second.order.was_tried) {
        TakeBack(name);
        return;
      }
      open_starts_.erase(open);
      Report(name, start_outcome::kRefused);
      return;
    }
    ++open->second.tries;
    const millis lease = faults.renews_leases_of_starts
                             ? LeaseEnd()
                             : open->second.granted_until + clock_offset_;
    executor_.Call<books_boot::answer>(
        worker_.boot, faults.ignores_boots, kOrderTimeout,
        [name, epoch = epoch_, lease](books_boot& boot, bool is_late) {
          return boot.Start({name, epoch, lease, is_late});
        },
        Guarded<books_boot::answer>([this, name, epoch = epoch_](auto answer) {
          if (epoch == epoch_) {
            OnStartAnswer(name, answer);
          }
        }));
  }

  void OnStartAnswer(const run_name& name,
                     const std::optional<books_boot::answer>& answer) {
    const auto open = open_starts_.find(name);
    if (open == open_starts_.end() || open->second.withdrawing) {
      return;
    }
    if (answer) {
      NoteClock(answer->clock);
      start_outcome outcome = start_outcome::kRefused;
      switch (answer->verdict) {
        case executor_verdict::kAccepted:
          outcome = start_outcome::kStarted;
          break;
        case executor_verdict::kNoCapacity:
          outcome = start_outcome::kNoCapacity;
          break;
        case executor_verdict::kOutdated:
          outcome = start_outcome::kOutdated;
          break;
        default:
          break;
      }
      const bool is_only_try =
          open->second.tries == 1 && !open->second.order.was_tried;
      if (outcome == start_outcome::kOutdated && !is_only_try) {
        outcome = start_outcome::kStarted;
      }
      if (is_only_try || outcome == start_outcome::kStarted) {
        open_starts_.erase(open);
        Report(name, outcome);
        return;
      }
    } else if (open->second.tries < kStartTries) {
      After(kOrderRetry, [this, name] { SendStart(name); });
      return;
    }
    TakeBack(name);
  }

  void TakeBack(const run_name& name) {
    open_order& open = open_starts_.at(name);
    if (std::exchange(open.withdrawing, true)) {
      return;
    }
    open_stops_[name] = {open.order, 0, true, 0};
    SendStop(name);
  }

  void SendStop(const run_name& name) {
    if (open_stops_.count(name) == 0) {
      return;
    }
    executor_.Call<books_boot::answer>(
        worker_.boot, faults.ignores_boots, kOrderTimeout,
        [name, epoch = epoch_](books_boot& boot, bool) {
          return boot.Stop(name, epoch);
        },
        Guarded<books_boot::answer>([this, name, epoch = epoch_](auto answer) {
          if (epoch == epoch_) {
            OnStopAnswer(name, answer);
          }
        }));
  }

  void OnStopAnswer(const run_name& name,
                    const std::optional<books_boot::answer>& answer) {
    const auto open = open_stops_.find(name);
    if (open == open_stops_.end()) {
      return;
    }
    if (!answer || answer->verdict != executor_verdict::kAccepted) {
      After(kOrderRetry, [this, name] { SendStop(name); });
      return;
    }
    const bool withdrawn = open->second.withdrawing;
    open_stops_.erase(open);
    if (withdrawn) {
      open_starts_.erase(name);
      withdrawn_[name] = Clock();
    }
  }

  void SettleOrders(millis asked) {
    std::set<run_name> running;
    for (const run_status& status : runs_) {
      running.emplace(status.task, status.run);
    }
    for (const auto& [name, open] : std::map(open_starts_)) {
      if (!open.withdrawing && running.count(name) != 0) {
        open_starts_.erase(name);
        Report(name, start_outcome::kStarted);
      }
    }
    for (const auto& [name, stopped] : std::map(withdrawn_)) {
      if (asked > stopped && running.count(name) == 0) {
        withdrawn_.erase(name);
        Report(name, start_outcome::kWithdrawn);
      }
    }
  }

  // As in the real agent.
  static constexpr millis kOrderTimeout = 400;
  static constexpr millis kOrderRetry = 100;
  static constexpr int kStartTries = 3;
  static constexpr millis kSettledMemory = 5'000;
  static constexpr millis kLeastLease = 300;

  bool is_paused_ = false;
  std::vector<std::function<void()>> kept_;
  virtual_time& time_;
  books_executor& executor_;
  const millis boot_clock_offset_;
  executor_description worker_;
  std::uint64_t epoch_ = 0;
  millis granted_until_ = 0;
  millis clock_offset_ = 0;
  bool clock_known_ = false;
  std::vector<run_status> runs_;
  std::vector<untold_start> starts_;
  std::uint64_t last_start_ = 0;
  std::map<run_name, open_order> open_starts_;
  std::map<run_name, open_order> open_stops_;
  std::map<run_name, millis> withdrawn_;
  std::map<run_name, millis> settled_;
};

}  // namespace chervilkeel
