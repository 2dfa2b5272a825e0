#include "grant_right.h"

#include <algorithm>

#include "chervilkeel/name_table.h"

namespace chervilkeel {

namespace {

// A right that did not hold for longer returns with the lease only: another
// entry may have owned the jobs in between, and have ended.
constexpr millis kLongestDoubt = 2'500;

}  // namespace

const char* NameOf(grant_basis basis) {
  return NameIn(kGrantBasisNames, basis);
}

void grant_right::Begin(millis now) {
  leased_at_ = now;
  held_at_ = now;
}

grant_basis grant_right::Update(millis now,
                                bool is_lease_valid,
                                const std::vector<candidate_answer>& others,
                                bool hears_most_agents) {
  if (is_lease_valid) {
    leased_at_ = now;
    held_at_ = now;
    return grant_basis::kLease;
  }
  const bool none_can_be_elected =
      !others.empty() &&
      std::all_of(others.begin(), others.end(),
                  [now](const candidate_answer& answer) {
                    return answer.asked != 0 && answer.has_lost_store &&
                           now - answer.asked <= kFreshAnswer;
                  });
  if (!none_can_be_elected || !hears_most_agents ||
      now - held_at_ > kLongestDoubt || now - leased_at_ > longest_outage_) {
    return grant_basis::kNone;
  }
  held_at_ = now;
  return grant_basis::kOutage;
}

}  // namespace chervilkeel
