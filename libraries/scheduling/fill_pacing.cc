#include "scheduling/fill_pacing.h"

#include <algorithm>

namespace shallotwick::scheduling {
namespace {

// Of the latency target. Reports lag by half a second, so the brake comes
// before the target is reached.
constexpr double kBrakeRatio = 0.85;
constexpr double kReleaseRatio = 0.6;
constexpr int kReleaseStepPercent = 20;
constexpr int kFullPercent = 100;

}  // namespace

int DecideFillPercent(double worst_tail_ratio, int percent) {
  if (worst_tail_ratio >= 1.0) {
    return 0;
  }
  if (worst_tail_ratio > kBrakeRatio) {
    return percent / 2;
  }
  if (worst_tail_ratio < kReleaseRatio) {
    return std::min(kFullPercent, percent + kReleaseStepPercent);
  }
  return percent;
}

}  // namespace shallotwick::scheduling
