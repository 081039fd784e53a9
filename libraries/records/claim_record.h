#pragma once

#include <compare>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <utility>
#include <vector>

namespace shallotwick::records {

enum class ClaimState {
  // A gateway may have sent the request, or be about to.
  kClaimed,
  // The whole answer is kept in the row.
  kFinished,
  // Sent, and no whole answer came.
  kUnknown,
};

// Who may run one non-idempotent request, and what came of it.
struct ClaimRecord {
  ClaimState state = ClaimState::kClaimed;
  // The gateway's attempt that holds the claim.
  std::string attempt;
  std::string gateway;
  // Digest of method, path and body: a key names one request only.
  std::string request_digest;
  int64_t claimed_at_milliseconds = 0;
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  // Where the body is kept when it is too large for a row.
  std::string body_object;

  auto operator<=>(const ClaimRecord&) const = default;
};

std::string NameOf(ClaimState state);

void to_json(nlohmann::json& json, const ClaimRecord& record);
void from_json(const nlohmann::json& json, ClaimRecord& record);

}  // namespace shallotwick::records
