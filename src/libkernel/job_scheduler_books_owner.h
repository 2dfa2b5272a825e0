// A simulated owner of the jobs: the real scheduler, the calls that it answers,
// and a store that is slow or fails.
#pragma once

#include <limits>

#include "job_scheduler_books_agent.h"
#include "job_scheduler_fixture.h"

namespace chervilkeel {

struct books_store {
  std::vector<job_record> records;
  std::map<std::string, job_progress> progress;
  std::set<std::string> cancelled;
  std::set<std::string> members;
  std::uint64_t epoch = 1;        // Of the owner that may write.
  bool former_may_grant = false;  // An owner of a lower epoch, in an outage.
  bool is_in_trouble = false;
};

// Faults of owners that the test has to find.
struct books_owner_faults {
  bool grants_without_right = false;  // Beside the next owner.
  bool needs_no_agents = false;       // To grant in an outage.
  // Owners don't wait for those who may grant in an outage, or only the first
  // of them does.
  bool ignores_outage_grants = false;
  bool settles_outage_grants_early = false;
};

class books_owner : public std::enable_shared_from_this<books_owner> {
 public:
  books_owner_faults faults;

  using reply_function = std::function<void(const books_reply&)>;

  // How long an owner may grant without the store.
  static constexpr millis kLongestOutageGrant = 6'000;

  books_owner(virtual_time& time,
              dice& random,
              books_store& store,
              books_ledger& ledger)
      : time_(time),
        random_(random),
        store_(store),
        ledger_(ledger),
        epoch_(store.epoch),
        former_may_grant_(store.former_may_grant),
        scheduler_(OptionsFor(store), time.Now()) {}

  job_scheduler& Scheduler() { return scheduler_; }
  std::uint64_t Epoch() const { return epoch_; }
  bool IsActive() const { return is_active_; }

  void Begin() {
    scheduler_.on_event = [this](const scheduler_event& event) {
      ledger_.Note(time_.Now(), "owner " + std::to_string(epoch_) + " " +
                                    event.event + " " + event.subject + " " +
                                    event.worker + " " + event.detail);
    };
    scheduling_config config;
    config.version = 1;
    config.queues["paths"] = Queue();
    scheduler_.SetConfig(config);
    std::vector<job_progress> progress;
    for (const auto& [id, saved] : store_.progress) {
      progress.push_back(saved);
    }
    scheduler_.Restore(store_.records, progress, store_.cancelled,
                       store_.members, time_.Now());
    TickOn();
  }

  static queue_policy Queue() {
    queue_policy queue;
    queue.name = "paths";
    queue.service = "cutting";
    queue.max_attempts = kManyAttempts;
    return queue;
  }

  // Handles an event, or keeps it until the process goes on.
  void Run(std::function<void()> event) {
    if (has_ended_) {
      return;
    }
    if (is_paused_) {
      kept_.push_back(std::move(event));
    } else {
      event();
    }
  }

  void PauseFor(millis duration) {
    if (is_paused_) {
      return;
    }
    is_paused_ = true;
    ledger_.Note(time_.Now(), "owner " + std::to_string(epoch_) +
                                  " pauses for " + std::to_string(duration));
    After(duration, [this] {
      is_paused_ = false;
      auto kept = std::exchange(kept_, {});
      for (std::size_t i = kept.size(); i > 1; --i) {
        const millis other = random_.Between(0, static_cast<millis>(i) - 1);
        std::swap(kept[i - 1], kept[static_cast<std::size_t>(other)]);
      }
      for (const auto& event : kept) {
        Run(event);
      }
    });
  }

  // Another owner was elected. This one may grant for a little longer, as its
  // lease has not expired by its clock, and goes on without the right to grant
  // until it learns of the other. None of its commits takes effect.
  void Replace(millis right_left, millis duration) {
    right_ends_ = time_.Now() + right_left;
    After(duration, [this] {
      is_active_ = false;
      has_ended_ = true;
    });
  }

  // The same for an owner that goes by answers of others in an outage.
  void ReplaceInOutage(millis right_left, millis duration) {
    scheduler_.SetHasLease(false);
    is_in_outage_ = true;
    ledger_.epochs_in_outage.insert(epoch_);
    Replace(right_left, duration);
  }

  // Is elected again, with nobody in between.
  void RaiseEpoch() {
    if (!is_active_) {
      return;
    }
    is_active_ = false;
    ++term_;
    if (changes_) {
      scheduler_.CommitFailed(*std::exchange(changes_, std::nullopt));
    }
    After(random_.Between(20, 600), [this] {
      if (epoch_ != store_.epoch) {
        return;
      }
      epoch_ = ++store_.epoch;
      scheduler_.RaiseEpoch(epoch_);
      is_active_ = true;
      TickOn();
    });
  }

  void AddJob(const job_record& record) {
    Run([this, record] {
      scheduler_.AddJob(record, time_.Now());
      if (early_cancellations_.count(record.id) != 0) {
        CancelKnownJob(record.id);
      }
    });
  }

  void CancelJob(const std::string& id) {
    Run([this, id] {
      if (!CancelKnownJob(id)) {
        early_cancellations_.insert(id);
      }
    });
  }

  void OnSync(const books_sync& sync, reply_function reply) {
    if (!is_active_) {
      reply({});
      return;
    }
    const std::string& agent = sync.report.agent;
    const millis now = time_.Now();
    if (scheduler_.NoteCall(agent, sync.report.call, now) ==
        call_order::kOfFormerProcess) {
      reply({});
      return;
    }
    if (!sync.gone.id.empty()) {
      scheduler_.OnExecutorLeft(agent, sync.gone, now);
    }
    const bool obeys = sync.obeys && sync.epoch == epoch_;
    if (obeys) {
      scheduler_.OnReport(sync.report, now);
    }
    const auto former = waiting_.find(agent);
    if (former != waiting_.end() && sync.wait) {
      former->second.reply({});
      waiting_.erase(former);
    }
    const std::uint64_t acked = sync.epoch == epoch_ ? sync.acked_order : 0;
    const waiting_sync waiting{std::move(reply), now + kHoldTime, acked, obeys};
    if (sync.wait && sync.epoch == epoch_ &&
        scheduler_.OrdersFor(agent, acked).empty()) {
      waiting_[agent] = waiting;
    } else {
      Answer(agent, waiting);
    }
    if (!std::exchange(is_step_due_, true)) {
      After(kStepDelay, [this] {
        Run([this] {
          is_step_due_ = false;
          Step();
        });
      });
    }
  }

 private:
  bool CancelKnownJob(const std::string& id) {
    if (!scheduler_.CancelJob(id)) {
      return false;
    }
    ledger_.Note(time_.Now(), "cancel " + id);
    ledger_.cancelled_at.emplace(id, time_.Now());
    return true;
  }

  struct waiting_sync {
    reply_function reply;
    millis until = 0;
    std::uint64_t acked = 0;
    bool obeys = false;
  };

  static scheduler_options OptionsFor(const books_store& store) {
    scheduler_options options;
    options.grant = kGrant;
    options.longest_lease =
        kGrant + (store.former_may_grant ? kLongestOutageGrant : kOwnerLease);
    options.former_may_act = store.former_may_grant;
    options.epoch = store.epoch;
    return options;
  }

  void After(millis delay, std::function<void()> step) {
    time_.After(delay, [weak = weak_from_this(), step = std::move(step)] {
      if (const auto self = weak.lock()) {
        step();
      }
    });
  }

  void TickOn() {
    After(kTick, [this, term = term_] {
      Run([this, term] {
        if (term == term_ && is_active_) {
          Step();
          TickOn();
        }
      });
    });
  }

  void Step() {
    if (!is_active_) {
      return;
    }
    scheduler_.Tick(time_.Now(), kWallMs + time_.Now());
    Commit();
    SettleFormerGrant();
    for (const std::string& agent : scheduler_.TakeAgentsToNotify()) {
      if (const auto node = waiting_.extract(agent)) {
        Answer(agent, node.mapped());
      }
    }
    for (const auto& [agent, waiting] : std::map(waiting_)) {
      if (time_.Now() >= waiting.until) {
        Answer(agent, waiting);
        waiting_.erase(agent);
      }
    }
  }

  bool MayGrant() const {
    const bool hears_agents = !is_in_outage_ || faults.needs_no_agents ||
                              scheduler_.HearsMostMembers(time_.Now());
    return faults.grants_without_right ||
           (time_.Now() < right_ends_ && hears_agents);
  }

  void Answer(const std::string& agent, const waiting_sync& waiting) {
    books_reply reply;
    reply.is_owner = MayGrant();
    reply.epoch = epoch_;
    if (reply.is_owner && scheduler_.IsMember(agent)) {
      reply.grant =
          waiting.obeys && scheduler_.MayGrant(agent) ? kGrant : millis{0};
      reply.recorded_end = scheduler_.RecordedEnd(agent);
      reply.orders = scheduler_.OrdersFor(agent, waiting.acked);
      const auto worker = scheduler_.Workers().find(agent);
      reply.wants_runs =
          worker != scheduler_.Workers().end() && !worker->second.runs_known;
    }
    waiting.reply(reply);
  }

  // Later owners need not wait for a former one that no agent hears.
  void SettleFormerGrant() {
    if (!former_may_grant_ ||
        (scheduler_.FormerMayAct() && !faults.settles_outage_grants_early)) {
      return;
    }
    former_may_grant_ = false;
    After(random_.Between(3, 25), [this, epoch = epoch_] {
      store_.former_may_grant =
          store_.former_may_grant && epoch != store_.epoch;
    });
  }

  void Commit() {
    if (changes_ || time_.Now() < next_commit_) {
      return;
    }
    changes_ = scheduler_.TakeChanges(kWallMs + time_.Now());
    if (!changes_) {
      return;
    }
    const bool is_bad = store_.is_in_trouble && random_.Happens(60);
    const bool is_stored = !is_bad || random_.Happens(40);
    const bool is_answered = !is_bad || !is_stored;
    const millis delay =
        is_bad ? random_.Between(20, 1'000) : random_.Between(3, 25);
    After(delay, [this, term = term_, epoch = epoch_, is_stored, is_answered,
                  changes = *changes_] {
      const bool lands = is_stored && epoch == store_.epoch;
      if (lands) {
        Store(changes);
      }
      // A lost answer is found out by trying again.
      After(is_answered ? 0 : random_.Between(100, 2'500),
            [this, term, lands, number = changes.number] {
              Run([this, term, lands] { Settle(term, lands); });
            });
    });
  }

  void Store(const durable_changes& changes) {
    for (const job_progress& saved : changes.progress) {
      store_.progress[saved.id] =
          DecodeJobProgress(EncodeJobProgress(saved)).value();
    }
    store_.members = changes.members.value_or(store_.members);
  }

  void Settle(std::uint64_t term, bool is_stored) {
    if (term != term_ || !changes_) {
      return;
    }
    const durable_changes changes = *std::exchange(changes_, std::nullopt);
    if (is_stored) {
      scheduler_.Committed(changes.number);
      Commit();
    } else {
      scheduler_.CommitFailed(changes);
      next_commit_ = time_.Now() + kCommitRetry;
    }
  }

  static constexpr millis kTick = 50;
  static constexpr millis kStepDelay = 4;
  static constexpr millis kHoldTime = 250;
  static constexpr millis kGrant = 2'600;
  static constexpr millis kOwnerLease = 1'000;
  static constexpr millis kCommitRetry = 150;
  static constexpr std::uint32_t kManyAttempts = 1'000;

  virtual_time& time_;
  dice& random_;
  books_store& store_;
  books_ledger& ledger_;
  std::uint64_t epoch_;
  bool former_may_grant_;  // As read, until that is settled.
  job_scheduler scheduler_;
  bool is_active_ = true;
  bool is_paused_ = false;
  bool has_ended_ = false;
  bool is_in_outage_ = false;  // Cut off from the store and the next owner.
  millis right_ends_ = std::numeric_limits<millis>::max();
  bool is_step_due_ = false;
  std::uint64_t term_ = 0;
  std::vector<std::function<void()>> kept_;
  std::map<std::string, waiting_sync> waiting_;
  std::set<std::string> early_cancellations_;  // Of jobs not known yet.
  std::optional<durable_changes> changes_;     // That are being stored.
  millis next_commit_ = 0;
};

}  // namespace chervilkeel
