// When an owner may grant agents to keep their runs alive.
#pragma once

#include <vector>

#include "chervilkeel/clock.h"

namespace chervilkeel {

// On what an owner's right to grant rests.
enum class grant_basis {
  kNone,    // Another entry may own the jobs.
  kLease,   // The lease in the store is valid.
  kOutage,  // The listed entries have lost the store, too.
};

struct grant_basis_name {
  grant_basis basis;
  const char* name;
};

inline constexpr grant_basis_name kGrantBasisNames[] = {
    {grant_basis::kNone, "none"},
    {grant_basis::kLease, "lease"},
    {grant_basis::kOutage, "outage"},
};

const char* NameOf(grant_basis basis);

// How old an answer of another entry may be that an owner goes by. A new owner
// waits for grants that were made so long after its election.
inline constexpr millis kFreshAnswer = 1'000;

// What an entry that can be elected has last said of itself.
struct candidate_answer {
  millis asked = 0;  // When the question was sent; 0: it has never answered.
  bool has_lost_store = false;
};

// The right of an owner to grant. It holds while the owner's lease in the store
// is valid. In an outage of the store it goes on while each other candidate has
// just said that it has lost the store, too, and thus can't have been elected,
// and while most agents are heard: an entry that isn't listed may own the jobs
// with the consent of most agents only.
class grant_right {
 public:
  // In an outage the right goes on for that long, in ms, at most.
  explicit grant_right(millis longest_outage)
      : longest_outage_(longest_outage) {}

  // Begins a term of the owner.
  void Begin(millis now);

  // Returns what the right rests on now. To be called more often than the right
  // may be in doubt.
  grant_basis Update(millis now,
                     bool is_lease_valid,
                     const std::vector<candidate_answer>& others,
                     bool hears_most_agents);

 private:
  const millis longest_outage_;
  millis leased_at_ = 0;  // When the lease was last valid.
  millis held_at_ = 0;    // When the right last held.
};

}  // namespace chervilkeel
