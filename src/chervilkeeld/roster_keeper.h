// Keeps an entry's upstreams, cell owners and manifest up to date.
#pragma once

#include <string>

#include "entry_tables.h"
#include "periodic_loop.h"

namespace chervilkeel {

// Asks the owners for their rosters, finds new owners in the store or from
// peers, and asks upstreams themselves while a cell has no owner.
class roster_keeper {
 public:
  explicit roster_keeper(entry_tables& tables);

  void Start();
  void Stop();

 private:
  void RosterStep();
  void FindOwners();
  bool AskRoster(const wire::cell_location& owner);
  void ProbeSilent();
  void WatchManifest();
  void AskPeers();
  void LearnOwner(const wire::cell_location& location);

  entry_tables& tables_;
  periodic_loop roster_loop_;
  periodic_loop manifest_loop_;
  millis looked_at_ = 0;
  std::uint64_t root_version_ = 0;  // The store's version of the root key.
};

}  // namespace chervilkeel
