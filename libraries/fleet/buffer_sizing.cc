#include "fleet/buffer_sizing.h"

#include <algorithm>

namespace shallotwick::fleet {
namespace {

// Returns how many hosts of the pool the failure that it must survive can make
// unavailable in one data centre.
int CountHostsAtRisk(const document::PoolPlan& pool, int promised,
                     const FleetShape& shape) {
  switch (pool.survive) {
    case document::SurvivedFailure::kNone:
      return 0;
    case document::SurvivedFailure::kHost:
      return std::min(promised, shape.single_failures);
    case document::SurvivedFailure::kRack:
      return std::min(promised, shape.hosts_per_rack);
  }
  return 0;
}

}  // namespace

std::map<std::string, int> ComputeSharedBuffer(
    const std::vector<document::PoolPlan>& pools, const FleetShape& shape) {
  std::map<std::string, int> buffer;
  for (const document::PoolPlan& pool : pools) {
    for (const auto& [data_centre, promised] : pool.promise) {
      // hosts_per_rack limits the hosts of a rack over all pools, so one buffer
      // of the largest loss covers the failure of any rack.
      buffer[data_centre] = std::max(buffer[data_centre],
                                     CountHostsAtRisk(pool, promised, shape));
    }
  }
  return buffer;
}

std::map<std::string, int> ComputeBufferPerPool(
    const std::vector<document::PoolPlan>& pools, const FleetShape& shape) {
  std::map<std::string, int> buffer;
  for (const document::PoolPlan& pool : pools) {
    for (const auto& [data_centre, promised] : pool.promise) {
      buffer[data_centre] += CountHostsAtRisk(pool, promised, shape);
    }
  }
  return buffer;
}

}  // namespace shallotwick::fleet
