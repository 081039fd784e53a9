#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "base/runtime_clock.h"
#include "scheduling/progress.h"
#include "scheduling/target_messages.h"

namespace shallotwick::scheduling {

struct PoolSchedulerOptions {
  // The fencing tokens of this ownership, which are higher than those of all
  // previous ones. Targets refuse orders with a lower token than the highest
  // that they have seen. The token of a target is raised to shut out earlier
  // orders that may still be executed.
  uint64_t first_fence = 0;
  uint64_t last_fence = 0;
  // The first run number of this ownership, which is higher than those of all
  // previous ones.
  int64_t first_run = 1;
  // The duration of the lease that each start or report order grants to a
  // target.
  base::Duration lease = std::chrono::seconds(5);
  // The maximum duration of a lease, which a target also applies to a lease
  // that was granted for another incarnation's clock.
  base::Duration max_lease = std::chrono::seconds(10);
  // The maximum time that a target takes to end a run after a stop or after its
  // lease has expired.
  base::Duration max_stop_time = std::chrono::milliseconds(1'000);
};

struct PoolOrders {
  std::vector<StartOrder> starts;
  std::vector<StopOrder> stops;
  std::vector<PaceOrder> paces;
};

// The progress of a job that is to be stored.
struct ProgressChange {
  std::string job;
  JobProgress progress;

  auto operator<=>(const ProgressChange&) const = default;
};

// A job as another service continues it.
struct MovedJob {
  JobSpec spec;
  JobProgress progress;

  auto operator<=>(const MovedJob&) const = default;
};

// A scheduling decision for the log: what was decided, for which task, and why.
struct SchedulingDecision {
  std::string what;
  TaskName task;
  int64_t run = 0;
  std::string target;
  // When the incarnation of the target started that the owner believes to be
  // up, in milliseconds since the Unix epoch; 0 if not known.
  int64_t incarnation_started_ms = 0;
  // The owner's view of the run before the decision; empty if it had none.
  std::string state;
  std::string reason;
};

}  // namespace shallotwick::scheduling
