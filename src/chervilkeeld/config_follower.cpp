#include "config_follower.h"

#include <algorithm>
#include <utility>

#include "chervilkeel/event_log.h"

namespace chervilkeel {

namespace {

constexpr const char* kPart = "config";
constexpr millis kReadTimeout = 800;
constexpr millis kConfirmTimeout = 500;  // A caller waits no longer.
constexpr millis kRetry = 200;           // Delay after a failed call.
constexpr millis kWatchWait = 1'400;     // Duration of one watch.
constexpr millis kWatchGrace = 400;      // Added to it for the call's timeout.
constexpr millis kNoWait = 1;            // Shortest duration of a watch.
constexpr millis kNoWaitTimeout = 800;
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

std::string OutcomeOf(const result<item_page>& page) {
  return page ? "read" : ToString(page.error());
}

std::size_t BytesOf(const result<item_page>& page) {
  return page ? BytesOf(page.value().items) : 0;
}

}  // namespace

config_follower::config_follower(boost::asio::io_context& context,
                                 store_link& store,
                                 const platform_adapter& adapter)
    : context_(context), store_(store), adapter_(adapter), timer_(context) {}

void config_follower::Start() {
  if (!std::exchange(is_started_, true)) {
    Read();
  }
}

// A list tells the revision of the store, from which a watch can go on however
// old the configuration is.
void config_follower::Read() {
  const std::uint64_t call = ++calls_;
  store_.Client().List(
      adapter_.ConfigKey(), "", false, kReadTimeout,
      [this, call, asked = BootNow()](const result<item_page>& page) {
        store_.Note(page);
        LogAttempt("read", asked, OutcomeOf(page), BytesOf(page));
        const bool has_config = page && OfferAll(page.value().items);
        if (call != calls_) {
          return;
        }
        if (!has_config) {
          AnswerWaiters(false);
          After(kRetry, &config_follower::Read);
          return;
        }
        watched_revision_ = page.value().revision;
        NoteConfirmed(asked);
        Watch();
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
  WatchFor(IsFresh() ? kWatchWait : kNoWait);
}

void config_follower::WatchFor(millis wait) {
  const std::uint64_t call = ++calls_;
  is_waiting_for_change_ = wait == kWatchWait;
  store_.Client().Watch(
      adapter_.ConfigKey(), watched_revision_, wait,
      is_waiting_for_change_ ? wait + kWatchGrace : kNoWaitTimeout,
      [this, call, asked = BootNow(),
       wait](const result<item_changes>& changes) {
        store_.Note(changes);
        LogAttempt(wait == kWatchWait ? "watch" : "question", asked,
                   OutcomeOf(changes), BytesOf(changes));
        if (changes) {
          OfferAll(changes.value().items);
        }
        if (call == calls_) {
          OnChanges(asked, wait, changes);
        }
      },
      [this, call] {
        if (call == calls_) {
          is_waiting_for_change_ = false;
        }
      });
}

void config_follower::OnChanges(millis asked,
                                millis wait,
                                const result<item_changes>& changes) {
  is_waiting_for_change_ = false;
  // Without a delay the store might say the same again and again.
  if (!changes) {
    AnswerWaiters(false);
    After(kRetry, &config_follower::Watch);
    return;
  }
  if (changes.value().history_lost) {
    After(kRetry, &config_follower::Read);
    return;
  }
  watched_revision_ = std::max(watched_revision_, changes.value().revision);
  // A watch without changes says so of the end of its wait, but of no time to
  // come if it was ended early.
  const bool is_quiet = changes.value().items.empty();
  NoteConfirmed(is_quiet ? std::min(BootNow(), asked + wait) : asked);
  Watch();
}

void config_follower::Offer(const stored_item& item) {
  if (item.revision <= revision_) {
    return;
  }
  revision_ = item.revision;
  Apply(item.value, "store");
}

bool config_follower::OfferAll(const std::vector<stored_item>& items) {
  bool has_config = false;
  for (const stored_item& item : items) {
    if (item.key == adapter_.ConfigKey() && item.revision != 0) {
      Offer(item);
      has_config = true;
    }
  }
  return has_config;
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

bool config_follower::IsFresh() const {
  return confirmed_at_ > 0 && BootNow() - confirmed_at_ < kConfirmedFor;
}

bool config_follower::IsConfirmed() const {
  return config_ != nullptr && IsFresh();
}

millis config_follower::ConfirmedAge() const {
  return confirmed_at_ == 0 ? -1 : BootNow() - confirmed_at_;
}

void config_follower::LogAttempt(const char* way,
                                 millis asked,
                                 const std::string& outcome,
                                 std::size_t bytes) const {
  if (outcome == "unchanged") {
    return;
  }
  LogEvent(kPart, "attempt",
           {{"way", way},
            {"outcome", outcome},
            {"after_revision", watched_revision_},
            {"bytes", static_cast<std::uint64_t>(bytes)},
            {"took_ms", BootNow() - asked},
            {"version", Version()},
            {"confirmed_age_ms", ConfirmedAge()}},
           true);
}

void config_follower::waiter::Answer(bool confirmed) {
  timer.cancel();
  if (const auto callback = std::exchange(done, nullptr)) {
    callback(confirmed);
  }
}

void config_follower::Confirm(confirmed_function done) {
  const auto asking = std::make_shared<waiter>(context_, std::move(done));
  waiters_.push_back(asking);
  asking->timer.expires_after(std::chrono::milliseconds(kConfirmTimeout));
  asking->timer.async_wait([asking](boost::system::error_code failure) {
    if (!failure) {
      asking->Answer(false);
    }
  });
  if (!is_started_) {
    Start();
  } else if (is_waiting_for_change_) {
    WatchFor(kNoWait);
  }
}

void config_follower::NoteConfirmed(millis at) {
  confirmed_at_ = std::max(confirmed_at_, at);
  // Those that came while a change was arriving wait for the next answer.
  if (IsConfirmed()) {
    AnswerWaiters(true);
  }
}

void config_follower::AnswerWaiters(bool confirmed) {
  for (const auto& asking : std::exchange(waiters_, {})) {
    asking->Answer(confirmed);
  }
}

}  // namespace chervilkeel
