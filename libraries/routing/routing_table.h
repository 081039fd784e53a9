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

// A routing view made ready for lookups, with this gateway's state of each
// host. Immutable but for the states, which go on from table to table.
struct RoutingTable {
  RoutingView view;
  std::map<std::string, ServiceTargets> services;
  std::map<std::string, std::shared_ptr<TargetState>> states;
  // Requests in flight of each team that has a quota.
  std::map<std::string, std::shared_ptr<SlotCounter>> teams;
  // What gateways share: slots of each host, and quotas under their teams'
  // resource names.
  std::map<std::string, int> slots;
};

// The name under which a team's quota is shared; no host has such a name.
std::string TeamResource(const std::string& team);

// Builds the table of a gateway, taking over the states of the former one.
std::unique_ptr<const RoutingTable> BuildRoutingTable(
    RoutingView view, const RoutingTable* former, const std::string& gateway);

// Requests in flight, by host, on hosts that are not serving.
std::map<std::string, int> CountInFlightOnOthers(const RoutingTable& table);

}  // namespace shallotwick::routing
