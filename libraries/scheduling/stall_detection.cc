#include "scheduling/stall_detection.h"

namespace shallotwick::scheduling {
namespace {

// Estimates are off by up to nine tenths, so a run has this many times its
// expected time, and a floor for reports that lag.
constexpr int kOverdueFactor = 3;
constexpr auto kOverdueFloor = std::chrono::milliseconds(1'000);
// Reports come each second at least; without growth for longer it stands still.
constexpr auto kStandstill = std::chrono::milliseconds(1'300);
// What a new start must save at least, in expected run times.
constexpr int kWorthwhileFactor = 3;
constexpr int kWholePercent = 100;

}  // namespace

bool IsStalled(const RunPace& pace) {
  if (pace.elapsed < kOverdueFactor * pace.expected + kOverdueFloor) {
    return false;
  }
  if (pace.since_progress >= kStandstill) {
    return true;
  }
  if (pace.percent <= 0 || pace.percent >= kWholePercent) {
    return false;
  }
  const auto remaining =
      pace.elapsed * (kWholePercent - pace.percent) / pace.percent;
  return remaining > kWorthwhileFactor * pace.expected;
}

}  // namespace shallotwick::scheduling
