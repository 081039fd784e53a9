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

AfterSend DecideAfterSend(const SendReport& report, bool is_idempotent) {
  switch (report.outcome) {
    case RequestOutcome::kComplete:
      if (report.refusal == kRefusalNoSlot) {
        return SendAgain{Reason::kTargetRefusedNoSlot, false};
      }
      if (report.refusal == kRefusalLeaving) {
        return SendAgain{Reason::kTargetRefusedLeaving, false};
      }
      return DeliverAnswer{};
    case RequestOutcome::kNotRun:
      return SendAgain{Reason::kTargetConnectFailed, false};
    case RequestOutcome::kUnknown:
      break;
  }
  const Reason reason = report.first_byte_timed_out ? Reason::kTargetSilent
                                                    : Reason::kTargetAnswerLost;
  if (is_idempotent) {
    return SendAgain{reason, true};
  }
  return GiveUp{reason, true};
}

}  // namespace shallotwick::routing
