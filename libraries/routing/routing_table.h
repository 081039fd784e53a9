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
  // Slots of each host, for all gateways together.
  std::map<std::string, int> slots;
  // Requests at once that this gateway may run for each team with a quota.
  std::map<std::string, int> team_shares;
};

// Builds the table of a gateway, taking over the states of the former one.
std::unique_ptr<const RoutingTable> BuildRoutingTable(
    RoutingView view, const RoutingTable* former, const std::string& gateway);

// Requests in flight, by host, on hosts that are not serving.
std::map<std::string, int> CountInFlightOnOthers(const RoutingTable& table);

}  // namespace shallotwick::routing
