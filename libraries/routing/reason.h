#pragma once

#include <array>
#include <string_view>

namespace shallotwick::routing {

// Why a request was refused or retried. Each reason has a counter and a line in
// docs/REFUSALS.md.
enum class Reason {
  kNotReady,
  kUnknownService,
  kBadRequest,
  kIdempotencyKeyMissing,
  kIdempotencyKeyReused,
  kClaimInProgress,
  kClaimOutcomeUnknown,
  kClaimStoreUnavailable,
  kNoTarget,
  kQueueFull,
  kTeamQueueFull,
  kDeadlineUnreachable,
  kDeadlineExceeded,
  kStopping,
  kTargetConnectFailed,
  kTargetRefusedNoSlot,
  kTargetRefusedLeaving,
  kTargetAnswerLost,
  kTargetUnresponsive,
  kRetryBudgetSpent,
};

inline constexpr std::array kAllReasons = {
    Reason::kNotReady,
    Reason::kUnknownService,
    Reason::kBadRequest,
    Reason::kIdempotencyKeyMissing,
    Reason::kIdempotencyKeyReused,
    Reason::kClaimInProgress,
    Reason::kClaimOutcomeUnknown,
    Reason::kClaimStoreUnavailable,
    Reason::kNoTarget,
    Reason::kQueueFull,
    Reason::kTeamQueueFull,
    Reason::kDeadlineUnreachable,
    Reason::kDeadlineExceeded,
    Reason::kStopping,
    Reason::kTargetConnectFailed,
    Reason::kTargetRefusedNoSlot,
    Reason::kTargetRefusedLeaving,
    Reason::kTargetAnswerLost,
    Reason::kTargetUnresponsive,
    Reason::kRetryBudgetSpent,
};

// Returns the stable name of a reason, as in "queue-full".
std::string_view NameOf(Reason reason);

// Returns the HTTP status of a refusal for this reason.
int StatusOf(Reason reason);

}  // namespace shallotwick::routing
