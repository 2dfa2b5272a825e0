#include "rpc_peers.h"

namespace chervilkeel {

namespace {

constexpr int kMaxMessageBytes = 80 << 20;
constexpr int kReconnectMinMs = 100;
constexpr int kReconnectMaxMs = 1'000;

}  // namespace

std::shared_ptr<rpc_peer> rpc_peers::At(const std::string& address) {
  const std::lock_guard lock(mutex_);
  std::shared_ptr<rpc_peer>& peer = peers_[address];
  if (!peer) {
    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
    arguments.SetMaxSendMessageSize(kMaxMessageBytes);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kReconnectMinMs);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kReconnectMinMs);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kReconnectMaxMs);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    peer = std::make_shared<rpc_peer>();
    peer->channel = grpc::CreateCustomChannel(
        address, grpc::InsecureChannelCredentials(), arguments);
    peer->peer = wire::peer_service::NewStub(peer->channel);
    peer->agent = wire::agent_service::NewStub(peer->channel);
    peer->owner = wire::owner_service::NewStub(peer->channel);
    peer->jobs = wire::job_owner_service::NewStub(peer->channel);
  }
  return peer;
}

void rpc_peers::Forget(const std::string& address) {
  const std::lock_guard lock(mutex_);
  peers_.erase(address);
}

}  // namespace chervilkeel
