#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace shallotwick::scheduling {

// The priority, retry limit and time objective of the jobs of a route.
struct RoutePolicy {
  // Lower values are scheduled first.
  int priority = 0;
  // The number of failed runs of one task after which the job fails.
  int max_attempts = 1;
  // A job is on schedule if it ends within `stretch` times the expected run
  // time of its longest chain plus `allowance_ms`.
  double stretch = 1.0;
  int64_t allowance_ms = 0;

  auto operator<=>(const RoutePolicy&) const = default;
};

// The inputs to a job's rank in the queue of its pool.
struct QueueInput {
  RoutePolicy policy;
  bool long_running = false;
  // The job's runs fail by its own fault.
  bool is_failing = false;
  // Beyond what the job's customer is owed.
  bool is_excess = false;
  // The job's customer uses more than its share of the pool.
  bool is_over_share = false;
  int64_t due_since_ms = 0;
  int64_t full_chain_ms = 0;
  int64_t remaining_chain_ms = 0;
};

// The rank of a job in its queue; lower ranks are scheduled first.
struct QueueRank {
  // In ascending order: long-running jobs; jobs that can meet their objective
  // with a margin; jobs that can meet it without the margin; overdue jobs that
  // can still end within the maximum time that counts; jobs beyond their
  // customers' rates or shares that can; jobs that cannot.
  int tier = 0;
  int priority = 0;
  // Behind sound work of the same tier and priority.
  bool is_failing = false;
  int64_t slack_ms = 0;
  bool is_excess = false;

  // Returns whether the job is owed and can still end within its objective.
  bool IsOnSchedule() const { return slack_ms >= 0 && !is_excess; }

  auto operator<=>(const QueueRank&) const = default;
};

// Ranks jobs by slack: the time until the job must run without interruption to
// meet its objective. Jobs that can no longer meet their objective rank below
// those that can, because first come, first served would make all jobs late
// when the load exceeds the capacity of the pool. Least slack first without a
// margin has the same effect: each job would start so late that any task that
// takes longer than expected makes it miss its objective.
QueueRank RankJob(const QueueInput& input, int64_t now_ms);

}  // namespace shallotwick::scheduling
