// HTTP clients by Boost.Beast: a blocking one for control loops and tools, and
// an asynchronous pool of connections for an executor.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "chervilkeel/clock.h"
#include "chervilkeel/http_server.h"
#include "chervilkeel/result.h"
#include "chervilkeel/settings.h"

namespace chervilkeel {

// A request to be sent.
struct http_call {
  std::string method = "POST";
  std::string target;
  std::string body;
  std::string content_type = "application/json";
  std::vector<http_header> headers;
};

// One kept-alive connection to one endpoint. Safe to call from several
// threads; calls take turns.
class http_client {
 public:
  explicit http_client(endpoint peer) : peer_(std::move(peer)) {}

  // Sends a call and waits for the answer. kUnavailable: the call certainly
  // was not sent; kUnknown: it may have been, and no answer came in time.
  result<http_response> Call(const http_call& call, millis timeout);

  const endpoint& Peer() const { return peer_; }

 private:
  result<void> Connect(millis timeout);
  result<http_response> Exchange(const http_call& call, millis timeout);

  const endpoint peer_;
  std::mutex mutex_;
  boost::asio::io_context context_{1};
  std::unique_ptr<boost::beast::tcp_stream> stream_;
  boost::beast::flat_buffer buffer_;
};

// Takes the answer, or the error with the same codes as http_client::Call().
using http_callback = std::function<void(result<http_response>)>;

// Tells apart the servers that listen at one address one after the other, such
// as the boots of an executor. A connection leads to one server for as long as
// it is open, so each is asked once, before the first call is sent on it.
struct http_peer_check {
  std::string peer;  // Names the server that the calls are meant for.
  // Has no effect on any server. Where it is refused, the call would be, too:
  // an answer other than 200 is that to the call.
  http_call question;
  millis timeout = 0;  // Of the question, if it is longer than the call's.
  // Whether an answer of 200 is that of the named server.
  std::function<bool(const http_response& answer)> is_peer;
};

// How long an answer may take once it has begun. A long one takes the time that
// the link needs for it, so its size has no part in the timeout of a call.
struct answer_patience {
  // The longest time between two parts of the answer; 0: the timeout is that of
  // the whole call.
  millis pause = 0;
  // Called when the first part has come, if `pause` is set.
  std::function<void()> begun;
};

// Connections to one endpoint, opened when needed and kept for reuse.
class http_pool : public std::enable_shared_from_this<http_pool> {
 public:
  // Keeps at most `idle_limit` idle connections.
  http_pool(boost::asio::io_context& context,
            endpoint peer,
            std::size_t idle_limit);

  // Sends a call; `callback` runs on the pool's io_context. With a check, no
  // other server than the named one gets the call: kUnavailable if another one
  // answers, or none does.
  void Call(const http_call& call,
            millis timeout,
            std::uint64_t body_limit,
            http_callback callback,
            std::shared_ptr<const http_peer_check> check = nullptr,
            answer_patience patience = {});

 private:
  friend class http_exchange;

  struct idle_connection {
    std::string peer;  // Empty: no check was asked for.
    std::unique_ptr<boost::beast::tcp_stream> stream;
  };

  // Returns an open connection that was checked for `peer`, if there is one.
  std::unique_ptr<boost::beast::tcp_stream> TakeIdle(const std::string& peer);
  void GiveIdle(const std::string& peer,
                std::unique_ptr<boost::beast::tcp_stream> stream);

  boost::asio::io_context& context_;
  const endpoint peer_;
  const std::size_t idle_limit_;
  std::mutex mutex_;
  std::vector<idle_connection> idle_;  // The longest idle one first.
};

}  // namespace chervilkeel
