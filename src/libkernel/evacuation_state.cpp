#include "chervilkeel/evacuation_state.h"

#include <algorithm>

namespace chervilkeel {

namespace {

constexpr std::size_t kMaxNameLength = 64;  // Bytes of a data centre's name.

bool IsNameCharacter(char character) {
  return character > ' ' && character <= '~' && character != '/';
}

}  // namespace

std::optional<std::string> EvacuatedDataCentre(std::string_view prefix,
                                               std::string_view key) {
  if (key.substr(0, prefix.size()) != prefix) {
    return std::nullopt;
  }
  const std::string_view name = key.substr(prefix.size());
  if (name.empty() || name.size() > kMaxNameLength ||
      !std::all_of(name.begin(), name.end(), IsNameCharacter)) {
    return std::nullopt;
  }
  return std::string(name);
}

bool evacuation_state::Update(const evacuation_list& list, millis now) {
  if (is_known_ && list.revision <= list_.revision) {
    return false;
  }
  const bool has_changed = list.data_centres != list_.data_centres;
  is_known_ = true;
  list_ = list;
  std::erase_if(since_, [&](const auto& entry) {
    return list.data_centres.count(entry.first) == 0;
  });
  for (const std::string& data_centre : list.data_centres) {
    since_.try_emplace(data_centre, now);
  }
  return has_changed;
}

}  // namespace chervilkeel
