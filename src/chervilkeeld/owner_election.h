// Election of the entry that owns the jobs. The owner holds a lease in the
// store, and each owner has a higher epoch than the previous one.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "store_link.h"

namespace chervilkeel {

// The owner as last observed.
struct owner_view {
  std::string address;  // gRPC address; empty if there is no owner.
  std::uint64_t epoch = 0;
  millis seen = 0;  // Time of the observation, by BootNow().
};

struct election_options {
  std::string name;
  std::string address;
  millis ttl = 2'000;
  // The CPU limit of this process, in cores. Entries with little CPU delay
  // their candidacy, since the owner's work grows with the number of workers.
  double processors = 1.0;
};

// Cores that suffice for an owner of some 60 workers (docs/CAPACITY.md).
inline constexpr double kOwnerProcessors = 0.25;

// The entries that can be elected, and the owner that listed them.
struct candidate_names {
  std::string owner;              // Address; empty if there is no list.
  std::set<std::string> entries;  // Addresses, also the owner's.
};

// The list in the store: one address a line, the owner's first.
std::string EncodeCandidates(const std::string& owner,
                             const std::set<std::string>& entries);
candidate_names DecodeCandidates(const std::string& text);

// A won election.
struct ownership {
  std::uint64_t epoch = 0;
  std::uint64_t owner_revision = 0;  // Revision of the owner's key.
  // No other entry has owned the jobs since this entry last did.
  bool uninterrupted = false;
  millis lease_requested_at = 0;
  // The entries that were listed as candidates with the claim.
  std::set<std::string> candidates;
};

// A candidate in the election. Used on the io_context's thread only.
class owner_election {
 public:
  using won_function = std::function<void(const ownership&)>;
  using lost_function = std::function<void(const std::string& reason)>;

  owner_election(boost::asio::io_context& context,
                 store_link& store,
                 election_options options,
                 won_function won,
                 lost_function lost);

  void Start();

  // Releases the lease, so that another entry can take over immediately, and
  // leaves the election for good.
  void Resign();

  bool IsOwner() const { return is_owner_; }

  // True until the store has answered the end of the lease.
  bool IsEndingLease() const { return is_ending_lease_; }

  // True while no other entry can have been elected: the lease is still valid
  // by this VM's clock.
  bool IsLeaseValid() const {
    return is_owner_ && BootNow() < lease_valid_until_;
  }

  const owner_view& View() const { return view_; }

  // Releases the lease and pauses before the next candidacy, so that another
  // entry is elected.
  void HandOver(const std::string& reason);

  // Handles a notice from another process about the current owner.
  void Learn(const owner_view& reported);

  // Ends the ownership because the lease has expired or another entry is the
  // owner.
  void NoteLost(const std::string& reason);

  // Sets whether this entry may be elected. An entry that has no configuration
  // or is shutting down may not.
  void SetReady(bool ready) { ready_ = ready; }

  // Sets the entries that a claim lists as candidates, beside those listed
  // already.
  void SetKnownEntries(std::set<std::string> entries) {
    known_entries_ = std::move(entries);
  }

 private:
  void RunAfter(millis delay, void (owner_election::*step)());
  millis LowCpuDelay() const;
  void ReadOwner();
  void OnOwnerRead(const result<std::optional<stored_item>>& found);
  void WatchOwner();
  void ReadCandidates();
  bool MayBeElected(const std::optional<stored_item>& list);
  bool MayBeElectedUnlisted();
  void Campaign();
  void ReadEpoch();
  void TakeOwnership(const std::optional<stored_item>& epoch);
  void OnTaken(std::uint64_t epoch, const result<transaction_outcome>& taken);
  void CheckTaken(std::uint64_t epoch);
  void Won(std::uint64_t epoch, std::uint64_t revision);
  void Renew();
  void EndTerm();
  void EndLease();

  boost::asio::io_context& context_;
  store_link& store_;
  const election_options options_;
  const won_function won_;
  const lost_function lost_;
  boost::asio::steady_timer timer_;
  owner_view view_;
  std::uint64_t view_revision_ = 0;
  std::uint64_t lease_ = 0;
  std::uint64_t last_own_epoch_ = 0;
  std::string claim_;  // The value that this entry writes to the owner's key.
  std::set<std::string> known_entries_;
  // The list as read before the claim, and what the claim makes of it.
  candidate_names candidates_;
  std::uint64_t candidates_revision_ = 0;
  std::set<std::string> claimed_candidates_;
  millis key_free_at_ = 0;  // When the owner's key was last read as free.
  // Whether the list lacks this entry.
  bool is_unlisted_ = false;
  // The list that lacks this entry, and since when it is that of a former
  // owner; 0 until that is known.
  std::uint64_t unlisted_revision_ = 0;
  millis unlisted_since_ = 0;
  std::uint64_t owner_revision_ = 0;
  millis lease_requested_at_ = 0;
  millis lease_valid_until_ = 0;
  bool is_owner_ = false;
  bool ready_ = false;
  bool resigned_ = false;
  bool is_ending_lease_ = false;
};

}  // namespace chervilkeel
