#include "candidate_list.h"

#include <algorithm>
#include <utility>

#include "chervilkeel/event_log.h"
#include "job_keys.h"

namespace chervilkeel {

namespace {

constexpr const char* kPart = "candidates";
constexpr millis kCallTimeout = 800;

}  // namespace

candidate_list::candidate_list(store_link& store,
                               std::string address,
                               deposed_function deposed)
    : store_(store),
      address_(std::move(address)),
      deposed_(std::move(deposed)) {}

void candidate_list::Begin(const ownership& won) {
  ++term_;
  owner_revision_ = won.owner_revision;
  revision_ = won.owner_revision;  // One transaction wrote both keys.
  stored_ = won.candidates;
  doubtful_.clear();
  is_writing_ = false;
}

void candidate_list::End() {
  ++term_;
  stored_.clear();
  doubtful_.clear();
}

std::set<std::string> candidate_list::Possible() const {
  std::set<std::string> all = stored_;
  for (const std::set<std::string>& list : doubtful_) {
    all.insert(list.begin(), list.end());
  }
  return all;
}

bool candidate_list::MayBeOpen() const {
  return stored_.size() <= 1 ||
         std::any_of(doubtful_.begin(), doubtful_.end(),
                     [](const auto& list) { return list.size() <= 1; });
}

void candidate_list::Store(const std::set<std::string>& wanted) {
  if (is_writing_ || (wanted == stored_ && doubtful_.empty())) {
    return;
  }
  is_writing_ = true;
  doubtful_.push_back(wanted);
  store_transaction transaction;
  transaction.conditions = {{kOwnerKey, owner_revision_},
                            {kCandidatesKey, revision_}};
  transaction.writes = {
      {kCandidatesKey, EncodeCandidates(address_, wanted), 0}};
  store_.Client().Commit(
      transaction, kCallTimeout,
      [this, wanted, term = term_](const result<transaction_outcome>& outcome) {
        store_.Note(outcome);
        if (term == term_) {
          is_writing_ = false;
          OnOutcome(wanted, outcome);
        }
      });
}

void candidate_list::OnOutcome(const std::set<std::string>& written,
                               const result<transaction_outcome>& outcome) {
  if (!outcome) {
    LogEvent(kPart, "list_unanswered", {{"error", ToString(outcome.error())}});
    if (outcome.error().code == error_code::kUnavailable) {
      doubtful_.pop_back();  // It had no effect.
    }
    return;
  }
  if (outcome.value().applied) {
    TakeStored(EncodeCandidates(address_, written), outcome.value().revision);
    return;
  }
  for (const stored_item& item : outcome.value().conflicts) {
    if (item.key == kOwnerKey && item.revision != owner_revision_) {
      deposed_(
          "the list of candidates was rejected: the owner's key has "
          "changed or expired");
      return;
    }
  }
  for (const stored_item& item : outcome.value().conflicts) {
    if (item.key == kCandidatesKey && item.revision != 0) {
      TakeStored(item.value, item.revision);
    }
  }
}

// A list with a new revision settles all writes that were conditional on the
// former one.
void candidate_list::TakeStored(const std::string& text,
                                std::uint64_t revision) {
  if (revision == revision_) {
    return;
  }
  revision_ = revision;
  doubtful_.clear();
  stored_ = DecodeCandidates(text).entries;
  LogEvent(kPart, "listed",
           {{"revision", revision},
            {"entries", static_cast<std::uint64_t>(stored_.size())}},
           true);
}

}  // namespace chervilkeel
