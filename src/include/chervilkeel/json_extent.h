// The size of a JSON text before it is parsed.
#pragma once

#include <cstdint>
#include <string_view>

namespace chervilkeel {

// How deep a text is nested and how many values it holds, keys not counted.
struct json_extent {
  std::uint64_t depth = 0;
  std::uint64_t values = 0;
};

// Measures a text without building its values. A text that is no JSON has some
// extent, too, which is no smaller than what a parser builds of it before it
// finds the error.
json_extent MeasureJson(std::string_view text);

}  // namespace chervilkeel
