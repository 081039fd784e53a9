#pragma once

#include <compare>
#include <cstdint>

namespace shallotwick::scheduling {

// What a task occupies on a target, or what a target offers.
struct Resources {
  // Thousandths of a core.
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

// What a task takes of its target's room. One that runs best-effort lives on
// processor time that others leave.
inline Resources GetReserved(Resources demand, bool best_effort) {
  if (best_effort) {
    demand.cpu_milli = 0;
  }
  return demand;
}

}  // namespace shallotwick::scheduling
