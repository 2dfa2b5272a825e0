// Reads and validates the members of a JSON object.
#pragma once

#include <cmath>
#include <cstdint>
#include <initializer_list>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/json.hpp>

#include "chervilkeel/finding.h"

namespace chervilkeel {

// Each read method reads one member and marks its key as known. If the member
// is invalid, or required and absent, the method adds a finding and returns a
// value that is safe to use, so that the remaining members can be checked as
// well.
class object_reader {
 public:
  // Reads from `object`, whose location in the document is `place`, and appends
  // findings to `found`. `object` and `found` must outlive the reader.
  object_reader(const boost::json::object& object,
                std::string place,
                findings& found)
      : object_(object), place_(std::move(place)), found_(found) {}

  // Adds a finding about the member `key`.
  void AddFinding(const std::string& key, const std::string& message) {
    found_.push_back({PlaceOf(key), message});
  }

  // Reads a required name: 1 to 64 letters, digits, '.', '_' or '-'.
  std::string Name(const std::string& key) {
    const boost::json::value* value = Required(key);
    return value ? CheckedName(key, *value) : std::string();
  }

  // Reads an optional name.
  std::string NameOr(const std::string& key, const std::string& fallback) {
    const boost::json::value* value = Find(key);
    return value ? CheckedName(key, *value) : fallback;
  }

  // Reads a required, non-empty list of names.
  std::vector<std::string> Names(const std::string& key) {
    std::vector<std::string> names;
    const boost::json::value* value = Required(key);
    if (!value) {
      return names;
    }
    if (!value->is_array() || value->as_array().empty()) {
      AddFinding(key, "must be a list of one or more names");
      return names;
    }
    for (const auto& entry : value->as_array()) {
      names.push_back(CheckedName(key, entry));
    }
    return names;
  }

  // Reads a required string that must be one of `choices`. Returns an empty
  // string if it is not.
  std::string Choice(const std::string& key,
                     std::initializer_list<const char*> choices) {
    const boost::json::value* value = Required(key);
    std::string listed;
    for (const char* choice : choices) {
      if (value && value->is_string() && value->as_string() == choice) {
        return choice;
      }
      listed += (listed.empty() ? "\"" : "\" or \"") + std::string(choice);
    }
    if (value) {
      AddFinding(key, "must be " + listed + "\"");
    }
    return {};
  }

  // Reads an optional Boolean.
  bool BoolOr(const std::string& key, bool fallback) {
    const boost::json::value* value = Find(key);
    if (!value) {
      return fallback;
    }
    if (!value->is_bool()) {
      AddFinding(key, "must be true or false");
      return fallback;
    }
    return value->as_bool();
  }

  // Reads a required integer between `low` and `high`, inclusive.
  std::uint64_t Whole(const std::string& key,
                      std::uint64_t low,
                      std::uint64_t high) {
    const boost::json::value* value = Required(key);
    return value ? CheckedWhole(key, *value, low, high) : low;
  }

  // Reads an optional integer between `low` and `high`, inclusive.
  std::uint64_t WholeOr(const std::string& key,
                        std::uint64_t fallback,
                        std::uint64_t low,
                        std::uint64_t high) {
    const boost::json::value* value = Find(key);
    return value ? CheckedWhole(key, *value, low, high) : fallback;
  }

  // Reads a required number and returns it in thousandths. `low` and `high` are
  // in thousandths and inclusive.
  std::uint64_t Milli(const std::string& key,
                      std::uint64_t low,
                      std::uint64_t high) {
    const boost::json::value* value = Required(key);
    return value ? CheckedMilli(key, *value, low, high) : low;
  }

  // Reads an optional number and returns it in thousandths. `fallback`, `low`
  // and `high` are in thousandths.
  std::uint64_t MilliOr(const std::string& key,
                        std::uint64_t fallback,
                        std::uint64_t low,
                        std::uint64_t high) {
    const boost::json::value* value = Find(key);
    return value ? CheckedMilli(key, *value, low, high) : fallback;
  }

  // Calls `read` with an object_reader for each object in an optional list.
  template <class function_type>
  void ForEachObject(const std::string& key, function_type read) {
    const boost::json::value* value = Find(key);
    if (!value) {
      return;
    }
    if (!value->is_array()) {
      AddFinding(key, "must be a list of objects");
      return;
    }
    std::size_t index = 0;
    for (const auto& entry : value->as_array()) {
      const std::string place =
          PlaceOf(key) + "[" + std::to_string(index++) + "]";
      if (!entry.is_object()) {
        found_.push_back({place, "must be an object"});
        continue;
      }
      object_reader reader(entry.as_object(), place, found_);
      read(reader);
    }
  }

  // Adds a finding for each member that has not been read. Call this after
  // reading all known members.
  void ReportUnknownKeys() {
    for (const auto& member : object_) {
      if (known_.count(std::string(member.key())) == 0) {
        AddFinding(std::string(member.key()), "is not a known member");
      }
    }
  }

 private:
  std::string PlaceOf(const std::string& key) const {
    return place_.empty() ? key : place_ + "." + key;
  }

  const boost::json::value* Find(const std::string& key) {
    known_.insert(key);
    return object_.if_contains(key);
  }

  const boost::json::value* Required(const std::string& key) {
    const boost::json::value* value = Find(key);
    if (!value) {
      AddFinding(key, "is missing");
    }
    return value;
  }

  std::string CheckedName(const std::string& key,
                          const boost::json::value& value) {
    constexpr std::size_t kMaxNameLength = 64;
    constexpr const char* kAllowed =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    if (!value.is_string()) {
      AddFinding(key, "must be a string");
      return {};
    }
    std::string name(value.as_string());
    if (name.empty() || name.size() > kMaxNameLength ||
        name.find_first_not_of(kAllowed) != std::string::npos) {
      AddFinding(key, "must be 1 to 64 letters, digits, '.', '_' or '-'");
    }
    return name;
  }

  std::uint64_t CheckedWhole(const std::string& key,
                             const boost::json::value& value,
                             std::uint64_t low,
                             std::uint64_t high) {
    const bool whole = value.is_int64() && value.as_int64() >= 0;
    const auto number =
        whole ? static_cast<std::uint64_t>(value.as_int64()) : 0;
    if (!whole || number < low || number > high) {
      AddFinding(key, "must be a whole number from " + std::to_string(low) +
                          " to " + std::to_string(high));
      return low;
    }
    return number;
  }

  std::uint64_t CheckedMilli(const std::string& key,
                             const boost::json::value& value,
                             std::uint64_t low,
                             std::uint64_t high) {
    double number = -1;
    if (value.is_int64()) {
      number = static_cast<double>(value.as_int64());
    } else if (value.is_double()) {
      number = value.as_double();
    }
    const double milli = std::round(number * 1000);
    if (!(milli >= static_cast<double>(low) &&
          milli <= static_cast<double>(high))) {
      AddFinding(key, "must be a number from " +
                          std::to_string(static_cast<double>(low) / 1000) +
                          " to " +
                          std::to_string(static_cast<double>(high) / 1000));
      return low;
    }
    return static_cast<std::uint64_t>(milli);
  }

  const boost::json::object& object_;
  const std::string place_;
  findings& found_;
  std::set<std::string> known_;
};

}  // namespace chervilkeel
