#pragma once

#include <compare>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <utility>
#include <vector>

namespace shallotwick::records {

enum class ClaimState {
  // A gateway has sent the request or is about to send it.
  kClaimed,
  // The complete response is stored.
  kFinished,
  // The request was sent, but no complete response was received.
  kUnknown,
};

// Records which attempt may execute a non-idempotent request, and its result.
struct ClaimRecord {
  ClaimState state = ClaimState::kClaimed;
  // The gateway's attempt that holds the claim.
  std::string attempt;
  std::string gateway;
  // Digest of method, path and body, because one idempotency key identifies
  // only one request.
  std::string request_digest;
  int64_t claimed_at_milliseconds = 0;
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  // The object that stores the body if it is too large for a row.
  std::string body_object;

  auto operator<=>(const ClaimRecord&) const = default;
};

std::string NameOf(ClaimState state);

void to_json(nlohmann::json& json, const ClaimRecord& record);
void from_json(const nlohmann::json& json, ClaimRecord& record);

}  // namespace shallotwick::records
