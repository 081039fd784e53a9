#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/runtime_clock.h"
#include "scheduling/job.h"

namespace shallotwick::scheduling {

// A target as listed in the platform's registry.
struct TargetEntry {
  // Identifies one incarnation of a target.
  std::string id;
  std::string service;
  // IP address and port.
  std::string address;
  std::string data_centre;
  // The host on which the target runs; empty if not reported.
  std::string host;
  bool draining = false;
  Resources capacity;
  std::vector<std::string> labels;
  // When this incarnation started, in milliseconds since the Unix epoch; 0 if
  // not reported.
  int64_t incarnation_started_ms = 0;

  auto operator<=>(const TargetEntry&) const = default;
};

// A run that a target reports as present.
struct ReportedRun {
  TaskName task;
  int64_t run = 0;
  std::string checkpoint;
  int percent = 0;
  // For a task with a latency target, its tail latency in milliseconds; for
  // others, the CPU usage in thousandths of a core.
  int64_t load = 0;

  auto operator<=>(const ReportedRun&) const = default;
};

enum class RunOutcome { kDone, kFailed, kStopped, kExpired, kBroken, kAlone };

// The completion of a run, as reported by its target.
struct ReportedCompletion {
  // The sequence number within one incarnation, starting at 1.
  int64_t number = 0;
  TaskName task;
  int64_t run = 0;
  RunOutcome how = RunOutcome::kFailed;
  std::string checkpoint;

  auto operator<=>(const ReportedCompletion&) const = default;
};

// The state of all runs on a target at one time.
struct TargetReport {
  int64_t clock_ms = 0;
  // 0 if not reported.
  int64_t incarnation_started_ms = 0;
  std::vector<ReportedRun> running;
  std::vector<ReportedCompletion> ended;
  // False if the target has further completions, which it lists once these are
  // acknowledged.
  bool lists_all_completions = true;

  auto operator<=>(const TargetReport&) const = default;
};

struct StartOrder {
  std::string target;
  std::string address;
  TaskName task;
  int64_t run = 0;
  std::string payload;
  std::string checkpoint;
  // On the target's clock; applies to all runs on the target.
  int64_t lease_until_ms = 0;
  uint64_t fence = 0;
  // When the order was decided, on the owner's clock; not sent.
  base::TimePoint decided;

  auto operator<=>(const StartOrder&) const = default;
};

struct StopOrder {
  std::string target;
  std::string address;
  TaskName task;
  int64_t run = 0;
  uint64_t fence = 0;

  auto operator<=>(const StopOrder&) const = default;
};

struct PaceOrder {
  std::string target;
  std::string address;
  TaskName task;
  int64_t run = 0;
  int percent = 100;
  uint64_t fence = 0;

  auto operator<=>(const PaceOrder&) const = default;
};

// Requests a list of the runs on a target, acknowledges completions, and renews
// the lease of the target.
struct ReportOrder {
  std::string target;
  std::string address;
  // Completions up to this number need not be reported again.
  int64_t last_acknowledged_completion = 0;
  // On the target's clock; if absent, the lease is not renewed.
  std::optional<int64_t> lease_until_ms;
  // How long the target may wait for a completion before it responds.
  int64_t wait_ms = 0;
  uint64_t fence = 0;

  auto operator<=>(const ReportOrder&) const = default;
};

// The outcome of an order.
enum class OrderOutcome {
  kAccepted,
  // The target has seen a higher fencing token, so another owner is active.
  kFenced,
  // The run number is not higher than that of a run of the same task that was
  // stopped or has ended on the target.
  kOutdated,
  kLeaseExpired,
  kNoCapacity,
  // The ticket for the step is missing or has expired.
  kNoTicket,
  // The target reported itself unhealthy and did not execute the order.
  kUnhealthy,
  // A different incarnation of the target responded at the address.
  kOtherIncarnation,
  // The order was not sent.
  kNotSent,
  // The order may have been executed or may still be executed later.
  kUnknown,
  kInvalid,
};

struct OrderResult {
  OrderOutcome outcome = OrderOutcome::kUnknown;
  // The target's clock, if the response included it.
  std::optional<int64_t> clock_ms;

  auto operator<=>(const OrderResult&) const = default;
};

}  // namespace shallotwick::scheduling
