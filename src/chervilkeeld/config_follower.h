// Follows the configuration in the store, and tells how certain it is that the
// configuration in force is the newest.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "chervilkeel/platform_adapter.h"
#include "store_link.h"

namespace chervilkeel {

// Used on the io_context's thread only. Versions only rise within the life of a
// process.
//
// One call to the store is followed by the next: a configuration may fill the
// link of a small VM for seconds, so whoever asks for a confirmation waits for
// the answer that is arriving, and asks for no other one beside it.
class config_follower {
 public:
  using changed_function =
      std::function<void(const std::shared_ptr<const deployed_config>&)>;
  using confirmed_function = std::function<void(bool confirmed)>;

  config_follower(boost::asio::io_context& context,
                  store_link& store,
                  const platform_adapter& adapter);

  // Sets what is called when another version comes into force.
  void OnChange(changed_function changed) { changed_ = std::move(changed); }

  // Begins to follow the store. Has no effect when called again.
  void Start();

  // The configuration in force; null before the first.
  const std::shared_ptr<const deployed_config>& Current() const {
    return config_;
  }
  std::uint64_t Version() const { return config_ ? config_->version : 0; }

  // The text of the configuration in force, for other entries.
  const std::string& Text() const { return text_; }

  // Takes an item of the configuration that the store has returned.
  void Offer(const stored_item& item);

  // Takes a configuration from another entry.
  void OfferFromPeer(const std::string& text);

  // True if the store has shown lately that the configuration in force is the
  // newest.
  bool IsConfirmed() const;

  // Time since the configuration in force was last known to be the newest; -1:
  // it never was.
  millis ConfirmedAge() const;

  // Forgets that the configuration was confirmed.
  void Expire() { confirmed_at_ = 0; }

  // Calls back with true once the store has shown that the configuration in
  // force is the newest; with false if it does not answer, or a newer one has
  // not come whole in time.
  void Confirm(confirmed_function done);

 private:
  // Whoever waits for a confirmation.
  struct waiter {
    waiter(boost::asio::io_context& context, confirmed_function callback)
        : timer(context), done(std::move(callback)) {}

    // Has an effect once.
    void Answer(bool confirmed);

    boost::asio::steady_timer timer;
    confirmed_function done;
  };

  // Whether the store has answered lately.
  bool IsFresh() const;
  void Read();
  // Watches for changes; without a wait if the store has not answered lately.
  void Watch();
  void WatchFor(millis wait);
  void OnChanges(millis asked,
                 millis wait,
                 const result<item_changes>& changes);
  void After(millis delay, void (config_follower::*step)());
  // Returns whether one of the items is the configuration.
  bool OfferAll(const std::vector<stored_item>& items);
  void Apply(const std::string& text, const char* source);
  void NoteConfirmed(millis at);
  void AnswerWaiters(bool confirmed);
  // Logs how an attempt to take the configuration ended, but for an answer that
  // nothing has changed.
  void LogAttempt(const char* way,
                  millis asked,
                  const std::string& outcome,
                  std::size_t bytes) const;

  boost::asio::io_context& context_;
  store_link& store_;
  const platform_adapter& adapter_;
  changed_function changed_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<const deployed_config> config_;
  std::string text_;
  std::uint64_t revision_ = 0;  // Of the newest item that the store has shown.
  std::uint64_t watched_revision_ = 0;  // The watch continues from there.
  millis confirmed_at_ = 0;
  bool is_started_ = false;
  // A watch is open that may stay unanswered for its whole duration.
  bool is_waiting_for_change_ = false;
  // Counts the calls to the store. Only the last one is followed by another.
  std::uint64_t calls_ = 0;
  std::vector<std::shared_ptr<waiter>> waiters_;
};

}  // namespace chervilkeel
