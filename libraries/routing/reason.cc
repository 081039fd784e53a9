#include "routing/reason.h"

namespace shallotwick::routing {
namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooManyRequests = 429;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

struct ReasonEntry {
  Reason reason;
  std::string_view name;
  int status;
};

constexpr ReasonEntry kEntries[] = {
    {Reason::kNotReady, "not-ready", kUnavailable},
    {Reason::kUnknownService, "unknown-service", kNotFound},
    {Reason::kBadRequest, "bad-request", kBadRequest},
    {Reason::kIdempotencyKeyMissing, "idempotency-key-missing", kBadRequest},
    {Reason::kIdempotencyKeyReused, "idempotency-key-reused", kConflict},
    {Reason::kClaimInProgress, "claim-in-progress", kConflict},
    {Reason::kClaimOutcomeUnknown, "claim-outcome-unknown", kConflict},
    {Reason::kClaimStoreUnavailable, "claim-store-unavailable", kUnavailable},
    {Reason::kNoTarget, "no-target", kUnavailable},
    {Reason::kQueueFull, "queue-full", kUnavailable},
    {Reason::kTeamQueueFull, "team-queue-full", kTooManyRequests},
    {Reason::kDeadlineUnreachable, "deadline-unreachable", kUnavailable},
    {Reason::kDeadlineExceeded, "deadline-exceeded", kGatewayTimeout},
    {Reason::kStopping, "stopping", kUnavailable},
    {Reason::kTargetConnectFailed, "target-connect-failed", kBadGateway},
    {Reason::kTargetRefusedNoSlot, "target-refused-no-slot", kUnavailable},
    {Reason::kTargetRefusedLeaving, "target-refused-leaving", kUnavailable},
    {Reason::kTargetAnswerLost, "target-answer-lost", kBadGateway},
    {Reason::kTargetUnresponsive, "target-silent", kGatewayTimeout},
    {Reason::kRetryBudgetSpent, "retry-budget-spent", kBadGateway},
};

const ReasonEntry& FindEntry(Reason reason) {
  for (const ReasonEntry& entry : kEntries) {
    if (entry.reason == reason) {
      return entry;
    }
  }
  return kEntries[0];
}

}  // namespace

std::string_view NameOf(Reason reason) { return FindEntry(reason).name; }

int StatusOf(Reason reason) { return FindEntry(reason).status; }

}  // namespace shallotwick::routing
