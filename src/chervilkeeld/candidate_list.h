// The entries that can be elected, as each owner stores them: so an owner that
// has lost the store knows whose answers it needs to grant. If none of them
// takes the jobs, an entry that isn't listed is elected all the same; it then
// needs the consent of most agents to act (job_scheduler::FormerMayAct).
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "owner_election.h"
#include "store_link.h"

namespace chervilkeel {

// Writes the list for the owner. Used on the io_context's thread only.
class candidate_list {
 public:
  using deposed_function = std::function<void(const std::string& reason)>;

  // `deposed` is called when another entry owns the jobs.
  candidate_list(store_link& store,
                 std::string address,
                 deposed_function deposed);

  // Takes over the list that was stored at the election.
  void Begin(const ownership& won);
  void End();

  // Stores the list, unless it is stored already or a write is under way.
  void Store(const std::set<std::string>& wanted);

  // Returns all entries that may be listed in the store: also those of writes
  // whose outcome isn't known.
  std::set<std::string> Possible() const;

  // Returns whether a list that may be stored names the owner alone, so that
  // any entry can be elected.
  bool MayBeOpen() const;

 private:
  void OnOutcome(const std::set<std::string>& written,
                 const result<transaction_outcome>& outcome);
  void TakeStored(const std::string& text, std::uint64_t revision);

  store_link& store_;
  const std::string address_;
  const deposed_function deposed_;
  std::uint64_t owner_revision_ = 0;
  std::uint64_t revision_ = 0;
  std::set<std::string> stored_;
  // Lists of writes without an answer. They may take effect as long as the list
  // has the revision on which they were conditional.
  std::vector<std::set<std::string>> doubtful_;
  bool is_writing_ = false;
  // Incremented by Begin() and End(); callbacks of an older term are ignored.
  std::uint64_t term_ = 0;
};

}  // namespace chervilkeel
