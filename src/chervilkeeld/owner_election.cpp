#include "owner_election.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <sstream>

#include "chervilkeel/event_log.h"
#include "job_keys.h"

namespace chervilkeel {

namespace {

constexpr const char* kPart = "election";
constexpr millis kCallTimeout = 800;  // Well above the 4 ms of an idle store.
constexpr millis kRetry = 200;        // Delay after a failed call.
constexpr millis kWatchWait = 2'000;  // Duration of one watch.
constexpr millis kWatchGrace = 500;   // Added to it for the call's timeout.
constexpr int kRenewalsPerLease = 4;
constexpr millis kReturnDelay = 400;  // Gives the former owner a head start.
constexpr millis kCandidacySpread = 150;  // Avoids simultaneous claims.
constexpr millis kMaxLowCpuDelay = 600;   // For an entry with almost no CPU.
constexpr millis kHandOverPause = 1'500;  // Time for another to be elected.

std::uint64_t ParseEpoch(const std::string& text) {
  std::uint64_t epoch = 0;
  std::from_chars(text.data(), text.data() + text.size(), epoch);
  return epoch;
}

// Parses the value of the owner's key, "ADDRESS EPOCH".
owner_view ParseOwner(const std::string& text) {
  owner_view view;
  const auto space = text.find(' ');
  view.address = text.substr(0, space);
  if (space != std::string::npos) {
    view.epoch = ParseEpoch(text.substr(space + 1));
  }
  view.seen = BootNow();
  return view;
}

}  // namespace

std::string EncodeCandidates(const std::string& owner,
                             const std::set<std::string>& entries) {
  std::string text = owner + "\n";
  for (const std::string& entry : entries) {
    if (entry != owner) {
      text += entry + "\n";
    }
  }
  return text;
}

candidate_names DecodeCandidates(const std::string& text) {
  candidate_names names;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (names.owner.empty()) {
      names.owner = line;
    }
    names.entries.insert(line);
  }
  return names;
}

owner_election::owner_election(boost::asio::io_context& context,
                               store_link& store,
                               election_options options,
                               won_function won,
                               lost_function lost)
    : context_(context),
      store_(store),
      options_(std::move(options)),
      won_(std::move(won)),
      lost_(std::move(lost)),
      timer_(context) {}

void owner_election::Start() {
  ReadOwner();
}

void owner_election::RunAfter(millis delay, void (owner_election::*step)()) {
  timer_.expires_after(std::chrono::milliseconds(delay));
  timer_.async_wait([this, step](boost::system::error_code failure) {
    if (!failure) {
      (this->*step)();
    }
  });
}

void owner_election::Learn(const owner_view& reported) {
  if (is_owner_ && reported.epoch > last_own_epoch_) {
    NoteLost("another entry has a higher epoch");
  }
  if (reported.epoch > view_.epoch ||
      (reported.epoch == view_.epoch && view_.address.empty())) {
    view_ = reported;
    view_.seen = BootNow();
  }
}

void owner_election::ReadOwner() {
  if (resigned_) {
    return;
  }
  store_.Client().Read(kOwnerKey, kCallTimeout,
                       [this](const result<std::optional<stored_item>>& found) {
                         store_.Note(found);
                         OnOwnerRead(found);
                       });
}

void owner_election::OnOwnerRead(
    const result<std::optional<stored_item>>& found) {
  if (resigned_) {
    return;
  }
  if (!found) {
    RunAfter(kRetry, &owner_election::ReadOwner);
    return;
  }
  const std::optional<stored_item>& item = found.value();
  if (item) {
    const owner_view seen = ParseOwner(item->value);
    if (seen.address != view_.address || seen.epoch != view_.epoch) {
      LogEvent(kPart, "owner_seen",
               {{"address", seen.address}, {"epoch", seen.epoch}});
    }
    view_ = seen;
    view_revision_ = item->revision;
    unlisted_since_ = 0;
    WatchOwner();
    return;
  }
  view_.address.clear();
  key_free_at_ = BootNow();
  if (!ready_) {
    RunAfter(kRetry, &owner_election::ReadOwner);
    return;
  }
  // The former owner goes first, because it needs no recovery. The others are
  // spread by a hash of their names, and slow VMs wait longer than fast ones.
  const bool was_owner = last_own_epoch_ != 0 && last_own_epoch_ == view_.epoch;
  const millis delay =
      was_owner || view_.epoch == 0
          ? static_cast<millis>(std::hash<std::string>()(options_.name) % 20)
          : kReturnDelay / 4 +
                static_cast<millis>(std::hash<std::string>()(options_.name) %
                                    kCandidacySpread);
  RunAfter(delay + (was_owner ? 0 : LowCpuDelay()),
           &owner_election::ReadCandidates);
}

void owner_election::ReadCandidates() {
  store_.Client().Read(kCandidatesKey, kCallTimeout,
                       [this](const result<std::optional<stored_item>>& list) {
                         store_.Note(list);
                         if (resigned_) {
                           return;
                         }
                         if (list && MayBeElected(list.value())) {
                           Campaign();
                         } else {
                           RunAfter(kRetry, &owner_election::ReadOwner);
                         }
                       });
}

// An entry that the last owner has listed goes first: that owner does not grant
// without the store beside it. It has no such right if it lists only itself.
bool owner_election::MayBeElected(const std::optional<stored_item>& list) {
  candidates_ = DecodeCandidates(list ? list->value : "");
  candidates_revision_ = list ? list->revision : 0;
  is_unlisted_ = candidates_.entries.size() > 1 &&
                 candidates_.entries.count(options_.address) == 0;
  return !is_unlisted_ || MayBeElectedUnlisted();
}

// The listed entries may all be gone for good. An entry that isn't listed takes
// the jobs if none of them does within a lease; by then the lease of the last
// owner has expired by that owner's clock, too. That owner may still grant by
// the answers of listed entries, so the claim says so (kFormerGrantKey).
bool owner_election::MayBeElectedUnlisted() {
  // Each claim changes the list. So the owner of this list has lost the key if
  // that was free between two reads of the same list.
  if (unlisted_revision_ != candidates_revision_) {
    unlisted_revision_ = candidates_revision_;
    unlisted_since_ = 0;
    LogEvent(
        kPart, "not_listed",
        {{"owner", candidates_.owner},
         {"candidates", static_cast<std::uint64_t>(candidates_.entries.size())},
         {"revision", candidates_revision_},
         {"waits_ms", options_.ttl}},
        true);
    return false;
  }
  if (unlisted_since_ == 0) {
    unlisted_since_ = key_free_at_;
  }
  return BootNow() - unlisted_since_ >= options_.ttl;
}

millis owner_election::LowCpuDelay() const {
  const double lacking =
      std::clamp(1.0 - options_.processors / kOwnerProcessors, 0.0, 1.0);
  return static_cast<millis>(lacking * kMaxLowCpuDelay);
}

// Watches the owner's key for a change.
void owner_election::WatchOwner() {
  store_.Client().Watch(
      kOwnerKey, view_revision_, kWatchWait, kWatchWait + kWatchGrace,
      [this](const result<item_changes>& changes) {
        store_.Note(changes);
        if (resigned_) {
          return;
        }
        const bool quiet = changes && !changes.value().history_lost &&
                           changes.value().items.empty();
        if (quiet) {
          view_revision_ = changes.value().revision;
          view_.seen = BootNow();
          WatchOwner();
        } else {
          const bool changed = changes && !changes.value().history_lost;
          RunAfter(changed ? 0 : kRetry, &owner_election::ReadOwner);
        }
      });
}

void owner_election::Campaign() {
  lease_requested_at_ = BootNow();
  store_.Client().GrantLease(options_.ttl, kCallTimeout,
                             [this](const result<store_lease>& granted) {
                               store_.Note(granted);
                               if (resigned_) {
                                 return;
                               }
                               if (!granted) {
                                 RunAfter(kRetry, &owner_election::ReadOwner);
                                 return;
                               }
                               lease_ = granted.value().id;
                               ReadEpoch();
                             });
}

void owner_election::ReadEpoch() {
  store_.Client().Read(kEpochKey, kCallTimeout,
                       [this](const result<std::optional<stored_item>>& epoch) {
                         store_.Note(epoch);
                         if (resigned_) {
                           return;
                         }
                         if (epoch) {
                           TakeOwnership(epoch.value());
                         } else {
                           RunAfter(kRetry, &owner_election::ReadOwner);
                         }
                       });
}

void owner_election::TakeOwnership(const std::optional<stored_item>& epoch) {
  const std::uint64_t next = (epoch ? ParseEpoch(epoch->value) : 0) + 1;
  claim_ = options_.address + " " + std::to_string(next);
  claimed_candidates_ = candidates_.entries;
  claimed_candidates_.insert(known_entries_.begin(), known_entries_.end());
  claimed_candidates_.insert(options_.address);
  store_transaction transaction;
  transaction.conditions = {{kOwnerKey, 0},
                            {kEpochKey, epoch ? epoch->revision : 0},
                            {kCandidatesKey, candidates_revision_}};
  transaction.writes = {
      {kOwnerKey, claim_, lease_},
      {kEpochKey, std::to_string(next), 0},
      {kCandidatesKey, EncodeCandidates(options_.address, claimed_candidates_),
       0}};
  if (is_unlisted_) {
    transaction.writes.push_back({kFormerGrantKey, std::to_string(next), 0});
  }
  store_.Client().Commit(
      transaction, kCallTimeout,
      [this, next](const result<transaction_outcome>& taken) {
        store_.Note(taken);
        if (!resigned_) {
          OnTaken(next, taken);
        }
      });
}

void owner_election::OnTaken(std::uint64_t epoch,
                             const result<transaction_outcome>& taken) {
  if (taken && taken.value().applied) {
    Won(epoch, taken.value().revision);
  } else if (!taken && taken.error().code == error_code::kUnknown) {
    CheckTaken(epoch);
  } else {
    RunAfter(kRetry, &owner_election::ReadOwner);
  }
}

// Reads the owner's key to determine whether a claim whose answer was lost has
// been applied.
void owner_election::CheckTaken(std::uint64_t epoch) {
  store_.Client().Read(
      kOwnerKey, kCallTimeout,
      [this, epoch](const result<std::optional<stored_item>>& found) {
        store_.Note(found);
        if (resigned_) {
          return;
        }
        // An earlier claim of this entry has the same text.
        if (found && found.value() && found.value()->value == claim_ &&
            found.value()->lease == lease_ &&
            BootNow() < lease_requested_at_ + options_.ttl) {
          Won(epoch, found.value()->revision);
        } else {
          RunAfter(kRetry, &owner_election::ReadOwner);
        }
      });
}

void owner_election::Won(std::uint64_t epoch, std::uint64_t revision) {
  is_owner_ = true;
  lease_valid_until_ = lease_requested_at_ + options_.ttl;
  ownership won;
  won.epoch = epoch;
  won.owner_revision = revision;
  won.lease_requested_at = lease_requested_at_;
  won.candidates = claimed_candidates_;
  owner_revision_ = revision;
  won.uninterrupted = last_own_epoch_ != 0 && last_own_epoch_ + 1 == epoch;
  last_own_epoch_ = epoch;
  view_ = {options_.address, epoch, BootNow()};
  view_revision_ = revision;
  LogEvent(kPart, "won",
           {{"epoch", epoch},
            {"uninterrupted", won.uninterrupted},
            {"listed", !is_unlisted_}},
           true);
  RunAfter(options_.ttl / kRenewalsPerLease, &owner_election::Renew);
  won_(won);
}

void owner_election::Renew() {
  if (!is_owner_ || resigned_) {
    return;
  }
  const millis requested_at = BootNow();
  const millis interval = options_.ttl / kRenewalsPerLease;
  store_.Client().RenewLease(
      lease_, options_.ttl / 2,
      [this, requested_at, interval](const result<store_lease>& renewed) {
        store_.Note(renewed);
        if (!is_owner_ || resigned_) {
          return;
        }
        if (renewed) {
          lease_valid_until_ = requested_at + options_.ttl;
          view_.seen = BootNow();
          RunAfter(interval, &owner_election::Renew);
        } else if (renewed.error().code == error_code::kNotFound) {
          NoteLost("the lease has expired");
        } else {
          RunAfter(interval / 2, &owner_election::Renew);
        }
      });
}

void owner_election::NoteLost(const std::string& reason) {
  if (!is_owner_) {
    return;
  }
  is_owner_ = false;
  view_.address.clear();
  LogEvent(kPart, "lost", {{"epoch", last_own_epoch_}, {"reason", reason}},
           true);
  lost_(reason);
  RunAfter(0, &owner_election::ReadOwner);
}

void owner_election::HandOver(const std::string& reason) {
  if (!is_owner_) {
    return;
  }
  is_owner_ = false;
  view_.address.clear();
  LogEvent(kPart, "handed_over",
           {{"epoch", last_own_epoch_}, {"reason", reason}}, true);
  lost_(reason);
  EndTerm();
  RunAfter(kHandOverPause, &owner_election::ReadOwner);
}

// An owner that ends its term grants no more, so its successor need not be
// listed: the list and the key change together. The lease ends whether or not
// that can be stored.
void owner_election::EndTerm() {
  is_ending_lease_ = true;
  store_transaction transaction;
  transaction.conditions = {{kOwnerKey, owner_revision_}};
  transaction.writes = {
      {kCandidatesKey, EncodeCandidates(options_.address, {}), 0}};
  transaction.removals = {kOwnerKey};
  store_.Client().Commit(transaction, kCallTimeout,
                         [this](const result<transaction_outcome>& outcome) {
                           store_.Note(outcome);
                           EndLease();
                         });
}

void owner_election::EndLease() {
  store_.Client().EndLease(lease_, kCallTimeout,
                           [this](const result<bool>& ended) {
                             is_ending_lease_ = false;
                             if (!ended) {
                               LogEvent(kPart, "resign_failed",
                                        {{"error", ToString(ended.error())}});
                             }
                           });
}

void owner_election::Resign() {
  resigned_ = true;
  timer_.cancel();
  if (is_owner_) {
    is_owner_ = false;
    LogEvent(kPart, "resigned", {{"epoch", last_own_epoch_}}, true);
    EndTerm();
  }
}

}  // namespace chervilkeel
