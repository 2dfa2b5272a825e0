// A simulated process of an agent that follows the rules of the real one.
#pragma once

#include "job_scheduler_books_orders.h"

namespace chervilkeel {

// A call of an agent to the owner of the jobs, and its reply.
struct books_sync {
  worker_report report;
  bool obeys = false;
  bool wait = false;
  std::uint64_t epoch = 0;
  std::uint64_t acked_order = 0;
  executor_boot gone;  // An executor that has left.
};

struct books_reply {
  bool is_owner = false;
  std::uint64_t epoch = 0;
  millis grant = 0;
  std::uint64_t recorded_end = 0;
  bool wants_runs = false;
  std::vector<std::pair<std::uint64_t, worker_order>> orders;
};

class books_agent : public books_orders {
 public:
  using reply_function = std::function<void(std::optional<books_reply>)>;
  // Calls the owner that the agent knows; `has_failed`: the last call to it
  // gave no answer of an owner.
  std::function<void(const books_sync&, bool has_failed, reply_function)> call;

  books_agent(virtual_time& time,
              books_executor& executor,
              std::string name,
              millis clock_offset)
      : books_orders(time, executor, clock_offset),
        name_(std::move(name)),
        incarnation_(static_cast<std::uint64_t>(time.Now())) {}

  void Begin() { Sync(true); }

  void OnAnnouncement(const executor_description& said) {
    Run([this, said] { TakeBoot(said); });
  }

  void OnLeft(const executor_boot& boot) {
    Run([this, boot] {
      if (boot.id != worker_.boot.id) {
        return;
      }
      gone_ = worker_.boot;
      runs_.clear();
      obeyed_epoch_ = 0;
      Sync(false);
    });
  }

 private:
  void TakeBoot(const executor_description& said) {
    if (said.boot == worker_.boot || worker_.boot.id.empty() || epoch_ == 0) {
      if (said.boot.started_ms >= worker_.boot.started_ms) {
        FollowBoot(said);
      }
      return;
    }
    if (said.boot == unconfirmed_) {
      return;
    }
    unconfirmed_ = said.boot;
    executor_.Call<executor_run_list>(
        said.boot, true, kConfirmTimeout,
        [epoch = epoch_](books_boot& boot, bool) {
          const bool obeys = boot.Hold(epoch, 0, 0);
          return obeys ? boot.List() : executor_run_list();
        },
        Guarded<executor_run_list>([this, said](auto list) {
          if (said.boot != unconfirmed_) {
            return;
          }
          unconfirmed_ = executor_boot();
          if (list && list->started_ms == said.boot.started_ms) {
            FollowBoot(said);
          }
        }));
  }

  void FollowBoot(const executor_description& said) {
    const bool drains = said.draining && !worker_.draining;
    if (said.boot != worker_.boot) {
      NoteCrash();
      obeyed_epoch_ = 0;
      clock_known_ = false;
      runs_.clear();
      runs_listed_ = false;
      ends_.clear();
      told_end_ = 0;
      recorded_end_ = 0;
      ForgetOrders();
      first_seen_.clear();
    }
    worker_ = said;
    if (drains) {
      Sync(false);
    }
    if (!holding_) {
      Hold();
    }
  }

  void NoteCrash() {
    if (worker_.boot.id.empty() || !runs_listed_ || worker_.draining ||
        gone_ == worker_.boot) {
      return;
    }
    crashed_executor crashed{worker_.boot, {}};
    for (const run_status& run : runs_) {
      const millis seen = first_seen_[{run.task, run.run}];
      crashed.runs.push_back(
          {run.task, run.run, listed_ - seen > kProvingTime});
    }
    crashes_.push_back(std::move(crashed));
  }

  void HoldAfter(millis delay) {
    After(delay, [this, number = ++hold_timer_] {
      if (number == hold_timer_) {
        Hold();
      }
    });
  }

  void Hold() {
    if (holding_ || worker_.boot.id.empty() || epoch_ == 0) {
      return;
    }
    holding_ = true;
    const millis asked = Clock();
    const bool granted = clock_known_ && asked < granted_until_;
    const bool is_first = obeyed_epoch_ != epoch_;
    const millis wait = is_first || !ends_.empty() ? 0 : kHoldWait;
    const auto listed =
        Guarded<executor_run_list>([this, epoch = epoch_, asked](auto list) {
          holding_ = false;
          OnListing(list, epoch, asked);
        });
    executor_.Call<executor_run_list>(
        worker_.boot, faults.ignores_boots, wait + kHoldTimeout,
        [epoch = epoch_, lease = granted ? LeaseEnd() : 0,
         recorded = recorded_end_, wait, until = millis{0},
         &time = time_](books_boot& boot,
                        bool) mutable -> std::optional<executor_run_list> {
          executor_run_list list;
          if (until == 0 && !boot.Hold(epoch, lease, recorded)) {
            list.verdict = executor_verdict::kFenced;
            return list;
          }
          until = until == 0 ? time.Now() + wait : until;
          if (!boot.HasEnds() && time.Now() < until) {
            return std::nullopt;
          }
          return boot.List();
        },
        listed);
  }

  void OnListing(const std::optional<executor_run_list>& list,
                 std::uint64_t epoch,
                 millis asked) {
    if (!list || list->verdict != executor_verdict::kAccepted) {
      has_failed_ = has_failed_ || (list.has_value());
      HoldAfter(kHoldRetry);
      return;
    }
    if (!IsMadeBy(*list, worker_.boot)) {
      obeyed_epoch_ = 0;
      HoldAfter(kHoldRetry);
      return;
    }
    NoteClock(list->clock);
    const bool is_first = epoch == epoch_ && obeyed_epoch_ != epoch;
    if (epoch == epoch_) {
      obeyed_epoch_ = epoch;
    }
    runs_ = list->running;
    runs_listed_ = true;
    asked_ = asked;
    listed_ = Clock();
    for (const run_status& run : runs_) {
      first_seen_.emplace(run_name(run.task, run.run), listed_);
    }
    ends_.clear();
    std::uint64_t last = 0;
    for (const ended_run& ended : list->ended) {
      if (ended.number > recorded_end_) {
        ends_.push_back(ended);
        last = ended.number;
      }
    }
    SettleOrders(asked);
    if (is_first || last > told_end_) {
      Sync(false);
    }
    HoldAfter(kHoldPause);
  }

  void Sync(bool wait) override {
    if (wait && syncing_) {
      return;
    }
    if (!wait && (news_open_ || !owner_answers_)) {
      news_waiting_ = true;
      return;
    }
    (wait ? syncing_ : news_open_) = true;
    const millis now = Clock();
    books_sync sync;
    sync.wait = wait;
    sync.epoch = epoch_;
    sync.acked_order = acked_order_;
    sync.gone = gone_;
    worker_report& report = sync.report;
    report.agent = name_;
    report.call = {incarnation_, ++last_report_, now};
    sync.obeys = obeyed_epoch_ == epoch_ && epoch_ != 0 && runs_listed_ &&
                 now - listed_ < kListingFresh;
    if (sync.obeys) {
      report.worker = worker_;
      if (now - runs_told_ >= kRunsInterval) {
        report.has_runs = true;
        report.runs_age = now - listed_;
        report.listed_after = asked_;
        report.listed_before = listed_;
        report.runs = runs_;
        runs_told_ = now;
      }
      report.ends = ends_;
      for (const ended_run& ended : ends_) {
        told_end_ = std::max(told_end_, ended.number);
      }
      for (const untold_start& started : starts_) {
        report.starts.push_back(started.result);
      }
      if (told_crashes_ < crashes_.size()) {
        report.crashes = crashes_;
      }
    }
    call(sync, has_failed_,
         Guarded<books_reply>(
             [this, now, wait, epoch = epoch_,
              boot = sync.obeys ? worker_.boot : executor_boot(),
              last_start = sync.obeys ? last_start_ : 0,
              crashes = sync.obeys ? crashes_.size() : 0](auto reply) {
               (wait ? syncing_ : news_open_) = false;
               const bool was_read = reply && reply->epoch == epoch;
               OnReply(reply, was_read ? boot : executor_boot(), now,
                       was_read ? last_start : 0, was_read ? crashes : 0, wait);
             }));
    has_failed_ = false;
  }

  void OnReply(const std::optional<books_reply>& reply,
               const executor_boot& boot,
               millis asked,
               std::uint64_t last_start,
               std::size_t crashes,
               bool wait) {
    millis pause = 0;
    if (reply && reply->epoch > epoch_) {
      AdoptEpoch(reply->epoch);
    }
    if (!reply || !reply->is_owner) {
      owner_answers_ = false;
      has_failed_ = true;
      told_end_ = recorded_end_;
      runs_told_ = 0;
      pause = kSyncRetry;
    } else if (reply->epoch == epoch_) {
      owner_answers_ = true;
      told_crashes_ = std::max(told_crashes_, crashes);
      std::erase_if(starts_, [last_start](const untold_start& started) {
        return started.number <= last_start;
      });
      if (reply->grant > 0) {
        granted_until_ = std::max(granted_until_, asked + reply->grant);
      }
      if (reply->wants_runs) {
        runs_told_ = 0;
      }
      gone_ = executor_boot();
      TakeOrders(*reply, boot);
    } else {
      pause = kSyncRetry;
    }
    if (wait) {
      After(pause, [this] { Sync(true); });
    }
    if (owner_answers_ && !news_open_ && std::exchange(news_waiting_, false)) {
      Sync(false);
    }
  }

  void AdoptEpoch(std::uint64_t epoch) {
    epoch_ = epoch;
    acked_order_ = 0;
    runs_told_ = 0;
    told_end_ = 0;
    told_crashes_ = 0;
    ForgetOrders();
    HoldAfter(0);
  }

  void TakeOrders(const books_reply& reply, const executor_boot& boot) {
    if (boot == worker_.boot && reply.recorded_end > recorded_end_ &&
        obeyed_epoch_ == epoch_) {
      std::uint64_t listed = recorded_end_;
      for (const ended_run& ended : ends_) {
        listed = std::max(listed, ended.number);
      }
      recorded_end_ =
          std::max(recorded_end_, std::min(reply.recorded_end, listed));
      std::erase_if(ends_, [this](const ended_run& ended) {
        return ended.number <= recorded_end_;
      });
    }
    if (worker_.boot.id.empty()) {
      return;
    }
    std::set<run_name> stopped;
    for (const auto& [number, order] : reply.orders) {
      if (order.kind == order_kind::kStop) {
        stopped.emplace(order.task, order.run);
      }
    }
    for (const auto& [number, order] : reply.orders) {
      if (number > acked_order_) {
        acked_order_ = number;
        Carry(order, stopped.count({order.task, order.run}) != 0);
      }
    }
  }

  // As in the real agent.
  static constexpr millis kHoldWait = 250;
  static constexpr millis kHoldTimeout = 1'200;
  static constexpr millis kConfirmTimeout = 1'000;
  static constexpr millis kHoldRetry = 150;
  static constexpr millis kHoldPause = 40;
  static constexpr millis kRunsInterval = 250;
  static constexpr millis kSyncRetry = 150;
  static constexpr millis kListingFresh = 1'000;

  const std::string name_;
  const std::uint64_t incarnation_;
  executor_boot unconfirmed_;
  executor_boot gone_;
  std::uint64_t obeyed_epoch_ = 0;
  bool holding_ = false;
  std::uint64_t hold_timer_ = 0;
  bool syncing_ = false;
  bool news_open_ = false;
  bool news_waiting_ = false;
  bool owner_answers_ = false;
  bool has_failed_ = false;
  bool runs_listed_ = false;
  millis asked_ = 0;
  millis listed_ = 0;
  std::uint64_t last_report_ = 0;
  millis runs_told_ = 0;
  std::vector<ended_run> ends_;
  std::uint64_t told_end_ = 0;
  std::uint64_t recorded_end_ = 0;
  std::map<run_name, millis> first_seen_;
  std::vector<crashed_executor> crashes_;
  std::size_t told_crashes_ = 0;
  std::uint64_t acked_order_ = 0;
};

}  // namespace chervilkeel
