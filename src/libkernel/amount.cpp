#include "chervilkeel/amount.h"

namespace chervilkeel {

namespace {

std::string FormatShortfall(const char* name,
                            std::int64_t need,
                            std::int64_t available) {
  return std::string(name) + ": needs " + std::to_string(need) +
         ", largest room " + std::to_string(available);
}

}  // namespace

std::string DescribeShortfall(const amount& need, const amount& available) {
  if (need.milli_processors > available.milli_processors) {
    return FormatShortfall("milli-processors", need.milli_processors,
                           available.milli_processors);
  }
  if (need.memory_mb > available.memory_mb) {
    return FormatShortfall("memory MB", need.memory_mb, available.memory_mb);
  }
  if (need.accelerators > available.accelerators) {
    return FormatShortfall("accelerators", need.accelerators,
                           available.accelerators);
  }
  return {};
}

}  // namespace chervilkeel
