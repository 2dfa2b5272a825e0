#include "evacuation_follower.h"

#include <algorithm>
#include <utility>

#include "chervilkeel/event_log.h"

namespace chervilkeel {

namespace {

constexpr const char* kPart = "evacuation";
constexpr millis kReadTimeout = 800;
// Delay after a failed call, and the least time between two watches: a store
// may end them early.
constexpr millis kRetry = 200;
constexpr millis kMinListAge = 500;   // Bounds the calls if a setting is short.
constexpr millis kWatchWait = 1'400;  // Longest duration of one watch.
constexpr millis kWatchGrace = 400;   // Added to it for the call's timeout.
constexpr millis kMinWatchWait = 100;
constexpr std::size_t kMaxLoggedKeys = 64;  // Further ones are not logged.

}  // namespace

evacuation_follower::evacuation_follower(boost::asio::io_context& context,
                                         store_link& store,
                                         std::string prefix,
                                         millis max_list_age)
    : store_(store),
      prefix_(std::move(prefix)),
      max_list_age_(std::max(max_list_age, kMinListAge)),
      timer_(context) {}

void evacuation_follower::Start() {
  Read("");
}

millis evacuation_follower::ListAge() const {
  return listed_at_ == 0 ? -1 : BootNow() - listed_at_;
}

void evacuation_follower::Read(const std::string& after) {
  if (after.empty()) {
    read_ = evacuation_list();
  }
  store_.Client().List(
      prefix_, after, false, kReadTimeout,
      [this, after](const result<item_page>& page) { OnPage(page, after); });
}

// Pages are no snapshot: the watch continues from the first one, so that it
// repeats what changed between them.
void evacuation_follower::OnPage(const result<item_page>& page,
                                 const std::string& after) {
  store_.Note(page);
  if (!page) {
    if (!std::exchange(list_fails_, true)) {
      LogEvent(kPart, "evacuations_not_listed",
               {{"error", ToString(page.error())},
                {"list_age_ms", ListAge()},
                {"known", state_->IsKnown()}},
               true);
    }
    After(kRetry, [this] { Read(""); });
    return;
  }
  if (after.empty()) {
    read_.revision = page.value().revision;
    watched_revision_ = read_.revision;
  }
  for (const stored_item& item : page.value().items) {
    TakeItem(item);
  }
  if (page.value().has_more && !page.value().items.empty()) {
    Read(page.value().items.back().key);
    return;
  }
  listed_at_ = BootNow();
  list_fails_ = false;
  Apply(read_, "list");
  Watch();
}

void evacuation_follower::Watch() {
  const millis left = listed_at_ + max_list_age_ - BootNow();
  if (left < kMinWatchWait) {
    Read("");
    return;
  }
  const millis wait = std::min(kWatchWait, left);
  watch_began_ = BootNow();
  store_.Client().Watch(
      prefix_, watched_revision_, wait, wait + kWatchGrace,
      [this](const result<item_changes>& changes) { OnChanges(changes); });
}

void evacuation_follower::OnChanges(const result<item_changes>& changes) {
  store_.Note(changes);
  if (!changes) {
    After(kRetry, [this] { Watch(); });
    return;
  }
  if (changes.value().history_lost) {
    After(kRetry, [this] { Read(""); });
    return;
  }
  watched_revision_ = std::max(watched_revision_, changes.value().revision);
  // A watch may miss changes: one without any does not confirm the list, or it
  // would outdate the next list, and those of peers, of the same revision.
  if (!changes.value().items.empty()) {
    for (const stored_item& item : changes.value().items) {
      TakeItem(item);
    }
    read_.revision = watched_revision_;
    Apply(read_, "watch");
  }
  const millis early = watch_began_ + kRetry - BootNow();
  if (early > 0) {
    After(early, [this] { Watch(); });
  } else {
    Watch();
  }
}

void evacuation_follower::TakeItem(const stored_item& item) {
  const auto data_centre = EvacuatedDataCentre(prefix_, item.key);
  if (!data_centre) {
    if (unreadable_keys_.size() < kMaxLoggedKeys &&
        unreadable_keys_.insert(item.key).second) {
      LogEvent(kPart, "evacuation_unreadable",
               {{"key", item.key}, {"revision", item.revision}}, true);
    }
  } else if (item.revision == 0) {
    read_.data_centres.erase(*data_centre);
  } else {
    read_.data_centres.insert(*data_centre);
  }
}

void evacuation_follower::After(millis delay, std::function<void()> step) {
  timer_.expires_after(std::chrono::milliseconds(delay));
  timer_.async_wait(
      [step = std::move(step)](boost::system::error_code failure) {
        if (!failure) {
          step();
        }
      });
}

void evacuation_follower::Apply(const evacuation_list& list,
                                const char* source) {
  const evacuation_list former = state_->List();
  if (!state_->Update(list, BootNow())) {
    return;
  }
  const auto log = [&](const std::string& data_centre, bool in_force) {
    LogEvent(kPart, "evacuation_changed",
             {{"id", data_centre},
              {"in_force", in_force},
              {"revision", list.revision},
              {"former_revision", former.revision},
              {"list_age_ms", ListAge()},
              {"source", source}},
             true);
  };
  for (const std::string& data_centre : list.data_centres) {
    if (former.data_centres.count(data_centre) == 0) {
      log(data_centre, true);
    }
  }
  for (const std::string& data_centre : former.data_centres) {
    if (list.data_centres.count(data_centre) == 0) {
      log(data_centre, false);
    }
  }
  if (updated_) {
    updated_();
  }
}

}  // namespace chervilkeel
