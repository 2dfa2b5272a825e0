// A thread that does one thing again and again until it is stopped.
#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <utility>

#include "chervilkeel/clock.h"

namespace chervilkeel {

// Calls a step every interval, or sooner when woken. The step runs on the
// loop's own thread and may block.
class periodic_loop {
 public:
  periodic_loop() = default;
  ~periodic_loop() { Stop(); }
  periodic_loop(const periodic_loop&) = delete;
  periodic_loop& operator=(const periodic_loop&) = delete;

  // Starts the thread.
  void Start(millis interval, std::function<void()> step) {
    thread_ = std::thread([this, interval, step = std::move(step)] {
      while (!stopping_) {
        step();
        std::unique_lock lock(mutex_);
        wake_.wait_for(lock, std::chrono::milliseconds(interval),
                       [this] { return stopping_ || woken_; });
        woken_ = false;
      }
    });
  }

  // Makes the next step begin at once.
  void Wake() {
    const std::lock_guard lock(mutex_);
    woken_ = true;
    wake_.notify_all();
  }

  // Ends the thread after the step in progress.
  void Stop() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
      wake_.notify_all();
    }
    if (thread_.joinable()) {
      thread_.join();
    }
  }

 private:
  std::mutex mutex_;
  std::condition_variable wake_;
  bool woken_ = false;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace chervilkeel
