// Time as the kernel sees it: it is always passed in, never read.
#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace chervilkeel {

// Milliseconds on the monotonic clock of one VM. Every process of that VM
// reads the same clock; instants of different VMs are never compared.
using millis = std::int64_t;

// Reads the monotonic clock, in milliseconds.
inline millis MonotonicNow() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(steady_clock::now().time_since_epoch())
      .count();
}

// Reads the monotonic clock, in microseconds.
inline std::int64_t MonotonicMicros() {
  using namespace std::chrono;
  return duration_cast<microseconds>(steady_clock::now().time_since_epoch())
      .count();
}

// Reads the clock that also counts while the VM is suspended, in milliseconds.
// Leases are measured by it: others go on counting while this VM stands still.
inline millis BootNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return static_cast<millis>(now.tv_sec) * 1'000 + now.tv_nsec / 1'000'000;
}

// Reads the wall clock, in milliseconds since 1970. For records and reports
// only; no decision about a lease or a tenure uses it.
inline std::uint64_t WallNow() {
  using namespace std::chrono;
  return static_cast<std::uint64_t>(
      duration_cast<milliseconds>(system_clock::now().time_since_epoch())
          .count());
}

}  // namespace chervilkeel
