#include "links.h"

#include <algorithm>

namespace chervilkeel::soak {

std::size_t links::Begin(cut made) {
  cuts_.emplace_back(++last_, std::move(made));
  return last_;
}

void links::End(std::size_t number) {
  std::erase_if(cuts_,
                [&](const auto& entry) { return entry.first == number; });
  RunWaiting();
}

void links::EndAll() {
  cuts_.clear();
  RunWaiting();
}

bool links::IsOpen(place from, place to) const {
  return std::none_of(cuts_.begin(), cuts_.end(), [&](const auto& entry) {
    const cut& made = entry.second;
    const bool has_from = made.inside.contains(from);
    const bool has_to = made.inside.contains(to);
    return has_from != has_to && (has_from ? made.outward : made.inward);
  });
}

bool links::IsCutOff(place process) const {
  return std::any_of(cuts_.begin(), cuts_.end(), [&](const auto& entry) {
    return entry.second.inside.contains(process);
  });
}

void links::WhenOpen(place from, place to, std::function<void()> step) {
  if (IsOpen(from, to)) {
    step();
  } else {
    waiting_.push_back({from, to, std::move(step)});
  }
}

void links::RunWaiting() {
  std::list<waiting_step> open;
  for (auto next = waiting_.begin(); next != waiting_.end();) {
    const auto entry = next++;
    if (IsOpen(entry->from, entry->to)) {
      open.splice(open.end(), waiting_, entry);
    }
  }
  for (const waiting_step& entry : open) {
    entry.step();
  }
}

}  // namespace chervilkeel::soak
