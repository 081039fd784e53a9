#include "scheduling/queue_order.h"

namespace shallotwick::scheduling {
namespace {

// A job that takes longer than this many times its objective counts for
// nothing; the platform's rule for late jobs.
constexpr int64_t kLateFactor = 3;

constexpr int kTierLongRunning = 0;
constexpr int kTierInTime = 1;
constexpr int kTierAtRisk = 2;
constexpr int kTierLate = 3;
constexpr int kTierLost = 4;

// What a job needs beside its run times: orders, reports and the store.
constexpr int64_t kOverheadMs = 80;
// Run times differ from what is expected of them by about half; a chain of two
// by a quarter less, and a job waits for the longest of many tasks.
constexpr double kUncertainShare = 0.25;

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
  const int64_t margin_ms =
      kOverheadMs +
      static_cast<int64_t>(kUncertainShare *
                           static_cast<double>(input.remaining_chain_ms));
  if (input.long_running) {
    rank.tier = kTierLongRunning;
  } else if (rank.slack_ms >= margin_ms) {
    rank.tier = kTierInTime;
  } else if (rank.slack_ms >= 0) {
    rank.tier = kTierAtRisk;
  } else if (input.due_since_ms + kLateFactor * objective_ms >= end_ms) {
    rank.tier = kTierLate;
  } else {
    rank.tier = kTierLost;
  }
  return rank;
}

}  // namespace shallotwick::scheduling
