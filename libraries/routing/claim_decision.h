#pragma once

#include <optional>
#include <string>
#include <variant>

#include "records/claim_record.h"
#include "routing/reason.h"

namespace shallotwick::routing {

// The request may be claimed: no row stands for its key.
struct MayClaim {
  auto operator<=>(const MayClaim&) const = default;
};

// The request has run; its answer is kept.
struct KeptAnswer {
  records::ClaimRecord record;

  auto operator<=>(const KeptAnswer&) const = default;
};

using ClaimDecision = std::variant<MayClaim, KeptAnswer, Reason>;

// Decides on a request with an idempotency key from the row of its claim.
// `longest_run` is the time after which a claim that was not finished is not
// going to be.
ClaimDecision DecideOnClaim(const std::optional<records::ClaimRecord>& row,
                            const std::string& request_digest,
                            int64_t now_milliseconds,
                            int64_t longest_run_milliseconds);

}  // namespace shallotwick::routing
