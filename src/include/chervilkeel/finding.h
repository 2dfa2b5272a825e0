// Validation errors of an input, collected with their locations and reported
// together.
#pragma once

#include <string>
#include <vector>

namespace chervilkeel {

// One error in an input and its location, such as "line 7" or "jobs[2].tasks".
struct finding {
  std::string place;
  std::string message;
};

using findings = std::vector<finding>;

// Formats the findings as text, one line each; each line starts with `prefix`.
inline std::string ToText(const findings& found, const std::string& prefix) {
  std::string text;
  for (const finding& entry : found) {
    text += prefix + entry.place + ": " + entry.message + "\n";
  }
  return text;
}

}  // namespace chervilkeel
