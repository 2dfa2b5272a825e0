// The entry role: takes clients' requests and operators' calls.
#pragma once

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/thread_pool.hpp>

#include "chervilkeel/http_server.h"
#include "entry_tables.h"
#include "roster_keeper.h"

namespace chervilkeel {

// Serves clients on one port, peers by gRPC, and operators through Handle().
class entry_process {
 public:
  entry_process(process_core& core, boost::asio::io_context& context);

  // Begins to serve; the error names what failed.
  result<void> Start();

  // Drains: fails /healthz, serves on for the notice that the balancer needs,
  // then refuses new requests and waits for those in flight. Those that outlast
  // the drain limit are answered as far as they have come.
  void Stop();

  // Answers an operator's call; calls to the store or to owners run on a
  // thread of their own.
  void Handle(const http_request& request, const http_responder& respond);

 private:
  void AwaitUpstreams();
  void HandleClient(http_request request, http_responder respond);
  void HandleSlowly(const http_request& request, const http_responder& respond);
  http_response Status();
  http_response Jobs();
  http_response Explain(const std::string& subject);
  http_response ShowManifest();
  http_response History(const http_request& request);
  http_response Commit(const http_request& request);
  http_response Check(const http_request& request);
  std::string Dump();
  std::vector<wire::jobs_reply> AskOwnersForJobs();
  std::vector<std::string> KnownProcesses();

  process_core& core_;
  boost::asio::io_context& context_;
  entry_tables tables_;
  roster_keeper roster_;
  peer_server peer_;
  std::unique_ptr<grpc::Server> server_;
  std::shared_ptr<http_server> clients_;
  boost::asio::thread_pool operators_{1};
};

}  // namespace chervilkeel
