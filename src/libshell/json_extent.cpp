#include "chervilkeel/json_extent.h"

#include <algorithm>

namespace chervilkeel {

// Each value but the outermost follows a comma or an opening bracket, in an
// object behind its key. An empty container counts as two values.
json_extent MeasureJson(std::string_view text) {
  json_extent extent;
  extent.values = text.empty() ? 0 : 1;
  std::uint64_t depth = 0;
  bool in_string = false;
  bool is_escaped = false;
  for (const char letter : text) {
    if (in_string) {
      if (is_escaped) {
        is_escaped = false;
      } else if (letter == '\\') {
        is_escaped = true;
      } else if (letter == '"') {
        in_string = false;
      }
      continue;
    }
    switch (letter) {
      case '"':
        in_string = true;
        break;
      case '[':
      case '{':
        extent.depth = std::max(extent.depth, ++depth);
        ++extent.values;
        break;
      case ']':
      case '}':
        depth -= depth > 0 ? 1 : 0;
        break;
      case ',':
        ++extent.values;
        break;
      default:
        break;
    }
  }
  return extent;
}

}  // namespace chervilkeel
