#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "records/host_record.h"

namespace shallotwick::routing {

// A host to which requests for a pool may be sent.
struct HostRoute {
  std::string name;
  std::string address;
  std::string pool;
  std::string data_centre;
  records::HostState state = records::HostState::kServing;
  // The version of the view that introduced the host's present state.
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
  // Empty in views of builds that do not declare it.
  std::string incarnation{};

  auto operator<=>(const MemberRoute&) const = default;
};

// The information that a gateway needs to send requests. The version only
// increases.
struct RoutingView {
  uint64_t version = 0;
  uint64_t document_version = 0;
  std::map<std::string, HostRoute> hosts;
  std::map<std::string, ServiceRoute> services;
  // Maximum number of concurrent requests, by team.
  std::map<std::string, int> quotas;
  std::map<std::string, MemberRoute> members;

  auto operator<=>(const RoutingView&) const = default;
};

// The changes from a view of one version to a later one.
struct ViewDelta {
  uint64_t from_version = 0;
  uint64_t to_version = 0;
  uint64_t document_version = 0;
  std::vector<HostRoute> changed_hosts;
  std::vector<std::string> removed_hosts;
  // Services and quotas are sent in full if any of them has changed; the same
  // applies to members.
  bool has_plan = false;
  std::map<std::string, ServiceRoute> services;
  std::map<std::string, int> quotas;
  bool has_members = false;
  std::map<std::string, MemberRoute> members;

  auto operator<=>(const ViewDelta&) const = default;
};

ViewDelta MakeDelta(const RoutingView& from, const RoutingView& to);

// Applies a delta that was made from exactly this view's version.
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
