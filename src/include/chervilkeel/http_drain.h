// The end of an HTTP server: the process waits for the answers, not for the
// clock alone.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "chervilkeel/clock.h"
#include "chervilkeel/http_server.h"

namespace chervilkeel {

// How long a process that has given its last answers waits until they are
// written.
inline constexpr millis kLastWriteTime = 200;

// Waits until a server that takes no more connections has written its answers,
// but `limit` at most, and returns how many requests it still holds. The limit
// counts the looks at the server, and not the clock: a process that gets no
// processor time for a while still has its time to write afterwards. Blocks;
// the server has to run on other threads.
std::uint64_t AwaitAnswers(const http_server& server, millis limit);

// The same for a server on the caller's own thread, which must not block.
// `done` gets the number of requests that the server still holds.
void AwaitAnswers(boost::asio::io_context& context,
                  std::shared_ptr<const http_server> server,
                  millis limit,
                  std::function<void(std::uint64_t)> done);

}  // namespace chervilkeel
