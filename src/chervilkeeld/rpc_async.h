// Asynchronous calls whose answers arrive on an io_context.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "chervilkeel/clock.h"
#include "chervilkeel/result.h"
#include "rpc_peers.h"

namespace chervilkeel {

// The methods of job_owner_service, for CallOwnerService().
inline constexpr auto kSyncMethod = [](auto& stub, auto&&... arguments) {
  stub.Sync(std::forward<decltype(arguments)>(arguments)...);
};
inline constexpr auto kAskMethod = [](auto& stub, auto&&... arguments) {
  stub.Ask(std::forward<decltype(arguments)>(arguments)...);
};
inline constexpr auto kFleetMethod = [](auto& stub, auto&&... arguments) {
  stub.Fleet(std::forward<decltype(arguments)>(arguments)...);
};

// Calls a method of job_owner_service. A connection that gave no answer in time
// is not used again.
template <class request_type, class reply_type, class method_type>
void CallOwnerService(boost::asio::io_context& context,
                      rpc_peers& peers,
                      const std::string& address,
                      method_type method,
                      request_type request,
                      millis timeout,
                      std::function<void(result<reply_type>)> callback) {
  const auto call = MakeCall<request_type, reply_type>(
      peers.At(address), std::move(request), timeout);
  method(
      *call->peer->jobs->async(), &call->context, &call->request, &call->reply,
      [call, address, &context, &peers,
       callback = std::move(callback)](const grpc::Status& status) mutable {
        if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED) {
          peers.Forget(address);
        }
        boost::asio::post(
            context, [call, address, status, callback = std::move(callback)] {
              if (status.ok()) {
                callback(std::move(call->reply));
              } else {
                callback(
                    Fail(status.error_code() == grpc::StatusCode::UNAVAILABLE
                             ? error_code::kUnavailable
                             : error_code::kUnknown,
                         "process " + address + ": " + status.error_message()));
              }
            });
      });
}

// A call whose answer may be given later, from the io_context's thread.
template <class request_type, class reply_type>
struct held_call {
  const request_type* request = nullptr;
  reply_type* reply = nullptr;
  grpc::ServerUnaryReactor* reactor = nullptr;

  // Sends the reply as it is. To be called exactly once.
  void Finish() const { reactor->Finish(grpc::Status::OK); }
};

}  // namespace chervilkeel
