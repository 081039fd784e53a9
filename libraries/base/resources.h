#pragma once

#include <compare>
#include <cstdint>

namespace shallotwick::base {

// Resources that a task needs, that a target provides, or that a customer may
// use.
struct Resources {
  // In thousandths of a core.
  int64_t cpu_milli = 0;
  int64_t memory_mb = 0;
  int64_t accelerators = 0;

  bool Fits(const Resources& room) const {
    return cpu_milli <= room.cpu_milli && memory_mb <= room.memory_mb &&
           accelerators <= room.accelerators;
  }
  Resources operator+(const Resources& other) const {
    return {cpu_milli + other.cpu_milli, memory_mb + other.memory_mb,
            accelerators + other.accelerators};
  }
  Resources operator-(const Resources& other) const {
    return {cpu_milli - other.cpu_milli, memory_mb - other.memory_mb,
            accelerators - other.accelerators};
  }

  auto operator<=>(const Resources&) const = default;
};

}  // namespace shallotwick::base
