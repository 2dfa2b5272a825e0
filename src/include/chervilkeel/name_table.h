// Look-ups in the tables that name the values of an enum class.
#pragma once

#include <string_view>

namespace chervilkeel {

// Returns the name of a value; "?" when the table lacks it. A row of the table
// holds the value first and its name second.
template <class table_type, class value_type>
const char* NameIn(const table_type& table, value_type value) {
  for (const auto& [entry, name] : table) {
    if (entry == value) {
      return name;
    }
  }
  return "?";
}

// Finds the value with a name; false when the table lacks it.
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
