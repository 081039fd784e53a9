#include "control/messages.h"

#include "base/define_json.h"

namespace shallotwick::fleet {

SHALLOTWICK_DEFINE_JSON(GatewayAcknowledgement, gateway, incarnation,
                        view_version, in_flight)

}  // namespace shallotwick::fleet

namespace shallotwick::routing {

// Encoded as an array without member names to save bytes, since all gateways
// exchange reports ten times per second while slots are lent.
void to_json(nlohmann::json& json, const SlotReport& report) {
  json = {report.in_use, report.allowance, report.wanted};
}

void from_json(const nlohmann::json& json, SlotReport& report) {
  json.at(0).get_to(report.in_use);
  json.at(1).get_to(report.allowance);
  json.at(2).get_to(report.wanted);
}

}  // namespace shallotwick::routing

namespace shallotwick::control {

SHALLOTWICK_DEFINE_JSON(SlotDemands, gateway, wanted)

void to_json(nlohmann::json& json, const SlotAllowances& allowances) {
  json = {{"owner", allowances.owner},
          {"incarnation", allowances.incarnation},
          {"sequence", allowances.sequence},
          {"allowed", allowances.allowed}};
}

void from_json(const nlohmann::json& json, SlotAllowances& allowances) {
  json.at("owner").get_to(allowances.owner);
  allowances.incarnation = json.value("incarnation", "");
  json.at("sequence").get_to(allowances.sequence);
  json.at("allowed").get_to(allowances.allowed);
}

SHALLOTWICK_DEFINE_JSON(SlotReports, reports)

SHALLOTWICK_DEFINE_JSON(ReportedMember, age_milliseconds, store_reachable)
SHALLOTWICK_DEFINE_JSON(Digest, gateway, view_version,
                        confirmed_age_milliseconds, reports)

void to_json(nlohmann::json& json, const ViewPush& push) {
  json = nlohmann::json::object();
  if (push.view) {
    json["view"] = *push.view;
  }
  if (push.delta) {
    json["delta"] = *push.delta;
  }
}

void from_json(const nlohmann::json& json, ViewPush& push) {
  push = ViewPush{};
  if (json.contains("view")) {
    push.view = json.at("view").get<routing::RoutingView>();
  }
  if (json.contains("delta")) {
    push.delta = json.at("delta").get<routing::ViewDelta>();
  }
}

}  // namespace shallotwick::control
