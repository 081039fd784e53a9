#include "scheduling/queue_order.h"

namespace shallotwick::scheduling {
namespace {

// A job that takes longer than this many times its objective counts for
// nothing; the platform's rule for late jobs.
constexpr int64_t kLateFactor = 3;

constexpr int kTierLongRunning = 0;
constexpr int kTierInTime = 1;
constexpr int kTierLate = 2;
constexpr int kTierLost = 3;

}  // namespace

QueueRank RankJob(const QueueInput& input, int64_t now_ms) {
  QueueRank rank;
  rank.priority = input.policy.priority;
  const int64_t objective_ms =
      static_cast<int64_t>(input.policy.stretch *
                           static_cast<double>(input.whole_chain_ms)) +
      input.policy.allowance_ms;
  const int64_t end_ms = now_ms + input.remaining_chain_ms;
  rank.slack_ms = input.due_since_ms + objective_ms - end_ms;
  if (input.long_running) {
    rank.tier = kTierLongRunning;
  } else if (rank.slack_ms >= 0) {
    rank.tier = kTierInTime;
  } else if (input.due_since_ms + kLateFactor * objective_ms >= end_ms) {
    rank.tier = kTierLate;
  } else {
    rank.tier = kTierLost;
  }
  return rank;
}

}  // namespace shallotwick::scheduling
