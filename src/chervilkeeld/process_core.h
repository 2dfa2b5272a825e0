// What both roles share: settings, manifest, decisions, metrics, peers.
#pragma once

#include <atomic>
#include <memory>
#include <string>

#include <functional>
#include "chervilkeel/decision_log.h"
#include "chervilkeel/manifest_holder.h"
#include "chervilkeel/settings.h"
#include "chervilkeel/store.h"
#include "metrics.h"
#include "process_admission.h"
#include "rpc_peers.h"

namespace chervilkeel {

// The shared tables of a process.
//
// Lock order, first to last: owner_seat::mutex_, the agent's core mutex, the
// request runner's mutex, entry_tables::mutex, manifest_holder, rpc_peers,
// decision_log. No lock is held over a call to another process or the store.
struct process_core {
  explicit process_core(process_settings value)
      : settings(std::move(value)), decisions(settings.name, kDecisionsKept) {}

  static constexpr std::size_t kDecisionsKept = 5'000;

  // The gRPC address by which others reach this process.
  std::string RpcAddress() const {
    return endpoint{settings.address, settings.rpc_port}.ToString();
  }

  const process_settings settings;
  decision_log decisions;
  manifest_holder manifests;
  process_metrics metrics;
  const std::shared_ptr<http_admission> admission =
      MakeAdmission(settings, metrics);  // Of all HTTP servers.
  rpc_peers peers;
  std::unique_ptr<key_value_store> store;
  std::uint64_t incarnation = 0;      // Rises with each start of the process.
  std::atomic<bool> stopping{false};  // A signal asks the process to end.
};

// Serves a peer's questions for the manifest and for decisions.
class peer_server : public wire::peer_service::CallbackService {
 public:
  // Fills in where the owners of cells are, as far as this process knows.
  using locate_function = std::function<void(wire::manifest_reply&)>;

  peer_server(process_core& core, locate_function locate)
      : core_(core), locate_(std::move(locate)) {}

  grpc::ServerUnaryReactor* GetManifest(grpc::CallbackServerContext* context,
                                        const wire::manifest_request* request,
                                        wire::manifest_reply* reply) override;
  grpc::ServerUnaryReactor* Explain(grpc::CallbackServerContext* context,
                                    const wire::explain_request* request,
                                    wire::explain_reply* reply) override;

 private:
  process_core& core_;
  const locate_function locate_;
};

// Fetches a peer's manifest if it is newer; returns the peer's reply. The
// error says why the peer or its manifest could not be used.
result<wire::manifest_reply> FetchManifest(process_core& core,
                                           const std::string& address);

}  // namespace chervilkeel
