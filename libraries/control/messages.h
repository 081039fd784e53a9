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

// The messages between our processes; docs/LINK.md describes them. All travel
// as CBOR.
namespace shallotwick::control {

// Controller to gateway: the newest view, or what has changed in it.
inline constexpr char kViewPath[] = "/view";
// Gateway to gateway: what do you hold, and whom do you hear?
inline constexpr char kDigestPath[] = "/digest";
// Gateway to gateway: give me your view.
inline constexpr char kFetchViewPath[] = "/fetch-view";

// Gateway to gateway: I can't reach the table service; renew my row for me.
inline constexpr char kRenewPath[] = "/renew";
// Gateway to the owner of some hosts' slots: I want more there.
inline constexpr char kWantSlotsPath[] = "/want-slots";
// Owner to gateway: so many slots of these hosts are yours to use now.
inline constexpr char kAllowSlotsPath[] = "/allow-slots";

// Slots wanted, by host.
struct SlotWants {
  std::string gateway;
  std::map<std::string, int> wanted;

  auto operator<=>(const SlotWants&) const = default;
};

// Slots allowed, by host. A lower sequence of the same owner came late.
struct SlotAllowances {
  std::string owner;
  uint64_t sequence = 0;
  std::map<std::string, int> allowed;

  auto operator<=>(const SlotAllowances&) const = default;
};

// The answer to allowances.
struct SlotReports {
  std::map<std::string, routing::SlotReport> reports;

  auto operator<=>(const SlotReports&) const = default;
};

struct ViewPush {
  std::optional<routing::RoutingView> view;
  std::optional<routing::ViewDelta> delta;

  auto operator<=>(const ViewPush&) const = default;
};

// One member's word on the table service.
struct ReportedMember {
  int64_t age_milliseconds = 0;
  bool store_reachable = false;

  auto operator<=>(const ReportedMember&) const = default;
};

struct Digest {
  std::string gateway;
  uint64_t view_version = 0;
  // How long ago the view was known to be the newest.
  int64_t confirmed_age_milliseconds = 0;
  std::map<std::string, ReportedMember> reports;

  auto operator<=>(const Digest&) const = default;
};

void to_json(nlohmann::json& json, const SlotWants& wants);
void from_json(const nlohmann::json& json, SlotWants& wants);
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
