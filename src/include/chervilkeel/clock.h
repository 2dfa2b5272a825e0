// Clock functions. Decision code takes the current time as a parameter and does
// not call them.
#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace chervilkeel {

// Milliseconds on the monotonic clock of one VM. All processes of a VM share
// this clock; times of different VMs must not be compared.
using millis = std::int64_t;

// Returns the time of the monotonic clock in milliseconds.
inline millis MonotonicNow() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(steady_clock::now().time_since_epoch())
      .count();
}

// Returns the time of the monotonic clock in microseconds.
inline std::int64_t MonotonicMicros() {
  using namespace std::chrono;
  return duration_cast<microseconds>(steady_clock::now().time_since_epoch())
      .count();
}

// Returns the time since boot in milliseconds, including time during which the
// VM was suspended. Leases use this clock, because their other parties keep
// counting while this VM is suspended.
inline millis BootNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return static_cast<millis>(now.tv_sec) * 1'000 + now.tv_nsec / 1'000'000;
}

// Returns the wall-clock time in milliseconds since the Unix epoch. For records
// and reports only; decisions about leases and leadership must not use it.
inline std::uint64_t WallNow() {
  using namespace std::chrono;
  return static_cast<std::uint64_t>(
      duration_cast<milliseconds>(system_clock::now().time_since_epoch())
          .count());
}

}  // namespace chervilkeel
