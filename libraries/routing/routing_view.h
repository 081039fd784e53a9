#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "records/host_record.h"

namespace shallotwick::routing {

// Where requests for a pool may go.
struct HostRoute {
  std::string name;
  std::string address;
  std::string pool;
  std::string data_centre;
  records::HostState state = records::HostState::kServing;
  // The version of the view that brought the host's present state.
  uint64_t view_version = 0;

  auto operator<=>(const HostRoute&) const = default;
};

struct ServiceRoute {
  std::string name;
  std::string pool;
  // Limits of each executor, for all gateways together.
  int slots = 0;
  int connections = 0;
  int64_t deadline_milliseconds = 0;
  std::vector<std::string> idempotent_methods;

  bool IsIdempotent(const std::string& method) const;
  auto operator<=>(const ServiceRoute&) const = default;
};

struct MemberRoute {
  std::string gateway;
  std::string link_address;

  auto operator<=>(const MemberRoute&) const = default;
};

// What a gateway needs to know to send requests. The version only grows.
struct RoutingView {
  uint64_t version = 0;
  uint64_t document_version = 0;
  std::map<std::string, HostRoute> hosts;
  std::map<std::string, ServiceRoute> services;
  // Requests at once, by team.
  std::map<std::string, int> quotas;
  std::map<std::string, MemberRoute> members;

  auto operator<=>(const RoutingView&) const = default;
};

// What turns a view of one version into a later one.
struct ViewDelta {
  uint64_t from_version = 0;
  uint64_t to_version = 0;
  uint64_t document_version = 0;
  std::vector<HostRoute> changed_hosts;
  std::vector<std::string> removed_hosts;
  // Sent whole where anything in them has changed.
  bool has_plan = false;
  std::map<std::string, ServiceRoute> services;
  std::map<std::string, int> quotas;
  bool has_members = false;
  std::map<std::string, MemberRoute> members;

  auto operator<=>(const ViewDelta&) const = default;
};

ViewDelta MakeDelta(const RoutingView& from, const RoutingView& to);

// Applies a delta made from exactly this view's version.
RoutingView ApplyDelta(const RoutingView& from, const ViewDelta& delta);

HostRoute MakeHostRoute(const records::HostRecord& host);

void to_json(nlohmann::json& json, const HostRoute& route);
void from_json(const nlohmann::json& json, HostRoute& route);
void to_json(nlohmann::json& json, const ServiceRoute& route);
void from_json(const nlohmann::json& json, ServiceRoute& route);
void to_json(nlohmann::json& json, const MemberRoute& route);
void from_json(const nlohmann::json& json, MemberRoute& route);
void to_json(nlohmann::json& json, const RoutingView& view);
void from_json(const nlohmann::json& json, RoutingView& view);
void to_json(nlohmann::json& json, const ViewDelta& delta);
void from_json(const nlohmann::json& json, ViewDelta& delta);

}  // namespace shallotwick::routing
