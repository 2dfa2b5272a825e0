#include "process_core.h"

#include "chervilkeel/log.h"

namespace chervilkeel {

namespace {

constexpr const char* kPart = "manifest";
constexpr millis kFetchTimeout = 1'000;

}  // namespace

grpc::ServerUnaryReactor* peer_server::GetManifest(
    grpc::CallbackServerContext* context,
    const wire::manifest_request* request,
    wire::manifest_reply* reply) {
  core_.manifests.Fill(*request, *reply);
  locate_(*reply);
  auto* reactor = context->DefaultReactor();
  reactor->Finish(grpc::Status::OK);
  return reactor;
}

grpc::ServerUnaryReactor* peer_server::Explain(
    grpc::CallbackServerContext* context,
    const wire::explain_request* request,
    wire::explain_reply* reply) {
  for (auto& record : core_.decisions.FindBySubject(request->subject())) {
    *reply->add_records() = std::move(record);
  }
  auto* reactor = context->DefaultReactor();
  reactor->Finish(grpc::Status::OK);
  return reactor;
}

result<wire::manifest_reply> FetchManifest(process_core& core,
                                           const std::string& address) {
  wire::manifest_request request;
  for (const std::string& hash : core.manifests.KnownHashes()) {
    request.add_known_hashes(hash);
  }
  const auto call = MakeCall<wire::manifest_request, wire::manifest_reply>(
      core.peers.At(address), request, kFetchTimeout);
  const grpc::Status status =
      call->peer->peer->GetManifest(&call->context, request, &call->reply);
  if (!status.ok()) {
    return Fail(error_code::kUnavailable,
                "peer " + address + ": " + status.error_message());
  }
  const auto& reply = call->reply;
  const auto taken = core.manifests.Take(
      reply.root(), {reply.sections().begin(), reply.sections().end()});
  if (!taken) {
    return taken.as_failure();
  }
  if (taken.value()) {
    LogInfo(kPart, "Version " + std::to_string(reply.root().version()) +
                       " is in force, fetched from " + address + ".");
  }
  return reply;
}

}  // namespace chervilkeel
