// The part of job_owner that reads from and writes to the store.
#include <algorithm>

#include "chervilkeel/event_log.h"
#include "grant_right.h"
#include "job_keys.h"
#include "job_owner.h"

namespace chervilkeel {

namespace {

constexpr const char* kPart = "owner";
constexpr millis kCallTimeout = 1'000;
constexpr millis kRetryDelay = 150;
// Interval between writes of the interference model. A pair of images is
// learned within seconds, and each store call has a cost.
constexpr millis kPressureWriteInterval = 4'000;

constexpr millis kInboxPause = 300;   // Between two watches on the inbox.
constexpr millis kInboxWait = 3'000;  // Duration of one watch.
constexpr millis kInboxGrace = 500;   // Added to it for the call's timeout.

// Operations of a transaction that are left for changes, after the condition on
// the owner's key and the condition on and write of the commit key.
constexpr std::size_t kChangesPerPart = kMaxTransactionSize - 4;

std::string JoinNames(const std::set<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    text += name + "\n";
  }
  return text;
}

std::set<std::string> SplitNames(const std::string& text) {
  std::set<std::string> names;
  std::size_t start = 0;
  while (start < text.size()) {
    const std::size_t end = std::min(text.find('\n', start), text.size());
    names.insert(text.substr(start, end - start));
    start = end + 1;
  }
  return names;
}

}  // namespace

// Calls a step after a delay, unless the ownership has ended in the meantime.
void job_owner::Retry(std::function<void()> step) {
  retry_timer_.expires_after(std::chrono::milliseconds(kRetryDelay));
  retry_timer_.async_wait([this, term = term_, step = std::move(step)](
                              boost::system::error_code failure) {
    if (!failure && term == term_) {
      step();
    }
  });
}

void job_owner::AddJob(const job_record& record, millis now) {
  scheduler_->AddJob(record, now);
  if (early_cancellations_.count(record.id) != 0 &&
      scheduler_->CancelJob(record.id)) {
    early_cancellations_.erase(record.id);
  }
}

bool job_owner::CancelJob(const std::string& id, const char* source) {
  const auto former = scheduler_->StateOf(id);
  const bool is_known = scheduler_->CancelJob(id);
  const bool is_news = is_known
                           ? !IsFinal(*former)
                           : early_cancellations_.emplace(id, BootNow()).second;
  if (is_news) {
    LogEvent(kPart, "cancel_heard",
             {{"id", id},
              {"source", source},
              {"known", is_known},
              {"epoch", ownership_.epoch}});
  }
  return is_known;
}

void job_owner::ExpireEarlyCancellations() {
  const millis heard_before =
      BootNow() - static_cast<millis>(settings_.job_retention) * 1'000;
  std::erase_if(early_cancellations_, [&](const auto& cancellation) {
    const auto& [id, heard_at] = cancellation;
    if (heard_at >= heard_before) {
      return false;
    }
    scheduler_->RemoveUnknownJob(id);
    return true;
  });
}

void job_owner::ApplyInboxItem(const stored_item& item) {
  const std::string cancel_prefix = kCancelPrefix;
  const std::string job_prefix = kJobPrefix;
  const millis now = BootNow();
  if (item.revision == 0) {
    return;
  }
  if (item.key.rfind(cancel_prefix, 0) == 0) {
    const std::string id = item.key.substr(cancel_prefix.size());
    if (scheduler_ != nullptr) {
      CancelJob(id, "store");
    } else {
      recovered_.cancelled.insert(id);
    }
    return;
  }
  if (item.key.rfind(job_prefix, 0) != 0) {
    return;
  }
  auto record = DecodeJobRecord(item.value);
  if (!record) {
    LogEvent(kPart, "job_unreadable",
             {{"key", item.key}, {"error", ToString(record.error())}}, true);
  } else if (scheduler_ != nullptr) {
    AddJob(record.value(), now);
  } else {
    if (recovered_.ended.count(record.value().id) != 0) {
      DropDetails(record.value().spec);
    }
    recovered_.records.push_back(std::move(record.value()));
  }
}

void job_owner::RecoverInbox(const std::string& after) {
  store_.Client().List(
      kInboxPrefix, after, false, kCallTimeout,
      [this, after, term = term_](const result<item_page>& page) {
        store_.Note(page);
        if (term != term_) {
          return;
        }
        if (!page) {
          Retry([this, after] { RecoverInbox(after); });
          return;
        }
        if (after.empty()) {
          recovered_.records.clear();
          recovered_.cancelled.clear();
          recovered_.inbox_revision = page.value().revision;
        }
        for (const stored_item& item : page.value().items) {
          ApplyInboxItem(item);
        }
        if (page.value().has_more && !page.value().items.empty()) {
          RecoverInbox(page.value().items.back().key);
        } else {
          RecoverMembers();
        }
      });
}

void job_owner::RecoverProgress(const std::string& after) {
  store_.Client().List(
      kProgressPrefix, after, false, kCallTimeout,
      [this, after, term = term_](const result<item_page>& page) {
        store_.Note(page);
        if (term != term_) {
          return;
        }
        if (!page) {
          Retry([this, after] { RecoverProgress(after); });
          return;
        }
        for (const stored_item& item : page.value().items) {
          auto progress = DecodeJobProgress(item.value);
          if (progress) {
            if (IsFinal(progress.value().state)) {
              recovered_.ended.insert(progress.value().id);
            }
            recovered_.progress.push_back(std::move(progress.value()));
          } else {
            LogEvent(kPart, "progress_unreadable",
                     {{"key", item.key}, {"error", ToString(progress.error())}},
                     true);
          }
        }
        if (page.value().has_more && !page.value().items.empty()) {
          RecoverProgress(page.value().items.back().key);
        } else {
          RecoverInbox("");
        }
      });
}

void job_owner::RecoverMembers() {
  store_.Client().Read(
      kMembersKey, kCallTimeout,
      [this, term = term_](const result<std::optional<stored_item>>& item) {
        store_.Note(item);
        if (term != term_) {
          return;
        }
        if (!item) {
          Retry([this] { RecoverMembers(); });
          return;
        }
        if (item.value()) {
          recovered_.members = SplitNames(item.value()->value);
        }
        RecoverFormerGrant();
      });
}

void job_owner::RecoverFormerGrant() {
  store_.Client().Read(
      kFormerGrantKey, kCallTimeout,
      [this, term = term_](const result<std::optional<stored_item>>& item) {
        store_.Note(item);
        if (term != term_) {
          return;
        }
        if (!item) {
          Retry([this] { RecoverFormerGrant(); });
          return;
        }
        recovered_.former_may_grant = item.value().has_value();
        RecoverPressureModel();
      });
}

// Reads the interference model of earlier owners. A failed read is not retried,
// because the owner can learn the model again.
void job_owner::RecoverPressureModel() {
  store_.Client().Read(
      kPressureKey, kCallTimeout,
      [this, term = term_](const result<std::optional<stored_item>>& item) {
        store_.Note(item);
        if (term != term_) {
          return;
        }
        if (item && item.value()) {
          recovered_.pressure = item.value()->value;
        } else if (!item) {
          LogEvent(kPart, "pressure_not_read",
                   {{"error", ToString(item.error())}}, true);
        }
        RecoverCommit();
      });
}

void job_owner::SettleFormerGrant() {
  if (!former_may_grant_ || is_settling_former_grant_ ||
      scheduler_->FormerMayAct()) {
    return;
  }
  is_settling_former_grant_ = true;
  store_transaction transaction;
  transaction.conditions = {{kOwnerKey, ownership_.owner_revision}};
  transaction.removals = {kFormerGrantKey};
  store_.Client().Commit(
      transaction, kCallTimeout,
      [this, term = term_](const result<transaction_outcome>& outcome) {
        store_.Note(outcome);
        if (term != term_) {
          return;
        }
        is_settling_former_grant_ = false;
        if (outcome && outcome.value().applied) {
          former_may_grant_ = false;
          LogEvent(kPart, "former_grant_settled", {{"epoch", ownership_.epoch}},
                   true);
        }
      });
}

// Stores the interference model for later owners. A failed write is not
// retried, because another one follows.
void job_owner::StorePressureModel() {
  const millis now = BootNow();
  if (!active_ || scheduler_ == nullptr || now < next_pressure_write_ ||
      !MayGrant() || store_.IsLost()) {
    return;
  }
  next_pressure_write_ = now + kPressureWriteInterval;
  store_transaction transaction;
  transaction.conditions = {{kOwnerKey, ownership_.owner_revision}};
  transaction.writes = {{kPressureKey, scheduler_->EncodePressureModel(), 0}};
  store_.Client().Commit(transaction, kCallTimeout,
                         [this](const result<transaction_outcome>& outcome) {
                           store_.Note(outcome);
                           if (!outcome) {
                             LogEvent(kPart, "pressure_not_kept",
                                      {{"error", ToString(outcome.error())}});
                           }
                         });
}

void job_owner::RecoverCommit() {
  store_.Client().Read(
      kCommitKey, kCallTimeout,
      [this, term = term_](const result<std::optional<stored_item>>& item) {
        store_.Note(item);
        if (term != term_) {
          return;
        }
        if (!item) {
          Retry([this] { RecoverCommit(); });
          return;
        }
        commit_revision_ = item.value() ? item.value()->revision : 0;
        if (scheduler_ != nullptr) {
          ResumeOwnership();
        } else {
          FinishRecovery();
        }
      });
}

// Resumes with the state in memory, which is still valid because no other entry
// has owned the jobs in the meantime.
void job_owner::ResumeOwnership() {
  scheduler_->RaiseEpoch(ownership_.epoch);
  active_ = true;
  LogEvent(kPart, "continued", {{"epoch", ownership_.epoch}}, true);
  RereadInbox("");
  ScheduleTick();
}

void job_owner::FinishRecovery() {
  scheduler_options options;
  options.grant = grant_;
  // A former owner may issue grants until its lease expires by its own clock,
  // and in an outage as long as it goes by answers of the other entries.
  const auto longest_outage = recovered_.former_may_grant
                                  ? static_cast<millis>(settings_.outage_grant)
                                  : millis{0};
  options.longest_lease =
      options.grant + std::max({static_cast<millis>(settings_.owner_ttl),
                                kFreshAnswer, longest_outage});
  options.retention = static_cast<millis>(settings_.job_retention) * 1'000;
  options.former_may_act = recovered_.former_may_grant;
  options.epoch = ownership_.epoch;
  options.evacuations = evacuations_;
  options.moves.stop = static_cast<millis>(settings_.stop_time);
  options.moves.restore = static_cast<millis>(settings_.restore_time);
  options.moves.checkpoint_interval =
      static_cast<millis>(settings_.checkpoint_interval * 1'000);
  options.lookahead = static_cast<millis>(settings_.lookahead_time);
  const millis now = BootNow();
  auto scheduler = std::make_unique<job_scheduler>(options, now);
  scheduler->on_event = [this](const scheduler_event& event) {
    metrics_.CountEvent(std::string("scheduler_") + event.event);
    std::string text = "id=" + event.subject;
    text += event.worker.empty() ? "" : " worker=" + event.worker;
    text += event.detail.empty() ? "" : " " + event.detail;
    LogEventText("scheduler", event.event, text);
  };
  scheduler->SetConfig(config_);
  if (!recovered_.pressure.empty()) {
    const auto restored = scheduler->RestorePressureModel(recovered_.pressure);
    if (!restored) {
      LogEvent(kPart, "pressure_unreadable",
               {{"error", ToString(restored.error())}}, true);
    }
  }
  const auto jobs = static_cast<std::uint64_t>(recovered_.records.size());
  scheduler->Restore(std::exchange(recovered_.records, {}), recovered_.progress,
                     recovered_.cancelled, recovered_.members, now);
  LogEvent(kPart, "recovered",
           {{"epoch", ownership_.epoch},
            {"jobs", jobs},
            {"members", static_cast<std::uint64_t>(recovered_.members.size())},
            {"former_may_grant", recovered_.former_may_grant},
            {"longest_lease_ms", options.longest_lease},
            {"took_ms", now - recovery_began_}},
           true);
  scheduler_ = std::move(scheduler);
  for (const std::string& id : recovered_.cancelled) {
    CancelJob(id, "recovery");  // Of a job that comes later, too.
  }
  inbox_revision_ = recovered_.inbox_revision;
  former_may_grant_ = recovered_.former_may_grant;
  recovered_ = recovered_state();
  active_ = true;
  WatchInbox();
  Step();
  ScheduleTick();
}

// Watches for jobs and cancellations that an entry stored but could not report
// to this process.
void job_owner::WatchInbox() {
  store_.Client().Watch(
      kInboxPrefix, inbox_revision_, kInboxWait, kInboxWait + kInboxGrace,
      [this, term = term_](const result<item_changes>& changes) {
        store_.Note(changes);
        if (term != term_) {
          return;
        }
        if (changes && changes.value().history_lost) {
          Retry([this] { RereadInbox(""); });
          return;
        }
        if (changes) {
          for (const stored_item& item : changes.value().items) {
            ApplyInboxItem(item);
          }
          inbox_revision_ = std::max(inbox_revision_, changes.value().revision);
          Step();
        }
        inbox_timer_.expires_after(std::chrono::milliseconds(kInboxPause));
        inbox_timer_.async_wait(
            [this, term](boost::system::error_code failure) {
              if (!failure && term == term_) {
                WatchInbox();
              }
            });
      });
}

void job_owner::RereadInbox(const std::string& after) {
  store_.Client().List(
      kInboxPrefix, after, false, kCallTimeout,
      [this, after, term = term_](const result<item_page>& page) {
        store_.Note(page);
        if (term != term_) {
          return;
        }
        if (!page) {
          Retry([this, after] { RereadInbox(after); });
          return;
        }
        if (after.empty()) {
          inbox_revision_ = page.value().revision;
        }
        for (const stored_item& item : page.value().items) {
          ApplyInboxItem(item);
        }
        if (page.value().has_more && !page.value().items.empty()) {
          RereadInbox(page.value().items.back().key);
          return;
        }
        Step();
        WatchInbox();
      });
}

std::vector<store_transaction> job_owner::SplitChanges(
    const durable_changes& changes) const {
  std::vector<store_write> writes;
  std::vector<std::string> removals;
  if (changes.members) {
    writes.push_back({kMembersKey, JoinNames(*changes.members), 0});
  }
  for (const job_progress& progress : changes.progress) {
    writes.push_back(
        {kProgressPrefix + progress.id, EncodeJobProgress(progress), 0});
  }
  for (const std::string& id : changes.expired_jobs) {
    removals.push_back(kJobPrefix + id);
    removals.push_back(kCancelPrefix + id);
    removals.push_back(kProgressPrefix + id);
  }
  std::vector<store_transaction> parts(1);
  const auto part_with_capacity = [&parts]() -> store_transaction& {
    if (parts.back().Size() >= kChangesPerPart) {
      parts.emplace_back();
    }
    return parts.back();
  };
  for (store_write& write : writes) {
    part_with_capacity().writes.push_back(std::move(write));
  }
  for (std::string& key : removals) {
    part_with_capacity().removals.push_back(std::move(key));
  }
  return parts;
}

// Starts to write the scheduler's changes. Only one commit is in flight at a
// time.
void job_owner::Commit() {
  if (!active_ || changes_ || scheduler_ == nullptr) {
    return;
  }
  if (!scheduler_->HasChanges()) {
    if (finishing_ && finished_) {
      std::exchange(finished_, nullptr)();
    }
    return;
  }
  const millis now = BootNow();
  const millis due =
      committed_at_ + static_cast<millis>(settings_.job_commit_interval);
  if (now < due) {
    commit_timer_.expires_after(std::chrono::milliseconds(due - now));
    commit_timer_.async_wait(
        [this, term = term_](boost::system::error_code failure) {
          if (!failure && term == term_) {
            Commit();
          }
        });
    return;
  }
  committed_at_ = now;
  changes_ = scheduler_->TakeChanges(static_cast<std::int64_t>(WallNow()));
  parts_ = SplitChanges(*changes_);
  part_ = 0;
  operation_ = std::to_string(ownership_.epoch) + "." +
               std::to_string(++operation_number_);
  CommitPart();
}

// Commits one part on condition that the commit key still has the revision of
// the previous part. A part whose answer was lost thus can't take effect after
// a later one.
void job_owner::CommitPart() {
  store_transaction transaction = parts_[part_];
  const std::string operation = operation_ + "." + std::to_string(part_);
  transaction.conditions = {{kOwnerKey, ownership_.owner_revision},
                            {kCommitKey, commit_revision_}};
  transaction.writes.push_back({kCommitKey, operation, 0});
  metrics_.CountEvent("store_commits");
  store_.Client().Commit(
      transaction, kCallTimeout,
      [this, term = term_](const result<transaction_outcome>& outcome) {
        store_.Note(outcome);
        if (term == term_ && changes_) {
          OnPartOutcome(outcome);
        }
      });
}

void job_owner::OnPartOutcome(const result<transaction_outcome>& outcome) {
  if (!outcome) {
    LogEvent(kPart, "commit_unanswered",
             {{"operation", operation_},
              {"part", static_cast<std::uint64_t>(part_)},
              {"error", ToString(outcome.error())}});
    commit_timer_.expires_after(std::chrono::milliseconds(kRetryDelay));
    commit_timer_.async_wait(
        [this, term = term_](boost::system::error_code failure) {
          if (!failure && term == term_ && changes_) {
            CommitPart();
          }
        });
    return;
  }
  if (outcome.value().applied) {
    commit_revision_ = outcome.value().revision;
    OnPartCommitted();
    return;
  }
  const std::string operation = operation_ + "." + std::to_string(part_);
  for (const stored_item& item : outcome.value().conflicts) {
    if (item.key == kCommitKey && item.value == operation &&
        item.revision != 0) {
      // An earlier attempt was applied, but its answer was lost.
      commit_revision_ = item.revision;
      OnPartCommitted();
      return;
    }
  }
  deposed_("a commit was rejected: the owner's key has changed or expired");
}

void job_owner::OnPartCommitted() {
  ++part_;
  if (part_ < parts_.size()) {
    CommitPart();
    return;
  }
  scheduler_->Committed(changes_->number);
  changes_.reset();
  parts_.clear();
  Step();
}

}  // namespace chervilkeel
