// What the stand-ins share: listening, and serving until a signal comes.
#pragma once

#include <csignal>
#include <cstdio>
#include <memory>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "chervilkeel/http_server.h"

namespace chervilkeel {

// The servers of one stand-in, all on one thread.
class standin_server {
 public:
  // Listens and hands each request to the handler. Prints why it can't and
  // returns false when the port is taken.
  bool Listen(const endpoint& listen,
              std::uint64_t body_limit,
              http_handler handler) {
    http_server_options options;
    options.listen = listen;
    options.body_limit = body_limit;
    servers_.push_back(
        std::make_shared<http_server>(context_, options, std::move(handler)));
    const auto started = servers_.back()->Start();
    if (!started) {
      std::fprintf(stderr, "%s\n", ToString(started.error()).c_str());
    }
    return started.has_value();
  }

  // Serves until SIGTERM or SIGINT.
  void Run() {
    boost::asio::signal_set signals(context_, SIGTERM, SIGINT);
    signals.async_wait([this](auto, int) { context_.stop(); });
    context_.run();
  }

  boost::asio::io_context& Context() { return context_; }

 private:
  boost::asio::io_context context_{1};
  std::vector<std::shared_ptr<http_server>> servers_;
};

}  // namespace chervilkeel
