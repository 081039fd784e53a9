#include "scheduling/queue_order.h"

namespace shallotwick::scheduling {
namespace {

// A job that takes longer than this multiple of its objective has no value, by
// the rule of the platform for late jobs.
constexpr int64_t kMaxLatenessFactor = 3;

constexpr int kTierLongRunning = 0;
constexpr int kTierOnSchedule = 1;
constexpr int kTierAtRisk = 2;
constexpr int kTierOverdue = 3;
constexpr int kTierExcess = 4;
constexpr int kTierPastRecovery = 5;

// The time that a job takes in addition to its run times: orders, reports and
// writes to the store.
constexpr int64_t kOverheadMs = 80;
// Run times deviate from their expected values by about half. The deviation of
// a chain of two tasks is smaller by a quarter, but a step waits for the
// slowest of its tasks.
constexpr double kRunTimeUncertainty = 0.25;

}  // namespace

QueueRank RankJob(const QueueInput& input, int64_t now_ms) {
  QueueRank rank;
  rank.priority = input.policy.priority;
  rank.is_failing = input.is_failing;
  rank.is_excess = input.is_excess;
  const int64_t objective_ms =
      static_cast<int64_t>(input.policy.stretch *
                           static_cast<double>(input.full_chain_ms)) +
      input.policy.allowance_ms;
  const int64_t earliest_end_ms = now_ms + input.remaining_chain_ms;
  rank.slack_ms = input.due_since_ms + objective_ms - earliest_end_ms;
  const int64_t margin_ms =
      kOverheadMs +
      static_cast<int64_t>(kRunTimeUncertainty *
                           static_cast<double>(input.remaining_chain_ms));
  if (input.long_running) {
    rank.tier = kTierLongRunning;
  } else if (rank.slack_ms >= margin_ms) {
    rank.tier = kTierOnSchedule;
  } else if (rank.slack_ms >= 0) {
    rank.tier = kTierAtRisk;
  } else if (input.due_since_ms + kMaxLatenessFactor * objective_ms >=
             earliest_end_ms) {
    rank.tier = kTierOverdue;
  } else {
    rank.tier = kTierPastRecovery;
  }
  // Where there is room for all, the order does not matter.
  const bool waits_for_others = (input.is_excess || input.is_over_share) &&
                                rank.tier != kTierLongRunning &&
                                rank.tier != kTierPastRecovery;
  if (waits_for_others) {
    rank.tier = kTierExcess;
  }
  return rank;
}

}  // namespace shallotwick::scheduling
