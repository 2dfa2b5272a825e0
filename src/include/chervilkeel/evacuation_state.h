// Which data centres operators are evacuating: their executors get no new tasks
// until the request is withdrawn.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "chervilkeel/clock.h"

namespace chervilkeel {

// All evacuations in force at one revision of the store.
struct evacuation_list {
  std::uint64_t revision = 0;
  std::set<std::string> data_centres;
};

// Reads the data centre that a key of an evacuation names after the common
// prefix. Returns nothing if the rest of the key cannot be a data centre's
// name.
std::optional<std::string> EvacuatedDataCentre(std::string_view prefix,
                                               std::string_view key);

// Holds the newest list that a process has heard of, from the store, from
// another entry or from the owner.
class evacuation_state {
 public:
  // Takes a list unless it is older than the one in force. Returns whether the
  // set of evacuated data centres has changed.
  bool Update(const evacuation_list& list, millis now);

  // Whether any list has come; before that nothing is known of evacuations.
  bool IsKnown() const { return is_known_; }

  bool IsEvacuated(const std::string& data_centre) const {
    return since_.count(data_centre) != 0;
  }

  // The evacuated data centres, and since when this process has known it.
  const std::map<std::string, millis>& Since() const { return since_; }

  const evacuation_list& List() const { return list_; }

 private:
  bool is_known_ = false;
  evacuation_list list_;
  std::map<std::string, millis> since_;
};

}  // namespace chervilkeel
