#pragma once

#include <compare>
#include <cstdint>

namespace shallotwick::scheduling {

// Resources that a task needs or that a target provides.
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

// Returns the resources that a task reserves on its target. A best-effort task
// reserves no CPU because it uses processor time that other tasks leave unused.
inline Resources GetReservedResources(Resources demand, bool best_effort) {
  if (best_effort) {
    demand.cpu_milli = 0;
  }
  return demand;
}

}  // namespace shallotwick::scheduling
