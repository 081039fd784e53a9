#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "scheduling/job.h"

namespace shallotwick::scheduling {

// A target as the platform's registry lists it.
struct TargetEntry {
  // Names one life of a target.
  std::string id;
  std::string service;
  // IP address and port.
  std::string address;
  std::string data_centre;
  // The host that the target runs on; empty if it does not say.
  std::string host;
  bool draining = false;
  Resources capacity;
  std::vector<std::string> labels;
  // When this incarnation started, in milliseconds since the Unix epoch; 0 if
  // it does not say.
  int64_t born_ms = 0;

  auto operator<=>(const TargetEntry&) const = default;
};

// A run that a target reports as present.
struct ReportedRun {
  TaskName task;
  int64_t run = 0;
  std::string checkpoint;
  int percent = 0;
  // For a task with a latency target its tail in milliseconds; for others the
  // thousandths of a core in use.
  int64_t load = 0;

  auto operator<=>(const ReportedRun&) const = default;
};

enum class RunEnd { kDone, kFailed, kStopped, kLapsed, kBroken, kAlone };

// A run that a target reports as ended.
struct ReportedEnd {
  // Counts the ends of one incarnation, from 1.
  int64_t number = 0;
  TaskName task;
  int64_t run = 0;
  RunEnd how = RunEnd::kFailed;
  std::string checkpoint;

  auto operator<=>(const ReportedEnd&) const = default;
};

// All that a target says of its runs at one moment.
struct TargetReport {
  int64_t clock_ms = 0;
  // 0 if it does not say.
  int64_t born_ms = 0;
  std::vector<ReportedRun> running;
  std::vector<ReportedEnd> ended;

  auto operator<=>(const TargetReport&) const = default;
};

struct StartOrder {
  std::string target;
  std::string address;
  TaskName task;
  int64_t run = 0;
  std::string payload;
  std::string checkpoint;
  // On the target's clock; holds for all that runs there.
  int64_t lease_until_ms = 0;
  uint64_t fence = 0;

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

// Asks a target for its runs, forgets ends and renews its lease.
struct ReportOrder {
  std::string target;
  std::string address;
  // Ends up to this number need not be reported again.
  int64_t acknowledged_end = 0;
  // On the target's clock; without it the lease stays as it is.
  std::optional<int64_t> lease_until_ms;
  // How long the target may wait for an end before it answers.
  int64_t wait_ms = 0;
  uint64_t fence = 0;

  auto operator<=>(const ReportOrder&) const = default;
};

// How a target took an order.
enum class OrderOutcome {
  kAccepted,
  // A higher fence was seen there: another owner acts.
  kFenced,
  // The run is not higher than one that was stopped or has ended there.
  kOutdated,
  kLeaseExpired,
  kNoRoom,
  // The ticket for the step is missing or has expired.
  kNoTicket,
  // Nothing was done.
  kUnhealthy,
  // Another incarnation answers at that address.
  kOtherIncarnation,
  // Nothing was sent.
  kNotSent,
  // It may be carried out, also later.
  kUnknown,
  kInvalid,
};

struct OrderResult {
  OrderOutcome outcome = OrderOutcome::kUnknown;
  // The target's clock, if it answered with it.
  std::optional<int64_t> clock_ms;

  auto operator<=>(const OrderResult&) const = default;
};

}  // namespace shallotwick::scheduling
