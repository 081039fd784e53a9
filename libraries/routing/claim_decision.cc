#include "routing/claim_decision.h"

namespace shallotwick::routing {

ClaimDecision DecideOnClaim(const std::optional<records::ClaimRecord>& row,
                            const std::string& request_digest,
                            int64_t now_milliseconds,
                            int64_t max_run_milliseconds) {
  if (!row) {
    return ClaimAllowed{};
  }
  if (row->request_digest != request_digest) {
    return Reason::kIdempotencyKeyReused;
  }
  switch (row->state) {
    case records::ClaimState::kFinished:
      return StoredResponse{*row};
    case records::ClaimState::kUnknown:
      return Reason::kClaimOutcomeUnknown;
    case records::ClaimState::kClaimed:
      break;
  }
  // The wall clock only selects between two refusals here; neither executes the
  // request.
  const bool may_still_run =
      now_milliseconds - row->claimed_at_milliseconds < max_run_milliseconds;
  return may_still_run ? Reason::kClaimInProgress
                       : Reason::kClaimOutcomeUnknown;
}

}  // namespace shallotwick::routing
