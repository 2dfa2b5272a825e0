#include "config_follower.h"

#include <algorithm>
#include <utility>

#include "chervilkeel/event_log.h"

namespace chervilkeel {

namespace {

constexpr const char* kPart = "config";
constexpr millis kReadTimeout = 800;
constexpr millis kConfirmTimeout = 500;
constexpr millis kRetry = 200;        // Delay after a failed call.
constexpr millis kWatchWait = 1'400;  // Duration of one watch.
constexpr millis kWatchGrace = 400;   // Added to it for the call's timeout.
constexpr millis kNoWait = 1;         // Shortest duration of a watch.
// A confirmation holds for a little longer than a watch, so that the watches
// keep the configuration confirmed while the store answers.
constexpr millis kConfirmedFor = 1'600;

std::size_t BytesOf(const std::vector<stored_item>& items) {
  std::size_t bytes = 0;
  for (const stored_item& item : items) {
    bytes += item.value.size();
  }
  return bytes;
}

// Says in a word how an answer that lists changes ended.
std::string OutcomeOf(const result<item_changes>& changes) {
  if (!changes) {
    return ToString(changes.error());
  }
  if (changes.value().history_lost) {
    return "history lost";
  }
  return changes.value().items.empty() ? "unchanged" : "changed";
}

std::size_t BytesOf(const result<item_changes>& changes) {
  return changes ? BytesOf(changes.value().items) : 0;
}

std::string OutcomeOf(const result<std::optional<stored_item>>& item) {
  return !item ? ToString(item.error()) : item.value() ? "read" : "absent";
}

std::size_t BytesOf(const result<std::optional<stored_item>>& item) {
  return item && item.value() ? item.value()->value.size() : 0;
}

}  // namespace

config_follower::config_follower(boost::asio::io_context& context,
                                 store_link& store,
                                 const platform_adapter& adapter)
    : context_(context), store_(store), adapter_(adapter), timer_(context) {}

void config_follower::Start() {
  Read();
}

void config_follower::Read() {
  store_.Client().Read(
      adapter_.ConfigKey(), kReadTimeout,
      [this,
       asked = BootNow()](const result<std::optional<stored_item>>& item) {
        store_.Note(item);
        LogAttempt("read", 0, asked, OutcomeOf(item), BytesOf(item));
        if (item && item.value()) {
          Offer(*item.value());
          confirmed_at_ = std::max(confirmed_at_, asked);
          watched_revision_ = item.value()->revision;
          Watch();
          return;
        }
        After(kRetry, &config_follower::Read);
      });
}

void config_follower::After(millis delay, void (config_follower::*step)()) {
  timer_.expires_after(std::chrono::milliseconds(delay));
  timer_.async_wait([this, step](boost::system::error_code failure) {
    if (!failure) {
      (this->*step)();
    }
  });
}

// A watch that failed is repeated from the same revision. Reading the value
// anew would load the links of all entries at the end of an outage.
void config_follower::Watch() {
  store_.Client().Watch(
      adapter_.ConfigKey(), watched_revision_, kWatchWait,
      kWatchWait + kWatchGrace,
      [this, asked = BootNow()](const result<item_changes>& changes) {
        store_.Note(changes);
        LogAttempt("watch", watched_revision_, asked, OutcomeOf(changes),
                   BytesOf(changes));
        // Without a delay the store might say the same again and again.
        if (!changes) {
          After(kRetry, &config_follower::Watch);
          return;
        }
        if (changes.value().history_lost) {
          After(kRetry, &config_follower::Read);
          return;
        }
        OfferAll(changes.value().items);
        // A watch without changes says so of the end of its wait, but of no
        // time to come if it was ended early.
        const bool quiet = changes.value().items.empty();
        confirmed_at_ =
            std::max(confirmed_at_,
                     quiet ? std::min(BootNow(), asked + kWatchWait) : asked);
        watched_revision_ =
            std::max(watched_revision_, changes.value().revision);
        Watch();
      });
}

void config_follower::Offer(const stored_item& item) {
  if (item.revision <= revision_) {
    return;
  }
  revision_ = item.revision;
  Apply(item.value, "store");
}

void config_follower::OfferAll(const std::vector<stored_item>& items) {
  for (const stored_item& item : items) {
    if (item.key == adapter_.ConfigKey() && item.revision != 0) {
      Offer(item);
    }
  }
}

void config_follower::OfferFromPeer(const std::string& text) {
  Apply(text, "peer");
}

void config_follower::Apply(const std::string& text, const char* source) {
  auto config = adapter_.DecodeConfig(text);
  if (!config) {
    LogEvent(kPart, "config_unreadable",
             {{"source", source}, {"error", ToString(config.error())}}, true);
    return;
  }
  if (config_ && config.value().version <= config_->version) {
    return;
  }
  text_ = text;
  config_ = std::make_shared<const deployed_config>(std::move(config.value()));
  LogEvent(kPart, "config_in_force",
           {{"version", config_->version},
            {"source", source},
            {"revision", revision_},
            {"routes", static_cast<std::uint64_t>(config_->routes.size())}},
           true);
  if (changed_) {
    changed_(config_);
  }
}

bool config_follower::IsConfirmed() const {
  return config_ != nullptr && confirmed_at_ > 0 &&
         BootNow() - confirmed_at_ < kConfirmedFor;
}

millis config_follower::ConfirmedAge() const {
  return confirmed_at_ == 0 ? -1 : BootNow() - confirmed_at_;
}

void config_follower::LogAttempt(const char* way,
                                 std::uint64_t after_revision,
                                 millis asked,
                                 const std::string& outcome,
                                 std::size_t bytes) const {
  if (outcome == "unchanged") {
    return;
  }
  LogEvent(kPart, "attempt",
           {{"way", way},
            {"outcome", outcome},
            {"after_revision", after_revision},
            {"bytes", static_cast<std::uint64_t>(bytes)},
            {"took_ms", BootNow() - asked},
            {"version", Version()},
            {"confirmed_age_ms", ConfirmedAge()}},
           true);
}

void config_follower::Confirm(confirmed_function done) {
  waiting_.push_back(std::move(done));
  if (waiting_.size() == 1) {
    if (watched_revision_ == 0) {
      ConfirmByReading();
    } else {
      ConfirmByChanges();
    }
  }
}

// Asks for changes without waiting for any: the answer is short however long
// the configuration is.
void config_follower::ConfirmByChanges() {
  store_.Client().Watch(
      adapter_.ConfigKey(), watched_revision_, kNoWait, kConfirmTimeout,
      [this, asked = BootNow()](const result<item_changes>& changes) {
        store_.Note(changes);
        LogAttempt("confirmation", watched_revision_, asked, OutcomeOf(changes),
                   BytesOf(changes));
        if (changes && changes.value().history_lost) {
          ConfirmByReading();
          return;
        }
        if (changes) {
          OfferAll(changes.value().items);
        }
        EndConfirmation(changes.has_value(), asked);
      });
}

void config_follower::ConfirmByReading() {
  store_.Client().Read(
      adapter_.ConfigKey(), kConfirmTimeout,
      [this,
       asked = BootNow()](const result<std::optional<stored_item>>& item) {
        store_.Note(item);
        LogAttempt("confirmation", 0, asked, OutcomeOf(item), BytesOf(item));
        if (item && item.value()) {
          Offer(*item.value());
        }
        EndConfirmation(item && item.value(), asked);
      });
}

void config_follower::EndConfirmation(bool confirmed, millis asked) {
  if (confirmed) {
    confirmed_at_ = std::max(confirmed_at_, asked);
  }
  for (const confirmed_function& waiter : std::exchange(waiting_, {})) {
    waiter(confirmed && config_ != nullptr);
  }
}

}  // namespace chervilkeel
