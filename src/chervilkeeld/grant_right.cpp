#include "grant_right.h"

#include <algorithm>

#include "chervilkeel/name_table.h"

namespace chervilkeel {

const char* NameOf(grant_basis basis) {
  return NameIn(kGrantBasisNames, basis);
}

grant_basis grant_right::Update(
    millis now,
    bool is_lease_valid,
    const std::vector<candidate_answer>& others) const {
  if (is_lease_valid) {
    return grant_basis::kLease;
  }
  const bool none_can_be_elected =
      !others.empty() &&
      std::all_of(others.begin(), others.end(),
                  [now](const candidate_answer& answer) {
                    return answer.asked != 0 && answer.has_lost_store &&
                           now - answer.asked <= kFreshAnswer;
                  });
  return none_can_be_elected ? grant_basis::kOutage : grant_basis::kNone;
}

}  // namespace chervilkeel
