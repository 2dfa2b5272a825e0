#include "owner_locator.h"

#include <algorithm>

#include "chervilkeel/event_log.h"
#include "job_keys.h"

namespace chervilkeel {

namespace {

constexpr const char* kPart = "locator";
constexpr millis kLookTimeout = 600;
constexpr millis kLookInterval = 400;  // Each look costs a call to the store.

}  // namespace

owner_locator::owner_locator(store_link& store,
                             const process_settings& settings)
    : store_(store) {
  for (const endpoint& seed : settings.seeds) {
    entries_.push_back(endpoint{seed.address, settings.rpc_port}.ToString());
  }
}

void owner_locator::Learn(const std::string& owner,
                          const std::vector<std::string>& entries) {
  if (!entries.empty()) {
    entries_ = entries;
  }
  if (!owner.empty() && owner != address_) {
    address_ = owner;
    if (owner != reported_) {
      LogEvent(kPart, "owner_changed", {{"from", reported_}, {"to", owner}},
               true);
      reported_ = owner;
    }
  }
}

void owner_locator::Failed() {
  TurnToNext();
  Look();
}

void owner_locator::TurnToNext() {
  if (!entries_.empty()) {
    address_ = entries_[next_++ % entries_.size()];
  }
}

void owner_locator::Look() {
  if (looking_ || BootNow() - looked_ < kLookInterval) {
    return;
  }
  looking_ = true;
  looked_ = BootNow();
  store_.Client().Read(kOwnerKey, kLookTimeout,
                       [this](const result<std::optional<stored_item>>& item) {
                         store_.Note(item);
                         looking_ = false;
                         if (item && item.value()) {
                           const std::string& text = item.value()->value;
                           Learn(text.substr(0, text.find(' ')), {});
                         }
                       });
}

}  // namespace chervilkeel
