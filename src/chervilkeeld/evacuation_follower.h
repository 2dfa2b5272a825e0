// Follows the operators' evacuations of data centres in the store.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "chervilkeel/evacuation_state.h"
#include "store_link.h"

namespace chervilkeel {

// Used on the io_context's thread only. Makes no call to the store before
// Start().
class evacuation_follower {
 public:
  using updated_function = std::function<void()>;

  // Keys that begin with `prefix` each name a data centre. The whole list is
  // read again when it is older than `max_list_age`, as a watch may miss
  // changes while the store drops its history.
  evacuation_follower(boost::asio::io_context& context,
                      store_link& store,
                      std::string prefix,
                      millis max_list_age);

  // Sets what is called when another set of data centres has come into force.
  void OnChange(updated_function updated) { updated_ = std::move(updated); }

  void Start();

  // Shared with the scheduler, which looks at it for each start.
  std::shared_ptr<const evacuation_state> State() const { return state_; }

  // How long ago this process has read the whole list; -1: it never has.
  millis ListAge() const;

  // Takes a list from another entry.
  void OfferFromPeer(const evacuation_list& list) { Apply(list, "peer"); }

 private:
  void Read(const std::string& after);
  void OnPage(const result<item_page>& page, const std::string& after);
  void Watch();
  void OnChanges(const result<item_changes>& changes);
  void After(millis delay, std::function<void()> step);
  void TakeItem(const stored_item& item);
  void Apply(const evacuation_list& list, const char* source);

  store_link& store_;
  const std::string prefix_;
  const millis max_list_age_;
  updated_function updated_;
  boost::asio::steady_timer timer_;
  const std::shared_ptr<evacuation_state> state_ =
      std::make_shared<evacuation_state>();
  // As this process has read it; `state_` is newer if a peer has read later.
  evacuation_list read_;
  std::uint64_t watched_revision_ = 0;  // Where the next watch begins.
  millis watch_began_ = 0;
  millis listed_at_ = 0;
  bool list_fails_ = false;                // As logged.
  std::set<std::string> unreadable_keys_;  // As logged.
};

}  // namespace chervilkeel
