// The way to the store: what it answered last, and a line in the log when it
// is lost or regained.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "chervilkeel/coordination_store.h"

namespace chervilkeel {

// Counts how calls to the store end. Used on the io_context's thread only.
class store_link {
 public:
  explicit store_link(std::unique_ptr<coordination_store> client)
      : client_(std::move(client)) {}

  coordination_store& Client() { return *client_; }

  // To be told of the outcome of each call.
  template <class value_type>
  void Note(const result<value_type>& outcome) {
    const bool unanswered =
        !outcome && (outcome.error().code == error_code::kUnavailable ||
                     outcome.error().code == error_code::kUnknown);
    if (unanswered) {
      NoteFailure(outcome.error());
    } else {
      NoteAnswer();
    }
  }

  // True while the last calls have been answered.
  bool IsUp() const { return failures_ < kFailuresToLost; }

  // True when the call that ended last had no answer.
  bool IsLost() const { return failures_ > 0; }

  // Since the store answered last; -1: it never has.
  millis Silent() const;

 private:
  void NoteAnswer();
  void NoteFailure(const error& failure);

  static constexpr int kFailuresToLost = 2;

  std::unique_ptr<coordination_store> client_;
  int failures_ = 0;
  bool reported_lost_ = false;
  millis answered_ = -1;
};

}  // namespace chervilkeel
