#include "hosts/capacity_plan.h"

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <utility>
#include <vector>

namespace shallotwick::hosts {
namespace {

// A pool keeps this many hosts, so that its next job can start at once.
constexpr int kMinHosts = 1;

// Pools with their counts, the largest count first. Every owner must get the
// same order, so ties are ordered by name.
std::vector<std::pair<int, std::string>> OrderByCount(
    const HostCounts& counts) {
  std::vector<std::pair<int, std::string>> ordered;
  for (const auto& [pool, count] : counts) {
    if (count > 0) {
      ordered.emplace_back(-count, pool);
    }
  }
  std::sort(ordered.begin(), ordered.end());
  for (auto& [count, pool] : ordered) {
    count = -count;
  }
  return ordered;
}

// Covers `shortages` from `available` hosts, and returns the hosts that each
// pool gets. Reduces both.
HostCounts Cover(HostCounts& shortages, int& available) {
  HostCounts covered;
  for (const auto& [shortage, pool] : OrderByCount(shortages)) {
    const int count = std::min(shortage, available);
    if (count > 0) {
      covered[pool] = count;
      shortages[pool] -= count;
      available -= count;
    }
  }
  return covered;
}

// Covers `shortages` with the `surplus` of other pools.
void CoverFromPools(HostCounts& shortages, const HostCounts& surplus,
                    CapacityPlan& plan) {
  for (const auto& [available, donor] : OrderByCount(surplus)) {
    int left = available;
    for (const auto& [pool, count] : Cover(shortages, left)) {
      plan.transfers[donor][pool] += count;
    }
  }
}

// Divides `hosts` among the pools in proportion to their demand for work that
// can meet its deadline, if they demand more than that together.
HostCounts AllocateShares(const std::map<std::string, PoolCapacity>& pools,
                          int hosts) {
  HostCounts demands;
  int64_t total = 0;
  for (const auto& [name, pool] : pools) {
    // More hosts than the fleet has could not be used.
    demands[name] = std::clamp(pool.demand.timely, 0, std::max(0, hosts));
    total += demands[name];
  }
  if (total > 0 && total > hosts) {
    for (auto& [name, share] : demands) {
      share = static_cast<int>(int64_t{share} * hosts / total);
    }
  }
  return demands;
}

// Plans hosts for work that can meet its deadline. Returns whether no pool
// remains short of them. Reduces `standby_hosts`.
bool CoverTimelyWork(const std::map<std::string, PoolCapacity>& pools,
                     int& standby_hosts, CapacityPlan& plan) {
  HostCounts shortages;
  HostCounts idle;
  HostCounts busy;
  for (const auto& [name, pool] : pools) {
    const int share = plan.shares.at(name);
    const int surplus = std::max(0, pool.supplied - std::max(kMinHosts, share));
    shortages[name] = std::max(0, share - pool.supplied);
    idle[name] = std::clamp(pool.demand.idle, 0, surplus);
    busy[name] = std::clamp(pool.demand.movable - pool.demand.idle, 0,
                            surplus - idle[name]);
  }
  plan.activations = Cover(shortages, standby_hosts);
  CoverFromPools(shortages, idle, plan);
  CoverFromPools(shortages, busy, plan);
  return std::all_of(shortages.begin(), shortages.end(),
                     [](const auto& shortage) { return shortage.second == 0; });
}

// Plans the hosts that are left for overdue work.
void CoverBacklogs(const std::map<std::string, PoolCapacity>& pools, int fleet,
                   int standby_hosts, CapacityPlan& plan) {
  HostCounts backlogs;
  HostCounts unused;
  for (const auto& [name, pool] : pools) {
    const int supplied = pool.supplied + plan.CountTransfersTo(name) -
                         plan.CountTransfersFrom(name);
    const int wanted = std::clamp(pool.demand.wanted, 0, fleet);
    backlogs[name] = std::max(0, wanted - supplied);
    unused[name] =
        std::clamp(pool.demand.idle - plan.CountTransfersFrom(name), 0,
                   std::max(0, supplied - std::max(kMinHosts, wanted)));
  }
  for (const auto& [name, count] : Cover(backlogs, standby_hosts)) {
    plan.activations[name] += count;
  }
  CoverFromPools(backlogs, unused, plan);
}

}  // namespace

int CapacityPlan::CountTransfersTo(const std::string& pool) const {
  const auto activated = activations.find(pool);
  int count = activated == activations.end() ? 0 : activated->second;
  for (const auto& [donor, recipients] : transfers) {
    const auto received = recipients.find(pool);
    count += received == recipients.end() ? 0 : received->second;
  }
  return count;
}

int CapacityPlan::CountTransfersFrom(const std::string& pool) const {
  const auto found = transfers.find(pool);
  if (found == transfers.end()) {
    return 0;
  }
  return std::accumulate(
      found->second.begin(), found->second.end(), 0,
      [](int sum, const auto& entry) { return sum + entry.second; });
}

CapacityPlan PlanCapacity(const std::map<std::string, PoolCapacity>& pools,
                          int standby_hosts) {
  int fleet = standby_hosts;
  for (const auto& [name, pool] : pools) {
    fleet += pool.supplied;
  }
  CapacityPlan plan;
  plan.shares = AllocateShares(pools, fleet);
  if (CoverTimelyWork(pools, standby_hosts, plan)) {
    CoverBacklogs(pools, fleet, standby_hosts, plan);
  }
  return plan;
}

}  // namespace shallotwick::hosts
