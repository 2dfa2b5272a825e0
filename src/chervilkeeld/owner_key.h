// The keys in the store that name the owners of cells.
#pragma once

#include <string>

namespace chervilkeel {

// Returns the key that holds the location of a cell's owner; with an empty
// name, the prefix of all of them.
inline std::string OwnerKey(const std::string& cell) {
  return "owner/" + cell;
}

}  // namespace chervilkeel
