#include "scheduling/fill_pacing.h"

#include <algorithm>

namespace shallotwick::scheduling {
namespace {

// Fractions of the latency target. Reports lag by half a second, so throttling
// starts before the target is reached.
constexpr double kThrottleRatio = 0.85;
constexpr double kRecoverRatio = 0.6;
constexpr int kRecoverStepPercent = 20;
constexpr int kFullPercent = 100;

}  // namespace

int DecideBestEffortPercent(double max_tail_ratio, int percent) {
  if (max_tail_ratio >= 1.0) {
    return 0;
  }
  if (max_tail_ratio > kThrottleRatio) {
    return percent / 2;
  }
  if (max_tail_ratio < kRecoverRatio) {
    return std::min(kFullPercent, percent + kRecoverStepPercent);
  }
  return percent;
}

}  // namespace shallotwick::scheduling
