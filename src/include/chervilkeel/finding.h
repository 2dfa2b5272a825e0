// Findings in an input: collected with their place and reported together.
#pragma once

#include <string>
#include <vector>

namespace chervilkeel {

// One fault in an input, and where it stands ("line 7", "jobs[2].tasks").
struct finding {
  std::string place;
  std::string message;
};

using findings = std::vector<finding>;

// Returns the findings as text, one line each, each after the prefix.
inline std::string ToText(const findings& found, const std::string& prefix) {
  std::string text;
  for (const finding& entry : found) {
    text += prefix + entry.place + ": " + entry.message + "\n";
  }
  return text;
}

}  // namespace chervilkeel
