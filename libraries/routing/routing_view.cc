#include "routing/routing_view.h"

#include <algorithm>

#include "base/define_json.h"

namespace shallotwick::routing {

SHALLOTWICK_DEFINE_JSON(HostRoute, name, address, pool, data_centre, state,
                        view_version)
SHALLOTWICK_DEFINE_JSON(ServiceRoute, name, pool, slots, connections,
                        deadline_milliseconds, idempotent_methods)

void to_json(nlohmann::json& json, const MemberRoute& route) {
  json = {{"gateway", route.gateway},
          {"link_address", route.link_address},
          {"incarnation", route.incarnation}};
}

void from_json(const nlohmann::json& json, MemberRoute& route) {
  json.at("gateway").get_to(route.gateway);
  json.at("link_address").get_to(route.link_address);
  route.incarnation = json.value("incarnation", "");
}

SHALLOTWICK_DEFINE_JSON(RoutingView, version, document_version, hosts, services,
                        quotas, members)
SHALLOTWICK_DEFINE_JSON(ViewDelta, from_version, to_version, document_version,
                        changed_hosts, removed_hosts, has_plan, services,
                        quotas, has_members, members)

bool ServiceRoute::IsIdempotent(const std::string& method) const {
  return std::find(idempotent_methods.begin(), idempotent_methods.end(),
                   method) != idempotent_methods.end();
}

ViewDelta MakeDelta(const RoutingView& from, const RoutingView& to) {
  ViewDelta delta;
  delta.from_version = from.version;
  delta.to_version = to.version;
  delta.document_version = to.document_version;
  for (const auto& [name, host] : to.hosts) {
    const auto previous = from.hosts.find(name);
    if (previous == from.hosts.end() || previous->second != host) {
      delta.changed_hosts.push_back(host);
    }
  }
  for (const auto& [name, host] : from.hosts) {
    if (to.hosts.count(name) == 0) {
      delta.removed_hosts.push_back(name);
    }
  }
  delta.has_plan = from.services != to.services || from.quotas != to.quotas;
  if (delta.has_plan) {
    delta.services = to.services;
    delta.quotas = to.quotas;
  }
  delta.has_members = from.members != to.members;
  if (delta.has_members) {
    delta.members = to.members;
  }
  return delta;
}

RoutingView ApplyDelta(const RoutingView& from, const ViewDelta& delta) {
  RoutingView view = from;
  view.version = delta.to_version;
  view.document_version = delta.document_version;
  for (const HostRoute& host : delta.changed_hosts) {
    view.hosts[host.name] = host;
  }
  for (const std::string& name : delta.removed_hosts) {
    view.hosts.erase(name);
  }
  if (delta.has_plan) {
    view.services = delta.services;
    view.quotas = delta.quotas;
  }
  if (delta.has_members) {
    view.members = delta.members;
  }
  return view;
}

HostRoute MakeHostRoute(const records::HostRecord& host) {
  return HostRoute{host.name,        host.address, host.pool,
                   host.data_centre, host.state,   host.view_version};
}

}  // namespace shallotwick::routing
