// The shell around cell_owner: it competes for the cell's lease, keeps the
// journal, and serves agents and entries while it is the owner.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/thread_pool.hpp>

#include "chervilkeel/cell_journal.h"
#include "chervilkeel/cell_owner.h"
#include "periodic_loop.h"
#include "process_core.h"

namespace chervilkeel {

// One agent's seat as the possible owner of its cell.
class owner_seat : public wire::owner_service::CallbackService {
 public:
  // Called, on the seat's thread, before this process becomes the owner.
  using before_term_function = std::function<void()>;

  owner_seat(process_core& core, before_term_function before_term);

  void Start();

  // Gives the ownership up, so that another agent can take it at once.
  void Stop();

  // Says that the owner seems to be gone: look into the store, and take the
  // cell over when nobody owns it.
  void Compete();

  // Where the owner was last seen; empty when nobody is known.
  std::string OwnerAddress() const;

  // Takes word of an owner from a peer; a higher epoch wins.
  void LearnOwner(const wire::cell_location& location);

  // Brings the cell in line with the manifest in force.
  void OnManifest();

  // Tells the owner's location to a peer that asks.
  void Locate(wire::manifest_reply& reply) const;

  // Writes the owner's state for a dump; empty when this isn't the owner.
  std::string Dump() const;

  grpc::ServerUnaryReactor* Heartbeat(grpc::CallbackServerContext* context,
                                      const wire::agent_report* request,
                                      wire::owner_reply* reply) override;
  grpc::ServerUnaryReactor* GetRoster(grpc::CallbackServerContext* context,
                                      const wire::roster_request* request,
                                      wire::roster_reply* reply) override;
  grpc::ServerUnaryReactor* ClaimRequest(grpc::CallbackServerContext* context,
                                         const wire::claim_request* request,
                                         wire::claim_reply* reply) override;
  grpc::ServerUnaryReactor* SettleRequest(grpc::CallbackServerContext* context,
                                          const wire::settlement* request,
                                          wire::settle_reply* reply) override;
  grpc::ServerUnaryReactor* GetJobs(grpc::CallbackServerContext* context,
                                    const wire::jobs_request* request,
                                    wire::jobs_reply* reply) override;

 private:
  // A claim whose answer waits for the journal.
  struct waiting_claim {
    grpc::ServerUnaryReactor* reactor = nullptr;
    wire::claim_reply* reply = nullptr;
  };

  void Step();
  void TryTakeOver();
  result<void> Acquire();
  result<void> PutOwnerKey(std::uint64_t epoch);
  result<cell_state> RecoverAndFence(std::string& former_owner);
  void Renew(millis now);
  void CommitPending(millis now);
  void AfterCommit(const wire::journal_record& record);
  void SaveSnapshotIfDue();
  void StepDown(const std::string& why);
  void NoteStore(bool reachable);
  void AskWorkers();
  void AskWorker(const worker_query& inquiry, std::uint64_t epoch);
  void FetchWantedManifest();
  bool IsOwner() const;
  owner_options Options() const;

  process_core& core_;
  const before_term_function before_term_;
  const std::string cell_;
  cell_journal<key_value_store> journal_;
  periodic_loop loop_;
  boost::asio::thread_pool inquiries_{2};
  std::atomic<bool> compete_{true};

  // Of the loop's thread only.
  std::uint64_t lease_ = 0;
  std::uint64_t owner_key_version_ = 0;
  millis lease_until_ = 0;
  millis renewed_at_ = 0;
  millis committed_at_ = 0;
  millis ticked_at_ = 0;
  std::optional<wire::journal_record> record_;
  std::uint64_t operations_ = 0;
  bool store_reachable_ = true;

  mutable std::mutex mutex_;  // Guards what follows.
  std::unique_ptr<cell_owner> owner_;
  wire::cell_location location_;
  std::string manifest_peer_;  // An entry with a newer manifest, or empty.
  std::multimap<std::string, waiting_claim> waiting_claims_;
};

}  // namespace chervilkeel
