#pragma once

#include <compare>
#include <map>
#include <string>

#include "hosts/capacity_demand.h"

namespace shallotwick::hosts {

// A pool as its hosts are allocated: the published demand of its owner, and the
// hosts as the reader sees them.
struct PoolCapacity {
  CapacityDemand demand;
  // Hosts of the pool that are available to it or on their way to it.
  int supplied = 0;

  auto operator<=>(const PoolCapacity&) const = default;
};

// Numbers of hosts by the pool that receives them.
using HostCounts = std::map<std::string, int>;

// How the hosts of a fleet are to be redistributed among its pools.
struct CapacityPlan {
  // Hosts that each pool should have for work that can still meet its deadline.
  HostCounts shares;
  // Standby hosts to activate.
  HostCounts activations;
  // Hosts to transfer, by the pool that gives them up.
  std::map<std::string, HostCounts> transfers;

  // Returns how many hosts the pool is to get in total, standby hosts included.
  int CountTransfersTo(const std::string& pool) const;
  // Returns how many hosts the pool is to give up in total.
  int CountTransfersFrom(const std::string& pool) const;

  auto operator<=>(const CapacityPlan&) const = default;
};

// Plans the redistribution of hosts from one reading of all pools. Every owner
// computes the plan and carries out the part of its own pools, so that no two
// of them provide for the same shortage.
//
// Answers a load that passes from queue to queue: the pool whose load rises is
// short of hosts while another one still works off its backlog. Work that can
// meet its deadline comes first, from standby hosts, then from idle hosts, then
// from hosts that run short tasks. Overdue work gets only idle hosts that
// nothing else needs.
CapacityPlan PlanCapacity(const std::map<std::string, PoolCapacity>& pools,
                          int standby_hosts);

}  // namespace shallotwick::hosts
