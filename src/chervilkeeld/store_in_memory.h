// A store for tests of what speaks to one.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "chervilkeel/coordination_store.h"

namespace chervilkeel {

// A store in memory. It can refuse commits and leases, lose the answers of
// commits that took effect, and fall silent.
class store_in_memory : public coordination_store {
 public:
  using coordination_store::Watch;

  explicit store_in_memory(boost::asio::io_context& context)
      : context_(context) {}

  void Read(const std::string& key,
            millis /*timeout*/,
            store_callback<std::optional<stored_item>> callback) override {
    ++reads;
    if (refused_reads > 0) {
      --refused_reads;
      Post(std::move(callback), Fail(error_code::kUnavailable, "refused"));
      return;
    }
    const auto found = items.find(key);
    read_bytes += found == items.end() ? 0 : found->second.value.size();
    Answer<std::optional<stored_item>>(
        std::move(callback),
        found == items.end() ? std::nullopt : std::optional(found->second));
  }

  void List(const std::string& prefix,
            const std::string& after,
            bool /*stale_allowed*/,
            millis /*timeout*/,
            store_callback<item_page> callback) override {
    ++lists;
    ++lists_of[prefix];
    if (refused_reads > 0) {
      --refused_reads;
      Post(std::move(callback), Fail(error_code::kUnavailable, "refused"));
      return;
    }
    item_page page;
    page.revision = revision_;
    for (const auto& [key, item] : items) {
      if (key.rfind(prefix, 0) == 0 && key > after) {
        page.items.push_back(item);
      }
    }
    Answer<item_page>(std::move(callback), page);
  }

  // A watch that waits is never answered, as nothing changes while it is open;
  // or the next ones fail, and the last of them is answered.
  void Watch(const std::string& prefix,
             std::uint64_t after_revision,
             millis wait,
             millis /*timeout*/,
             store_callback<item_changes> callback,
             std::function<void()> /*begun*/) override {
    if (lossy_watches > 0) {
      --lossy_watches;
      item_changes changes;
      changes.revision = revision_;
      Answer<item_changes>(std::move(callback), changes);
      return;
    }
    if (wait > kShortestWait && failed_watches == 0) {
      return;
    }
    if (wait > kShortestWait && --failed_watches > 0) {
      Post(std::move(callback), Fail(error_code::kUnavailable, "cut off"));
      return;
    }
    ++watches;
    if (refused_reads > 0) {
      --refused_reads;
      Post(std::move(callback), Fail(error_code::kUnavailable, "refused"));
      return;
    }
    item_changes changes;
    changes.revision = revision_;
    changes.history_lost = after_revision < oldest_revision;
    for (const auto& [key, item] : items) {
      if (key.rfind(prefix, 0) == 0 && item.revision > after_revision) {
        changes.items.push_back(item);
      }
    }
    Answer<item_changes>(std::move(callback), changes);
  }

  void Commit(const store_transaction& transaction,
              millis /*timeout*/,
              store_callback<transaction_outcome> callback) override {
    if (is_silent) {
      return;
    }
    if (refused_commits > 0) {
      --refused_commits;
      Post(std::move(callback), Fail(error_code::kUnavailable, "refused"));
      return;
    }
    if (late_commits > 0) {
      --late_commits;
      held_commits_.push_back(transaction);
      Post(std::move(callback), Fail(error_code::kUnknown, "no answer"));
      return;
    }
    const transaction_outcome outcome = Apply(transaction);
    if (lost_answers > 0) {
      --lost_answers;
      Post(std::move(callback), Fail(error_code::kUnknown, "no answer"));
      return;
    }
    Answer<transaction_outcome>(std::move(callback), outcome);
  }

  void GrantLease(millis duration,
                  millis /*timeout*/,
                  store_callback<store_lease> callback) override {
    if (refuses_leases) {
      Post(std::move(callback), Fail(error_code::kConflict, "no lease"));
      return;
    }
    ++leases;
    Answer<store_lease>(std::move(callback), {++lease_, duration});
  }

  void RenewLease(std::uint64_t lease,
                  millis /*timeout*/,
                  store_callback<store_lease> callback) override {
    Answer<store_lease>(std::move(callback), {lease, 0});
  }

  void EndLease(std::uint64_t lease,
                millis /*timeout*/,
                store_callback<bool> callback) override {
    if (is_silent) {
      return;
    }
    std::erase_if(items,
                  [&](const auto& item) { return item.second.lease == lease; });
    Answer<bool>(std::move(callback), true);
  }

  // Lets the commits take effect that were not answered, as far as their
  // conditions still hold.
  void ApplyLateCommits() {
    for (const store_transaction& transaction :
         std::exchange(held_commits_, {})) {
      Apply(transaction);
    }
  }

  // Writes an item as another process would.
  void Put(const std::string& key, const std::string& value) {
    items[key] = {key, value, ++revision_, 0};
  }

  std::map<std::string, stored_item> items;
  int refused_reads = 0;  // And of lists, and of watches that do not wait.
  int reads = 0;
  std::size_t read_bytes = 0;  // Of the values that reads returned.
  int lists = 0;
  std::map<std::string, int> lists_of;  // By prefix.
  int failed_watches = 0;
  int lossy_watches = 0;  // The next ones are answered at once, as if nothing
                          // had changed up to the present revision.
  int leases = 0;         // Granted.
  int watches = 0;        // That did not wait.
  std::uint64_t oldest_revision = 0;  // Changes before it are forgotten.
  int refused_commits = 0;            // The next ones have no effect.
  std::size_t conflict_bytes = 0;     // Of the values that conflicts returned.
  int lost_answers = 0;  // Of the next commits that have an effect.
  // The next commits are not answered, and have an effect when it is ordered.
  int late_commits = 0;
  bool refuses_leases = false;  // So no entry is elected.
  bool is_silent = false;       // Calls have no effect and no answer.

 private:
  static constexpr millis kShortestWait = 1;

  transaction_outcome Apply(const store_transaction& transaction) {
    transaction_outcome outcome;
    outcome.applied = true;
    for (const store_condition& condition : transaction.conditions) {
      const auto found = items.find(condition.key);
      const std::uint64_t revision =
          found == items.end() ? 0 : found->second.revision;
      outcome.applied = outcome.applied && revision == condition.revision;
      outcome.conflicts.push_back(found == items.end()
                                      ? stored_item{condition.key, "", 0, 0}
                                      : found->second);
    }
    if (!outcome.applied) {
      for (const stored_item& item : outcome.conflicts) {
        conflict_bytes += item.value.size();
      }
    }
    if (outcome.applied) {
      outcome.revision = ++revision_;
      for (const store_write& write : transaction.writes) {
        items[write.key] = {write.key, write.value, revision_, write.lease};
      }
      for (const std::string& key : transaction.removals) {
        items.erase(key);
      }
    }
    return outcome;
  }

  template <class value_type, class failure_type>
  void Post(store_callback<value_type> callback, failure_type failure) {
    if (is_silent) {
      return;
    }
    boost::asio::post(context_, [callback = std::move(callback), failure] {
      callback(failure);
    });
  }

  template <class value_type>
  void Answer(store_callback<value_type> callback, value_type value) {
    if (is_silent) {
      return;
    }
    boost::asio::post(
        context_, [callback = std::move(callback), value = std::move(value)] {
          callback(value);
        });
  }

  boost::asio::io_context& context_;
  std::uint64_t revision_ = 0;
  std::uint64_t lease_ = 0;
  std::vector<store_transaction> held_commits_;
};

}  // namespace chervilkeel
