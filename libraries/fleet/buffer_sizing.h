#pragma once

#include <map>
#include <string>
#include <vector>

#include "document/section.h"

namespace shallotwick::fleet {

// Where the hosts of a fleet stand.
struct FleetShape {
  int hosts_per_rack = 4;
  // Hosts that fail singly within the time that a replacement takes.
  int single_failures = 1;

  auto operator<=>(const FleetShape&) const = default;
};

// Spare hosts needed, by data centre, so that every pool survives its failure
// when one buffer is shared: one failure hits one rack, whose hosts may be of
// any pools.
std::map<std::string, int> SizeSharedBuffer(
    const std::vector<document::PoolPlan>& pools, const FleetShape& shape);

// The baseline: each pool holds its own buffer.
std::map<std::string, int> SizeBufferPerPool(
    const std::vector<document::PoolPlan>& pools, const FleetShape& shape);

}  // namespace shallotwick::fleet
