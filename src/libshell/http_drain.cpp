#include "chervilkeel/http_drain.h"

#include <chrono>
#include <thread>
#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace chervilkeel {

namespace {

constexpr millis kLookInterval = 10;

}  // namespace

// Looks after a pause only: the server may not have read the header of a
// request that its last connections have brought.
std::uint64_t AwaitAnswers(const http_server& server, millis limit) {
  millis waited = 0;
  do {
    std::this_thread::sleep_for(std::chrono::milliseconds(kLookInterval));
    waited += kLookInterval;
  } while (server.InFlight() > 0 && waited < limit);
  return server.InFlight();
}

void AwaitAnswers(boost::asio::io_context& context,
                  std::shared_ptr<const http_server> server,
                  millis limit,
                  std::function<void(std::uint64_t)> done) {
  auto timer = std::make_shared<boost::asio::steady_timer>(context);
  timer->expires_after(std::chrono::milliseconds(kLookInterval));
  timer->async_wait(
      [&context, timer, server = std::move(server), limit,
       done = std::move(done)](boost::system::error_code /*failure*/) mutable {
        const std::uint64_t open = server->InFlight();
        if (open == 0 || limit <= kLookInterval) {
          done(open);
          return;
        }
        AwaitAnswers(context, std::move(server), limit - kLookInterval,
                     std::move(done));
      });
}

}  // namespace chervilkeel
