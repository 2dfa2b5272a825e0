// Results and errors of every part.
#pragma once

#include <string>
#include <utility>

#include <boost/outcome/result.hpp>

namespace chervilkeel {

// The kinds of failure that callers tell apart.
enum class error_code {
  kInvalid,      // The input is wrong; repeating the call can't help.
  kNotFound,     // The thing that was named does not exist.
  kConflict,     // A compare-and-swap met another value.
  kUnavailable,  // The other side could not be reached; nothing took effect.
  kUnknown,      // The call may or may not have taken effect.
};

// Returns the name of a code, as logs and reports print it.
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

// A failure with a text that names the thing that failed.
struct error {
  error_code code = error_code::kUnknown;
  std::string message;
};

// Returns the failure as one line.
inline std::string ToString(const error& failure) {
  return std::string(NameOf(failure.code)) + ": " + failure.message;
}

// Either a value or an error; reading the wrong one ends the process.
template <class value_type>
using result = boost::outcome_v2::
    basic_result<value_type, error, boost::outcome_v2::policy::terminate>;

// Makes a failed result.
inline auto Fail(error_code code, std::string message) {
  return boost::outcome_v2::failure(error{code, std::move(message)});
}

}  // namespace chervilkeel
