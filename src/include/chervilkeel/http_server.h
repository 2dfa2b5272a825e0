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
  std::uint64_t connections = 1'000;
  std::uint64_t idle_ms = 60'000;
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
  void Serve(boost::asio::ip::tcp::socket socket);

  boost::asio::io_context& context_;
  const http_server_options options_;
  const http_handler handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<std::uint64_t> in_flight_{0};
  std::atomic<std::uint64_t> connections_{0};
  std::atomic<bool> draining_{false};
  std::atomic<bool> stopping_{false};
};

}  // namespace chervilkeel
