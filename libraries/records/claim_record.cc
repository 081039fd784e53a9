#include "records/claim_record.h"

#include <nlohmann/json.hpp>

namespace shallotwick::records {

NLOHMANN_JSON_SERIALIZE_ENUM(ClaimState, {{ClaimState::kClaimed, "claimed"},
                                          {ClaimState::kFinished, "finished"},
                                          {ClaimState::kUnknown, "unknown"}})

std::string NameOf(ClaimState state) {
  return nlohmann::json(state).get<std::string>();
}

void to_json(nlohmann::json& json, const ClaimRecord& record) {
  json = {{"state", record.state},
          {"attempt", record.attempt},
          {"gateway", record.gateway},
          {"request_digest", record.request_digest},
          {"claimed_at_milliseconds", record.claimed_at_milliseconds}};
  if (record.state == ClaimState::kFinished) {
    json["status"] = record.status;
    json["headers"] = record.headers;
    json["body_object"] = record.body_object;
    // The body may contain any bytes, but JSON strings must be valid UTF-8.
    json["body"] = nlohmann::json::binary_t(
        std::vector<uint8_t>(record.body.begin(), record.body.end()));
  }
}

void from_json(const nlohmann::json& json, ClaimRecord& record) {
  record = ClaimRecord{};
  json.at("state").get_to(record.state);
  json.at("attempt").get_to(record.attempt);
  json.at("gateway").get_to(record.gateway);
  json.at("request_digest").get_to(record.request_digest);
  json.at("claimed_at_milliseconds").get_to(record.claimed_at_milliseconds);
  if (record.state != ClaimState::kFinished) {
    return;
  }
  json.at("status").get_to(record.status);
  json.at("headers").get_to(record.headers);
  json.at("body_object").get_to(record.body_object);
  const auto bytes = json.at("body").at("bytes").get<std::vector<uint8_t>>();
  record.body.assign(bytes.begin(), bytes.end());
}

}  // namespace shallotwick::records
