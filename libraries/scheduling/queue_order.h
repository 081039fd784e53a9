#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace shallotwick::scheduling {

// How a route's jobs are ranked and bounded.
struct RoutePolicy {
  // 0 comes first.
  int priority = 0;
  // Failed runs of one task after which its job has failed.
  int most_attempts = 1;
  // A job is in time if it ends within `stretch` times its longest chain of
  // run times and `allowance_ms` more.
  double stretch = 1.0;
  int64_t allowance_ms = 0;

  auto operator<=>(const RoutePolicy&) const = default;
};

// What decides a job's place in its pool's queue.
struct QueueInput {
  RoutePolicy policy;
  bool long_running = false;
  int64_t due_since_ms = 0;
  int64_t whole_chain_ms = 0;
  int64_t remaining_chain_ms = 0;
};

// A place in the queue; smaller goes first.
struct QueueRank {
  // Long-running jobs, then those that can well be in time, then those that may
  // just be, then those that are late for less than the longest time that still
  // counts, then the rest.
  int tier = 0;
  int priority = 0;
  int64_t slack_ms = 0;

  // Whether the job can still end within its objective.
  bool IsTimely() const { return slack_ms >= 0; }

  auto operator<=>(const QueueRank&) const = default;
};

// Ranks by the time that is left before the job must run without a pause. A job
// that can't be in time any more makes way for those that can: under a load
// beyond the pool's capacity, first come first served would make all late. So
// would the least time left first, without a margin: each job would start when
// any task that takes longer than expected makes it late.
QueueRank RankJob(const QueueInput& input, int64_t now_ms);

}  // namespace shallotwick::scheduling
