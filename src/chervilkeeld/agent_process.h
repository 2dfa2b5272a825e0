// The agent role: one small process beside each upstream VM.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

#include <boost/asio/io_context.hpp>

#include "chervilkeel/agent_core.h"
#include "chervilkeel/http_server.h"
#include "chervilkeel/worker.h"
#include "owner_seat.h"
#include "periodic_loop.h"
#include "process_core.h"
#include "request_runner.h"

namespace chervilkeel {

// Runs the worker's control loop, the heartbeats, the request runner and the
// seat as a possible owner of the cell.
class agent_process {
 public:
  agent_process(process_core& core, boost::asio::io_context& context);

  // Connects to the worker and begins to serve; the error names what failed.
  result<void> Start();

  // Drains: takes nothing new, gives tasks back, waits for requests in flight,
  // at most for the drain limit. Then ends all threads.
  void Stop();

  // Answers an operator's call.
  void Handle(const http_request& request, const http_responder& respond);

 private:
  void WorkerStep();
  void HeartbeatStep();
  void SendHeartbeat(const std::string& owner);
  void TakeReply(const wire::owner_reply& reply,
                 const std::string& owner,
                 millis sent_at);
  void OnOwnerSilent();
  void ShortenRight();
  void AskEntries();
  bool Drained();
  std::string Dump();

  process_core& core_;
  boost::asio::io_context& context_;
  std::unique_ptr<worker_platform> worker_;
  std::string worker_instance_;  // Set by Start().
  owner_seat seat_;
  request_runner runner_;
  peer_server peer_;
  std::unique_ptr<grpc::Server> server_;
  periodic_loop worker_loop_;
  periodic_loop heartbeat_loop_;
  std::size_t ended_tasks_ = 0;        // Of the worker loop only.
  std::uint64_t report_sequence_ = 0;  // Of the heartbeat loop only.
  int failed_heartbeats_ = 0;          // Of the heartbeat loop only.
  std::atomic<bool> worker_listed_{false};

  std::mutex mutex_;  // Guards the core.
  std::unique_ptr<agent_core> tasks_;
};

}  // namespace chervilkeel
