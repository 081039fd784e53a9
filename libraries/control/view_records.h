#pragma once

#include <compare>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "control/row_set.h"
#include "document/planning_document.h"
#include "routing/routing_view.h"
#include "storage/table_service.h"

namespace shallotwick::control {

// Service routes and quotas that the controller has derived from the document
// for the gateways.
struct ViewServicesRecord {
  uint64_t document_version = 0;
  std::map<std::string, routing::ServiceRoute> services;
  std::map<std::string, int> quotas;

  auto operator<=>(const ViewServicesRecord&) const = default;
};

// The gateways that the controller counts as members.
struct ViewMembersRecord {
  std::map<std::string, routing::MemberRoute> members;

  auto operator<=>(const ViewMembersRecord&) const = default;
};

void to_json(nlohmann::json& json, const ViewServicesRecord& record);
void from_json(const nlohmann::json& json, ViewServicesRecord& record);
void to_json(nlohmann::json& json, const ViewMembersRecord& record);
void from_json(const nlohmann::json& json, ViewMembersRecord& record);

ViewServicesRecord MakeViewServices(const document::EffectivePlan& plan);

// Returns the read request for a consistent snapshot of the routing view.
storage::ReadRequest MakeViewReadRequest();

// Builds the view from the rows that MakeViewReadRequest() requests. Returns
// std::nullopt if no controller has created a view yet.
std::optional<routing::RoutingView> BuildView(const RowSet& rows);

}  // namespace shallotwick::control
