// Look-ups in tables that map the values of an enum class to names.
#pragma once

#include <string_view>

namespace chervilkeel {

// Returns the name of a value, or "?" if the table does not contain it. Each
// row of the table is a pair of value and name.
template <class table_type, class value_type>
const char* NameIn(const table_type& table, value_type value) {
  for (const auto& [entry, name] : table) {
    if (entry == value) {
      return name;
    }
  }
  return "?";
}

// Sets `out` to the value with the given name; returns false and leaves `out`
// unchanged if the table does not contain it.
template <class table_type, class value_type>
bool ValueIn(const table_type& table, std::string_view name, value_type& out) {
  for (const auto& [value, entry] : table) {
    if (name == entry) {
      out = value;
      return true;
    }
  }
  return false;
}

}  // namespace chervilkeel
