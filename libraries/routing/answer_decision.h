#pragma once

#include <compare>
#include <string>
#include <variant>

#include "routing/reason.h"

namespace shallotwick::routing {

// What a caller is told of its request.
enum class RequestOutcome {
  // The answer is the target's own, whole.
  kComplete,
  // No target ran any part of it.
  kNotRun,
  // It may have run.
  kUnknown,
};

std::string NameOf(RequestOutcome outcome);

// How one send to a target ended.
struct SendReport {
  RequestOutcome outcome = RequestOutcome::kNotRun;
  // The target's own word that it did not run the request: "no-slot" or
  // "leaving".
  std::string refusal;
  bool first_byte_timed_out = false;

  auto operator<=>(const SendReport&) const = default;
};

struct DeliverAnswer {
  auto operator<=>(const DeliverAnswer&) const = default;
};

// Send again, to another target.
struct SendAgain {
  Reason reason = Reason::kTargetConnectFailed;
  // The send before may have run.
  bool may_have_run = false;

  auto operator<=>(const SendAgain&) const = default;
};

struct GiveUp {
  Reason reason = Reason::kTargetConnectFailed;
  bool may_have_run = false;

  auto operator<=>(const GiveUp&) const = default;
};

using AfterSend = std::variant<DeliverAnswer, SendAgain, GiveUp>;

// Decides what follows a send. A request that is not idempotent is sent again
// only if it surely did not run.
AfterSend DecideAfterSend(const SendReport& report, bool is_idempotent);

inline constexpr char kRefusalHeader[] = "Shallotwick-Refused";
inline constexpr char kRefusalNoSlot[] = "no-slot";
inline constexpr char kRefusalLeaving[] = "leaving";

}  // namespace shallotwick::routing
