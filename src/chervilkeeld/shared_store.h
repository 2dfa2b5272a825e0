// A store for tests of several processes.
#pragma once

#include <functional>
#include <string>
#include <utility>

#include "store_in_memory.h"

namespace chervilkeel {

// Forwards to a store that another process owns, so that two processes share
// one store.
class shared_store : public coordination_store {
 public:
  using coordination_store::Watch;

  explicit shared_store(store_in_memory& store) : store_(store) {}

  void Read(const std::string& key,
            millis timeout,
            store_callback<std::optional<stored_item>> callback) override {
    store_.Read(key, timeout, std::move(callback));
  }
  void List(const std::string& prefix,
            const std::string& after,
            bool stale_allowed,
            millis timeout,
            store_callback<item_page> callback) override {
    store_.List(prefix, after, stale_allowed, timeout, std::move(callback));
  }
  void Watch(const std::string& prefix,
             std::uint64_t after_revision,
             millis wait,
             millis timeout,
             store_callback<item_changes> callback,
             std::function<void()> begun) override {
    store_.Watch(prefix, after_revision, wait, timeout, std::move(callback),
                 std::move(begun));
  }
  void Commit(const store_transaction& transaction,
              millis timeout,
              store_callback<transaction_outcome> callback) override {
    store_.Commit(transaction, timeout, std::move(callback));
  }
  void GrantLease(millis duration,
                  millis timeout,
                  store_callback<store_lease> callback) override {
    store_.GrantLease(duration, timeout, std::move(callback));
  }
  void RenewLease(std::uint64_t lease,
                  millis timeout,
                  store_callback<store_lease> callback) override {
    store_.RenewLease(lease, timeout, std::move(callback));
  }
  void EndLease(std::uint64_t lease,
                millis timeout,
                store_callback<bool> callback) override {
    store_.EndLease(lease, timeout, std::move(callback));
  }

 private:
  store_in_memory& store_;
};

}  // namespace chervilkeel
