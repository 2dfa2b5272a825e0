#include "chervilkeel/amount.h"

namespace chervilkeel {

namespace {

std::string Compare(const char* name, std::int64_t need, std::int64_t room) {
  return std::string(name) + ": needs " + std::to_string(need) +
         ", largest room " + std::to_string(room);
}

}  // namespace

std::string LackingDimension(const amount& need, const amount& room) {
  if (need.milli_processors > room.milli_processors) {
    return Compare("milli-processors", need.milli_processors,
                   room.milli_processors);
  }
  if (need.memory_mb > room.memory_mb) {
    return Compare("memory MB", need.memory_mb, room.memory_mb);
  }
  if (need.accelerators > room.accelerators) {
    return Compare("accelerators", need.accelerators, room.accelerators);
  }
  return {};
}

}  // namespace chervilkeel
