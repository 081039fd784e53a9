#pragma once

#include <map>
#include <string>
#include <vector>

#include "document/section.h"

namespace shallotwick::fleet {

// Sizes of the failures that spare hosts have to cover.
struct FleetShape {
  int hosts_per_rack = 4;
  // Independent host failures expected within the time that a replacement
  // takes.
  int single_failures = 1;

  auto operator<=>(const FleetShape&) const = default;
};

// Returns the number of spare hosts, by data centre, with which every pool
// survives the failure declared in its plan if all pools share one buffer. One
// failure affects one rack, whose hosts may belong to any pools.
std::map<std::string, int> ComputeSharedBuffer(
    const std::vector<document::PoolPlan>& pools, const FleetShape& shape);

// Returns the number of spare hosts, by data centre, if each pool has its own
// buffer. Serves as the baseline for the shared buffer.
std::map<std::string, int> ComputeBufferPerPool(
    const std::vector<document::PoolPlan>& pools, const FleetShape& shape);

}  // namespace shallotwick::fleet
