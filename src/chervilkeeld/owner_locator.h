// Finds the entry that owns the jobs: by what other processes say, and in the
// store.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "chervilkeel/settings.h"
#include "owner_election.h"
#include "store_link.h"

namespace chervilkeel {

// Used on the io_context's thread only.
class owner_locator {
 public:
  owner_locator(store_link& store, const process_settings& settings);

  // Where to turn next: the owner if it is known, else an entry that may know.
  // Empty: nobody is known.
  const std::string& Address() const { return address_; }

  // An answer said who owns the jobs.
  void Learn(const std::string& owner, const std::vector<std::string>& entries);

  // The process at Address() is away, or knows no owner.
  void Failed();

 private:
  void Look();
  void TurnToNext();

  store_link& store_;
  std::string address_;
  std::string reported_;  // The owner that the log named last.
  std::vector<std::string> entries_;
  std::size_t next_ = 0;
  bool looking_ = false;
  millis looked_ = 0;
};

}  // namespace chervilkeel
