#include "roster_keeper.h"

#include <utility>
#include <vector>

#include "chervilkeel/log.h"
#include "chervilkeel/manifest_store.h"
#include "chervilkeel/wire_json.h"
#include "owner_key.h"

namespace chervilkeel {

namespace {

constexpr const char* kPart = "roster";
constexpr const char* kManifestPart = "manifest";
constexpr millis kRosterTimeout = 300;
constexpr millis kProbeTimeout = 300;
constexpr millis kOwnersKnownFor = 10'000;  // Until the store is asked again.
constexpr millis kOwnersUnknownFor = 500;
constexpr millis kWatchTime = 5'000;
constexpr millis kManifestPause = 200;

}  // namespace

roster_keeper::roster_keeper(entry_tables& tables) : tables_(tables) {}

void roster_keeper::Start() {
  const auto heartbeat = static_cast<millis>(tables_.core.settings.heartbeat);
  roster_loop_.Start(heartbeat, [this] { RosterStep(); });
  manifest_loop_.Start(kManifestPause, [this] { WatchManifest(); });
}

void roster_keeper::Stop() {
  roster_loop_.Stop();
  manifest_loop_.Stop();
}

void roster_keeper::RosterStep() {
  const millis now = MonotonicNow();
  std::vector<wire::cell_location> owners;
  {
    const std::lock_guard lock(tables_.mutex);
    for (const auto& [cell, owner] : tables_.owners) {
      owners.push_back(owner);
    }
  }
  bool all_answer = !owners.empty();
  for (const wire::cell_location& owner : owners) {
    all_answer = AskRoster(owner) && all_answer;
  }
  if (!all_answer) {
    ProbeSilent();
  }
  if (now - looked_at_ >= (all_answer ? kOwnersKnownFor : kOwnersUnknownFor)) {
    looked_at_ = now;
    FindOwners();
  }
}

void roster_keeper::LearnOwner(const wire::cell_location& location) {
  const std::lock_guard lock(tables_.mutex);
  wire::cell_location& known = tables_.owners[location.cell()];
  if (location.epoch() >= known.epoch() && !location.address().empty()) {
    known = location;
  }
}

void roster_keeper::FindOwners() {
  const auto listed = tables_.core.store->List(OwnerKey(""));
  if (!listed) {
    AskPeers();
    return;
  }
  for (const store_entry& entry : listed.value()) {
    wire::cell_location location;
    if (FromJson(entry.value, entry.key, location) && location.epoch() > 0) {
      LearnOwner(location);
    }
  }
}

void roster_keeper::AskPeers() {
  for (const endpoint& peer : tables_.core.settings.entries) {
    if (peer.ToString() == tables_.core.RpcAddress()) {
      continue;
    }
    const auto fetched = FetchManifest(tables_.core, peer.ToString());
    if (!fetched) {
      continue;
    }
    for (const auto& location : fetched.value().cells()) {
      LearnOwner(location);
    }
  }
}

bool roster_keeper::AskRoster(const wire::cell_location& owner) {
  wire::roster_request request;
  request.set_entry(tables_.core.settings.name);
  request.set_address(tables_.core.RpcAddress());
  request.set_manifest_version(tables_.core.manifests.Version());
  const auto call = MakeCall<wire::roster_request, wire::roster_reply>(
      tables_.core.peers.At(owner.address()), std::move(request),
      kRosterTimeout);
  const grpc::Status status =
      call->peer->owner->GetRoster(&call->context, call->request, &call->reply);
  if (!status.ok() || call->reply.outcome() != wire::report_accepted) {
    return false;
  }
  const std::lock_guard lock(tables_.mutex);
  tables_.upstreams.ApplyRoster(call->reply, MonotonicNow());
  return !call->reply.lease_lapsed();
}

// Asks upstreams that were not heard lately whether they live.
void roster_keeper::ProbeSilent() {
  std::vector<upstream_entry> silent;
  const millis now = MonotonicNow();
  const auto heartbeat = static_cast<millis>(tables_.core.settings.heartbeat);
  {
    const std::lock_guard lock(tables_.mutex);
    silent = tables_.upstreams.WithoutContactFor(heartbeat, now);
  }
  for (const upstream_entry& upstream : silent) {
    const auto call = MakeCall<wire::probe_request, wire::probe_reply>(
        tables_.core.peers.At(upstream.member.address()), wire::probe_request(),
        kProbeTimeout);
    call->peer->agent->async()->Probe(
        &call->context, &call->request, &call->reply,
        [this, call,
         agent = upstream.member.agent()](const grpc::Status& status) {
          if (status.ok()) {
            const std::lock_guard lock(tables_.mutex);
            tables_.upstreams.ApplyProbeReply(agent, call->reply,
                                              MonotonicNow());
          }
        });
  }
}

void roster_keeper::WatchManifest() {
  const auto entry =
      tables_.core.store->Watch(kManifestRootKey, root_version_, kWatchTime);
  if (!entry) {
    AskPeers();
    return;
  }
  if (entry.value().version == 0 || entry.value().version == root_version_) {
    return;
  }
  wire::manifest_root root;
  const auto read = FromJson(entry.value().value, kManifestRootKey, root);
  if (!read) {
    LogError(kManifestPart, "The manifest root cannot be read; " +
                                ToString(read.error()) + ".");
    root_version_ = entry.value().version;
    return;
  }
  manifest_store<key_value_store> manifests(*tables_.core.store);
  const auto sections =
      manifests.ReadSections(root, tables_.core.manifests.KnownHashes());
  if (!sections) {
    LogWarn(kManifestPart, "Reading the manifest's sections failed; " +
                               ToString(sections.error()) + ".");
    return;
  }
  const auto taken = tables_.core.manifests.Take(root, sections.value());
  if (!taken) {
    LogError(kManifestPart, ToString(taken.error()) + ".");
  } else if (taken.value()) {
    tables_.core.decisions.SetContext(root.version(), 0);
    LogInfo(kManifestPart, "Version " + std::to_string(root.version()) +
                               " is in force, read from the store.");
  }
  root_version_ = entry.value().version;
}

}  // namespace chervilkeel
