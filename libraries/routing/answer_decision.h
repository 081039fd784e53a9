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
struct SendReport {
  RequestOutcome outcome = RequestOutcome::kNotRun;
  // The target's own statement that it did not execute the request: "no-slot"
  // or "leaving".
  std::string refusal;
  bool first_byte_timed_out = false;

  auto operator<=>(const SendReport&) const = default;
};

struct DeliverAnswer {
  auto operator<=>(const DeliverAnswer&) const = default;
};

// The request is to be sent again, to another target.
struct SendAgain {
  Reason reason = Reason::kTargetConnectFailed;
  // Whether the previous target may have executed the request.
  bool may_have_run = false;

  auto operator<=>(const SendAgain&) const = default;
};

struct GiveUp {
  Reason reason = Reason::kTargetConnectFailed;
  bool may_have_run = false;

  auto operator<=>(const GiveUp&) const = default;
};

using AfterSend = std::variant<DeliverAnswer, SendAgain, GiveUp>;

// Decides what follows an attempt to send a request. A request that is not
// idempotent is sent again only if it was certainly not executed.
AfterSend DecideAfterSend(const SendReport& report, bool is_idempotent);

inline constexpr char kRefusalHeader[] = "Shallotwick-Refused";
inline constexpr char kRefusalNoSlot[] = "no-slot";
inline constexpr char kRefusalLeaving[] = "leaving";

}  // namespace shallotwick::routing
