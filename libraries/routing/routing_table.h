#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "routing/routing_view.h"
#include "routing/target_state.h"

namespace shallotwick::routing {

struct Target {
  std::string host;
  std::string address;
  std::shared_ptr<TargetState> state;
};

// The serving targets of one service.
struct ServiceTargets {
  ServiceRoute route;
  std::vector<Target> targets;
};

// A routing view prepared for lookups, with this gateway's state of each host.
// Immutable except for the states, which are carried over to the next table.
struct RoutingTable {
  RoutingView view;
  std::map<std::string, ServiceTargets> services;
  std::map<std::string, std::shared_ptr<TargetState>> states;
  // In-flight requests of each team that has a quota.
  std::map<std::string, std::shared_ptr<SlotCounter>> teams;
  // The capacities that the gateways share: slots of each host, and quotas
  // under the resource names of their teams.
  std::map<std::string, int> slots;
};

// Returns the resource name under which the gateways share a team's quota; no
// host has such a name.
std::string TeamResource(const std::string& team);

// Builds the table of a gateway and carries over the states of the previous
// one.
std::unique_ptr<const RoutingTable> BuildRoutingTable(
    RoutingView view, const RoutingTable* previous, const std::string& gateway);

// Returns the number of in-flight requests on each host that is not serving.
std::map<std::string, int> CountInFlightOnNonServingHosts(
    const RoutingTable& table);

}  // namespace shallotwick::routing
