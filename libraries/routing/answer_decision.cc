#include "routing/answer_decision.h"

namespace shallotwick::routing {

std::string NameOf(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kComplete:
      return "complete";
    case RequestOutcome::kNotRun:
      return "not-run";
    case RequestOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

SendDecision DecideAfterSend(const SendResult& report, bool is_idempotent) {
  switch (report.outcome) {
    case RequestOutcome::kComplete:
      if (report.refusal == kRefusalNoSlot) {
        return RetrySend{Reason::kTargetRefusedNoSlot, false};
      }
      if (report.refusal == kRefusalLeaving) {
        return RetrySend{Reason::kTargetRefusedLeaving, false};
      }
      return DeliverResponse{};
    case RequestOutcome::kNotRun:
      return RetrySend{Reason::kTargetConnectFailed, false};
    case RequestOutcome::kUnknown:
      break;
  }
  const Reason reason = report.first_byte_timed_out
                            ? Reason::kTargetUnresponsive
                            : Reason::kTargetAnswerLost;
  if (is_idempotent) {
    return RetrySend{reason, true};
  }
  return GiveUp{reason, true};
}

}  // namespace shallotwick::routing
