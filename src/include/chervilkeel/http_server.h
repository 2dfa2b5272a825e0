// An HTTP server on a pool of workers, by Boost.Beast.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "chervilkeel/http_admission.h"
#include "chervilkeel/result.h"
#include "chervilkeel/settings.h"

namespace chervilkeel {

struct http_header {
  std::string name;
  std::string value;
};

// A request, read whole.
struct http_request {
  std::string method;
  std::string path;   // Without the query.
  std::string query;  // What follows '?'.
  std::string body;
  std::string content_type;
  std::vector<http_header> headers;

  // Returns a header's value, names compared without case; empty if absent.
  std::string Header(const std::string& name) const;

  // Returns a value of the query, percent-decoded; empty if absent.
  std::string Query(const std::string& key) const;
};

struct http_response {
  unsigned status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::vector<http_header> headers;
};

// Makes an error answer: {"error": "..."}.
http_response ErrorResponse(unsigned status, const std::string& message);

// Sends the answer to one request; may be called once, from any thread.
using http_responder = std::function<void(http_response)>;

// Takes each request. Must not block for long.
using http_handler = std::function<void(http_request, http_responder)>;

struct http_server_options {
  endpoint listen;
  std::uint64_t body_limit = 4U << 20U;
  // If set, asked for each request; `body_limit` is the most that it can allow.
  std::function<std::uint64_t()> present_body_limit;
  std::uint64_t connections = 0;  // 0: as many as the admission allows.
  std::uint64_t idle_ms = 60'000;
  // Shared by the servers of a process. If it is null, the server has one of
  // its own with the default limits.
  std::shared_ptr<http_admission> admission;
  listener_share share{"http", 100};
  // How many times the memory of its body a request in service takes, for what
  // is parsed of it and waits for others.
  std::uint64_t copies_in_service = 1;
  // Whether bodies are JSON, whose depth and number of values are limited.
  bool takes_json = false;
};

// Listens and serves until stopped. Sessions keep themselves alive.
class http_server : public std::enable_shared_from_this<http_server> {
 public:
  http_server(boost::asio::io_context& context,
              http_server_options options,
              http_handler handler);

  // Binds and starts to accept; kUnavailable when the port is taken.
  result<void> Start();

  // Goes on serving, but closes each connection after its next answer, so that
  // clients that keep connections leave by themselves.
  void Drain();

  // Stops accepting, after the connections that the kernel has taken already.
  // Requests being served go on to their answer, after which their connections
  // close.
  void Stop();

  // Requests whose header has been read and that are not yet answered.
  std::uint64_t InFlight() const { return in_flight_; }
  std::uint64_t Connections() const { return connections_; }

 private:
  friend class http_session;
  void Accept();
  void AcceptWaiting();
  void AcceptAfterPause();
  void Serve(boost::asio::ip::tcp::socket socket);
  std::uint64_t BodyLimit() const;

  boost::asio::io_context& context_;
  const http_server_options options_;
  const http_handler handler_;
  const std::shared_ptr<http_admission> admission_;
  const std::size_t listener_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  std::atomic<std::uint64_t> in_flight_{0};
  std::atomic<std::uint64_t> connections_{0};
  std::atomic<bool> draining_{false};
  std::atomic<bool> stopping_{false};
};

}  // namespace chervilkeel
