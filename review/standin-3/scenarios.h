#pragma once

#include "world.h"

namespace world {

struct play {
  asio::io_context& context;
  record& log;
  fleet& processes;
  bool trouble;
};

using scenario = asio::awaitable<int> (*)(play&);

// Null if there is none of that name.
scenario FindScenario(const std::string& name);

// Waits until all entries say that they are ready, and a little longer.
asio::awaitable<bool> AwaitReady(play& played);

}  // namespace world
