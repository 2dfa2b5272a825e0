// The platform's key-value store as the job services use it: asynchronous, with
// transactions over several keys and watches over a prefix.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "chervilkeel/clock.h"
#include "chervilkeel/result.h"

namespace chervilkeel {

struct stored_item {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;  // Of its last change; 0: it does not exist.
  std::uint64_t lease = 0;     // 0: it lives until it is deleted.
};

struct item_page {
  std::vector<stored_item> items;  // In order of keys.
  bool has_more = false;
  std::uint64_t revision = 0;  // Of the whole store.
};

struct store_write {
  std::string key;
  std::string value;
  std::uint64_t lease = 0;
};

// The key must have this revision; 0: it must not exist.
struct store_condition {
  std::string key;
  std::uint64_t revision = 0;
};

// Takes effect whole or not at all.
struct store_transaction {
  std::vector<store_condition> conditions;
  std::vector<store_write> writes;
  std::vector<std::string> removals;

  std::size_t Size() const {
    return conditions.size() + writes.size() + removals.size();
  }
};

// The most conditions, writes and removals that one transaction may hold.
inline constexpr std::size_t kMaxTransactionSize = 32;

struct transaction_outcome {
  bool applied = false;
  std::uint64_t revision = 0;          // When it was applied.
  std::vector<stored_item> conflicts;  // Otherwise: the conditions' keys.
};

struct item_changes {
  std::vector<stored_item> items;  // Revision 0: it was deleted.
  std::uint64_t revision = 0;      // To continue from.
  bool history_lost = false;       // Read everything anew.
};

struct store_lease {
  std::uint64_t id = 0;
  millis duration = 0;
};

template <class value_type>
using store_callback = std::function<void(result<value_type>)>;

// The interface that store plug-ins implement. Each call ends with exactly one
// callback, on the io_context that the plug-in was made with.
//
// The timeout of a read, a list or a watch is for its answer to begin. An
// answer that has begun may take as long as the link needs for it.
//
// Errors: kNotFound for a lease that does not exist, kUnavailable when the call
// certainly had no effect, kUnknown when it may have had one, now or later.
class coordination_store {
 public:
  virtual ~coordination_store() = default;

  virtual void Read(const std::string& key,
                    millis timeout,
                    store_callback<std::optional<stored_item>> callback) = 0;

  // Reads the items after the key `after` (empty: from the first). With
  // `stale_allowed`, the answer may be seconds old, and costs less.
  virtual void List(const std::string& prefix,
                    const std::string& after,
                    bool stale_allowed,
                    millis timeout,
                    store_callback<item_page> callback) = 0;

  // Waits up to `wait` for changes after a revision. Calls `begun`, if there is
  // one, when a part of a long answer has come.
  virtual void Watch(const std::string& prefix,
                     std::uint64_t after_revision,
                     millis wait,
                     millis timeout,
                     store_callback<item_changes> callback,
                     std::function<void()> begun) = 0;
  void Watch(const std::string& prefix,
             std::uint64_t after_revision,
             millis wait,
             millis timeout,
             store_callback<item_changes> callback) {
    Watch(prefix, after_revision, wait, timeout, std::move(callback), nullptr);
  }

  virtual void Commit(const store_transaction& transaction,
                      millis timeout,
                      store_callback<transaction_outcome> callback) = 0;

  virtual void GrantLease(millis duration,
                          millis timeout,
                          store_callback<store_lease> callback) = 0;

  virtual void RenewLease(std::uint64_t lease,
                          millis timeout,
                          store_callback<store_lease> callback) = 0;

  virtual void EndLease(std::uint64_t lease,
                        millis timeout,
                        store_callback<bool> callback) = 0;
};

}  // namespace chervilkeel
