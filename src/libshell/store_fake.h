// A store in memory for unit tests, with faults at chosen calls.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "chervilkeel/store.h"

namespace chervilkeel {

// Meets store_like. `before` and `after` run around each write and may return
// an error: from `before` the write has no effect, from `after` it has one and
// its answer is lost.
class store_fake {
 public:
  using fault = std::function<error_code(const std::string& key)>;
  static constexpr error_code kNoFault = error_code::kInvalid;

  fault before = [](const std::string&) { return kNoFault; };
  fault after = [](const std::string&) { return kNoFault; };

  result<store_entry> Get(const std::string& key) {
    const auto found = values_.find(key);
    if (found == values_.end()) {
      return Fail(error_code::kNotFound, key);
    }
    return found->second;
  }

  result<std::vector<store_entry>> List(const std::string& prefix) {
    std::vector<store_entry> entries;
    for (const auto& [key, entry] : values_) {
      if (key.rfind(prefix, 0) == 0) {
        entries.push_back(entry);
      }
    }
    return entries;
  }

  result<std::uint64_t> Put(const std::string& key,
                            const std::string& value,
                            std::uint64_t expected_version,
                            std::uint64_t /*lease*/) {
    ++writes;
    const error_code refused = before(key);
    if (refused != kNoFault) {
      return Fail(refused, "refused " + key);
    }
    const auto found = values_.find(key);
    const std::uint64_t version =
        found == values_.end() ? 0 : found->second.version;
    if (version != expected_version) {
      return Fail(error_code::kConflict, key);
    }
    values_[key] = {key, value, ++revision_};
    const error_code lost = after(key);
    if (lost != kNoFault) {
      return Fail(lost, "answer lost for " + key);
    }
    return revision_;
  }

  result<void> Delete(const std::string& key, std::uint64_t /*version*/) {
    values_.erase(key);
    return boost::outcome_v2::success();
  }

  result<std::uint64_t> GrantLease(millis /*duration*/) { return ++revision_; }
  result<void> RenewLease(std::uint64_t /*lease*/) {
    return boost::outcome_v2::success();
  }
  result<store_entry> Watch(const std::string& key,
                            std::uint64_t /*known*/,
                            millis /*timeout*/) {
    return Get(key);
  }

  int writes = 0;

 private:
  std::map<std::string, store_entry> values_;
  std::uint64_t revision_ = 0;
};

static_assert(store_like<store_fake>);

}  // namespace chervilkeel
