#pragma once

#include <compare>
#include <string>
#include <variant>

#include "routing/reason.h"

namespace shallotwick::routing {

// The outcome of a request as reported to its caller.
enum class RequestOutcome {
  // The response is the target's own and is complete.
  kComplete,
  // No target executed any part of the request.
  kNotRun,
  // The request may have been executed.
  kUnknown,
};

std::string NameOf(RequestOutcome outcome);

// The result of one attempt to send a request to a target.
struct SendResult {
  RequestOutcome outcome = RequestOutcome::kNotRun;
  // The target's own statement that it did not execute the request: "no-slot"
  // or "leaving".
  std::string refusal;
  bool first_byte_timed_out = false;

  auto operator<=>(const SendResult&) const = default;
};

struct DeliverResponse {
  auto operator<=>(const DeliverResponse&) const = default;
};

// The request is to be sent again, to another target.
struct RetrySend {
  Reason reason = Reason::kTargetConnectFailed;
  // Whether the previous target may have executed the request.
  bool may_have_run = false;

  auto operator<=>(const RetrySend&) const = default;
};

struct GiveUp {
  Reason reason = Reason::kTargetConnectFailed;
  bool may_have_run = false;

  auto operator<=>(const GiveUp&) const = default;
};

using SendDecision = std::variant<DeliverResponse, RetrySend, GiveUp>;

// Decides what follows an attempt to send a request. A request that is not
// idempotent is sent again only if it was certainly not executed.
SendDecision DecideAfterSend(const SendResult& report, bool is_idempotent);

inline constexpr char kRefusalHeader[] = "Shallotwick-Refused";
inline constexpr char kRefusalNoSlot[] = "no-slot";
inline constexpr char kRefusalLeaving[] = "leaving";

}  // namespace shallotwick::routing
