#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "fleet/drain_tracker.h"
#include "link/message.h"
#include "records/control_records.h"
#include "routing/routing_view.h"
#include "routing/slot_owner.h"

// The messages between shallotwick processes, encoded as CBOR. docs/LINK.md
// describes them.
namespace shallotwick::control {

// Controller to gateway: sends the newest view, or the changes in it.
inline constexpr char kViewPath[] = "/view";
// Gateway to gateway: exchanges digests of the routing view that the gateway
// holds and of the members that it has heard from.
inline constexpr char kDigestPath[] = "/digest";
// Gateway to gateway: requests the peer's routing view.
inline constexpr char kFetchViewPath[] = "/fetch-view";

// Gateway to gateway: asks the peer to renew the sender's membership row,
// because the sender can't reach the table service.
inline constexpr char kRenewPath[] = "/renew";
// Gateway to the owner of some hosts' slots: requests more slots on these
// hosts.
inline constexpr char kRequestSlotsPath[] = "/want-slots";
// Owner to gateway: sets the number of slots of these hosts that the gateway
// may use.
inline constexpr char kAllowSlotsPath[] = "/allow-slots";

// Number of slots that a gateway requests, by host.
struct SlotDemands {
  std::string gateway;
  std::map<std::string, int> wanted;

  auto operator<=>(const SlotDemands&) const = default;
};

// Number of slots that the owner allows, by host. A message whose sequence is
// lower than that of an earlier one from the same owner is out of date.
struct SlotAllowances {
  std::string owner;
  // Of the owner, which counts its messages anew in each incarnation. Empty in
  // messages of builds that do not declare it.
  std::string incarnation;
  uint64_t sequence = 0;
  std::map<std::string, int> allowed;

  auto operator<=>(const SlotAllowances&) const = default;
};

// The response to SlotAllowances, by host.
struct SlotReports {
  std::map<std::string, routing::SlotReport> reports;

  auto operator<=>(const SlotReports&) const = default;
};

struct ViewPush {
  std::optional<routing::RoutingView> view;
  std::optional<routing::ViewDelta> delta;

  auto operator<=>(const ViewPush&) const = default;
};

// The last report of one member: its age, and whether the member could reach
// the table service.
struct ReportedMember {
  int64_t age_milliseconds = 0;
  bool store_reachable = false;

  auto operator<=>(const ReportedMember&) const = default;
};

struct Digest {
  std::string gateway;
  uint64_t view_version = 0;
  // Time since the view was last confirmed to be the newest.
  int64_t confirmed_age_milliseconds = 0;
  std::map<std::string, ReportedMember> reports;

  auto operator<=>(const Digest&) const = default;
};

void to_json(nlohmann::json& json, const SlotDemands& wants);
void from_json(const nlohmann::json& json, SlotDemands& wants);
void to_json(nlohmann::json& json, const SlotAllowances& allowances);
void from_json(const nlohmann::json& json, SlotAllowances& allowances);
void to_json(nlohmann::json& json, const SlotReports& reports);
void from_json(const nlohmann::json& json, SlotReports& reports);
void to_json(nlohmann::json& json, const ViewPush& push);
void from_json(const nlohmann::json& json, ViewPush& push);
void to_json(nlohmann::json& json, const ReportedMember& member);
void from_json(const nlohmann::json& json, ReportedMember& member);
void to_json(nlohmann::json& json, const Digest& digest);
void from_json(const nlohmann::json& json, Digest& digest);

}  // namespace shallotwick::control

namespace shallotwick::routing {

void to_json(nlohmann::json& json, const SlotReport& report);
void from_json(const nlohmann::json& json, SlotReport& report);

}  // namespace shallotwick::routing

namespace shallotwick::fleet {

void to_json(nlohmann::json& json, const GatewayAcknowledgement& value);
void from_json(const nlohmann::json& json, GatewayAcknowledgement& value);

}  // namespace shallotwick::fleet
