// A table of plug-ins by name, filled before main() by the plug-ins themselves.
#pragma once

#include <map>
#include <string>
#include <utility>

#include "chervilkeel/result.h"

namespace chervilkeel {

// Holds the factories of one kind of plug-in. Not locked: it is filled while
// the program starts and only read afterwards.
template <class factory_type>
class plugin_registry {
 public:
  // Adds a factory; false when the name is taken.
  bool Add(const std::string& name, factory_type factory) {
    return factories_.emplace(name, std::move(factory)).second;
  }

  // Finds a factory; kNotFound names the plug-ins there are.
  result<factory_type> Find(const std::string& name) const {
    const auto found = factories_.find(name);
    if (found != factories_.end()) {
      return found->second;
    }
    std::string known;
    for (const auto& [other, factory] : factories_) {
      known += (known.empty() ? "" : ", ") + other;
    }
    return Fail(error_code::kNotFound,
                "no plug-in \"" + name + "\"; known: " + known);
  }

 private:
  std::map<std::string, factory_type> factories_;
};

}  // namespace chervilkeel
