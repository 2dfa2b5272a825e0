// Result and error types used by all components.
#pragma once

#include <string>
#include <utility>

#include <boost/outcome/result.hpp>

namespace chervilkeel {

// The kinds of failure that callers handle differently.
enum class error_code {
  kInvalid,      // The input is wrong; a retry fails again.
  kNotFound,     // The named object does not exist.
  kConflict,     // A compare-and-swap found a different value.
  kUnavailable,  // The peer was not reached; the call had no effect.
  kUnknown,      // The call may or may not have taken effect.
};

// Returns the name of a code as shown in logs and reports.
constexpr const char* NameOf(error_code code) {
  switch (code) {
    case error_code::kInvalid:
      return "invalid";
    case error_code::kNotFound:
      return "not found";
    case error_code::kConflict:
      return "conflict";
    case error_code::kUnavailable:
      return "unavailable";
    case error_code::kUnknown:
      return "unknown";
  }
  return "?";
}

// A failure; its message names the operation or object that failed.
struct error {
  error_code code = error_code::kUnknown;
  std::string message;
};

// Formats the failure as one line.
inline std::string ToString(const error& failure) {
  return std::string(NameOf(failure.code)) + ": " + failure.message;
}

// A value or an error. Accessing the one that is absent terminates the process.
template <class value_type>
using result = boost::outcome_v2::
    basic_result<value_type, error, boost::outcome_v2::policy::terminate>;

// Creates a failed result.
inline auto Fail(error_code code, std::string message) {
  return boost::outcome_v2::failure(error{code, std::move(message)});
}

}  // namespace chervilkeel
