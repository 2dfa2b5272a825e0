// Arithmetic on the resources of workers and tasks: processors, memory and
// accelerators.
#pragma once

#include <cstdint>
#include <string>

#include "wire/chervilkeel.pb.h"

namespace chervilkeel {

// A quantity of each resource. Negative values occur as differences.
struct amount {
  std::int64_t milli_processors = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  amount& operator+=(const amount& other) {
    milli_processors += other.milli_processors;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
  }
  amount& operator-=(const amount& other) {
    milli_processors -= other.milli_processors;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    return *this;
  }
  friend amount operator+(amount left, const amount& right) {
    return left += right;
  }
  friend amount operator-(amount left, const amount& right) {
    return left -= right;
  }
  bool operator==(const amount&) const = default;
};

// Returns whether `need` doesn't exceed `available` in any resource.
inline bool Fits(const amount& need, const amount& available) {
  return need.milli_processors <= available.milli_processors &&
         need.memory_mb <= available.memory_mb &&
         need.accelerators <= available.accelerators;
}

inline amount FromWire(const wire::resources& wire) {
  return amount{wire.milli_processors(), wire.memory_mb(), wire.accelerators()};
}

// Converts an amount to its message. Negative quantities become zero.
inline wire::resources ToWire(const amount& value) {
  const auto at_least_zero = [](std::int64_t part) {
    return static_cast<std::uint32_t>(part < 0 ? 0 : part);
  };
  wire::resources wire;
  wire.set_milli_processors(at_least_zero(value.milli_processors));
  wire.set_memory_mb(at_least_zero(value.memory_mb));
  wire.set_accelerators(at_least_zero(value.accelerators));
  return wire;
}

// Describes the first resource in which `need` exceeds `available`, with both
// quantities. Returns an empty string if the need fits.
std::string DescribeShortfall(const amount& need, const amount& available);

}  // namespace chervilkeel
