#include "routing/routing_table.h"

#include <algorithm>
#include <utility>

#include "routing/slot_shares.h"

namespace shallotwick::routing {
namespace {

std::shared_ptr<TargetState> FindOrCreateState(const RoutingTable* previous,
                                               const HostRoute& host) {
  if (previous != nullptr) {
    const auto found = previous->states.find(host.name);
    if (found != previous->states.end()) {
      const auto known = previous->view.hosts.find(host.name);
      const bool has_changed = known != previous->view.hosts.end() &&
                               known->second.view_version != host.view_version;
      if (has_changed) {
        found->second->SetLeaving(false);
      }
      return found->second;
    }
  }
  return std::make_shared<TargetState>(host.name);
}

// Returns the slots of an executor: services that share a pool share its
// executors.
int GetSlots(const RoutingView& view, const std::string& pool) {
  int slots = 0;
  for (const auto& [name, service] : view.services) {
    if (service.pool == pool) {
      slots = slots == 0 ? service.slots : std::min(slots, service.slots);
    }
  }
  return slots;
}

std::vector<std::string> GetMembers(const RoutingView& view,
                                    const std::string& gateway) {
  std::vector<std::string> members;
  for (const auto& [name, member] : view.members) {
    members.push_back(name);
  }
  // This gateway counts as a member even before it is in the view, so that the
  // shares exceed the slots in total for a short time at most.
  if (view.members.count(gateway) == 0) {
    members.push_back(gateway);
  }
  return members;
}

}  // namespace

std::string TeamResource(const std::string& team) { return "team/" + team; }

std::unique_ptr<const RoutingTable> BuildRoutingTable(
    RoutingView view, const RoutingTable* previous,
    const std::string& gateway) {
  auto table = std::make_unique<RoutingTable>();
  const std::vector<std::string> members = GetMembers(view, gateway);
  const bool has_same_members =
      previous != nullptr && GetMembers(previous->view, gateway) == members;
  const auto share_resource = [&](const std::string& resource, int capacity,
                                  SlotCounter* counter) {
    table->slots[resource] = capacity;
    // Slots lent among the same members stay lent.
    const bool is_unchanged = has_same_members &&
                              previous->slots.count(resource) != 0 &&
                              previous->slots.at(resource) == capacity;
    if (!is_unchanged) {
      counter->SetAllowance(ComputeShare(resource, capacity, members, gateway));
    }
  };
  std::map<std::string, int> slots_of_pool;
  std::map<std::string, std::vector<Target>> targets_of_pool;
  for (const auto& [name, host] : view.hosts) {
    auto state = FindOrCreateState(previous, host);
    auto slots = slots_of_pool.find(host.pool);
    if (slots == slots_of_pool.end()) {
      slots = slots_of_pool.emplace(host.pool, GetSlots(view, host.pool)).first;
    }
    share_resource(name, slots->second, state.get());
    table->states[name] = state;
    if (host.state == records::HostState::kServing) {
      targets_of_pool[host.pool].push_back({name, host.address, state});
    }
  }
  for (const auto& [name, service] : view.services) {
    table->services[name] =
        ServiceTargets{service, targets_of_pool[service.pool]};
  }
  for (const auto& [team, quota] : view.quotas) {
    const bool is_known =
        previous != nullptr && previous->teams.count(team) != 0;
    table->teams[team] =
        is_known ? previous->teams.at(team) : std::make_shared<SlotCounter>();
    share_resource(TeamResource(team), quota, table->teams[team].get());
  }
  table->view = std::move(view);
  return table;
}

std::map<std::string, int> CountInFlightOnNonServingHosts(
    const RoutingTable& table) {
  std::map<std::string, int> in_flight;
  for (const auto& [name, host] : table.view.hosts) {
    if (host.state == records::HostState::kServing) {
      continue;
    }
    const auto state = table.states.find(name);
    const int count =
        state == table.states.end() ? 0 : state->second->GetInUse();
    if (count > 0) {
      in_flight[name] = count;
    }
  }
  return in_flight;
}

}  // namespace shallotwick::routing
