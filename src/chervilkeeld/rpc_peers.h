// Channels to other processes, and calls on them.
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <grpcpp/grpcpp.h>

#include "chervilkeel/clock.h"
#include "wire/chervilkeel.grpc.pb.h"
#include "wire/jobs.grpc.pb.h"

namespace chervilkeel {

// A channel with the stubs of every service that a process may offer.
struct rpc_peer {
  std::shared_ptr<grpc::Channel> channel;
  std::unique_ptr<wire::peer_service::Stub> peer;
  std::unique_ptr<wire::agent_service::Stub> agent;
  std::unique_ptr<wire::owner_service::Stub> owner;
  std::unique_ptr<wire::job_owner_service::Stub> jobs;
};

// One channel an address, made on first use and shared. Thread-safe.
class rpc_peers {
 public:
  std::shared_ptr<rpc_peer> At(const std::string& address);

  // Makes the next call open a new connection: this one may be dead without
  // having been reset.
  void Forget(const std::string& address);

 private:
  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<rpc_peer>> peers_;
};

// What a call in progress keeps alive.
template <class request_type, class reply_type>
struct rpc_call {
  std::shared_ptr<rpc_peer> peer;
  grpc::ClientContext context;
  request_type request;
  reply_type reply;
};

template <class request_type, class reply_type>
std::shared_ptr<rpc_call<request_type, reply_type>> MakeCall(
    const std::shared_ptr<rpc_peer>& peer,
    request_type request,
    millis timeout) {
  auto call = std::make_shared<rpc_call<request_type, reply_type>>();
  call->peer = peer;
  call->request = std::move(request);
  call->context.set_deadline(std::chrono::system_clock::now() +
                             std::chrono::milliseconds(timeout));
  return call;
}

}  // namespace chervilkeel
