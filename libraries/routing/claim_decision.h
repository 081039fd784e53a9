#pragma once

#include <optional>
#include <string>
#include <variant>

#include "records/claim_record.h"
#include "routing/reason.h"

namespace shallotwick::routing {

// The request may be claimed: no row exists for its key.
struct ClaimAllowed {
  auto operator<=>(const ClaimAllowed&) const = default;
};

// The request has been executed; its response is stored in the claim row.
struct StoredResponse {
  records::ClaimRecord record;

  auto operator<=>(const StoredResponse&) const = default;
};

using ClaimDecision = std::variant<ClaimAllowed, StoredResponse, Reason>;

// Decides from its claim row how to handle a request with an idempotency key. A
// claim that has not been finished within `max_run_milliseconds` is not
// expected to be finished any more.
ClaimDecision DecideOnClaim(const std::optional<records::ClaimRecord>& row,
                            const std::string& request_digest,
                            int64_t now_milliseconds,
                            int64_t max_run_milliseconds);

}  // namespace shallotwick::routing
