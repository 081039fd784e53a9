#include "scheduling/stall_detection.h"

namespace shallotwick::scheduling {
namespace {

// A run may be stalled only after this multiple of its expected time, because
// estimates are wrong by up to nine tenths, plus a minimum that covers the lag
// of reports.
constexpr int kOverdueFactor = 3;
constexpr auto kOverdueFloor = std::chrono::milliseconds(1'000);
// Reports arrive at least once per second, so a longer period without progress
// means that the run is stalled.
constexpr auto kMinStallTime = std::chrono::milliseconds(1'300);
// A restart must save at least this multiple of the expected run time.
constexpr int kMinRestartSavingFactor = 3;
constexpr int kFullPercent = 100;

}  // namespace

bool IsStalled(const RunPace& pace) {
  if (pace.elapsed < kOverdueFactor * pace.expected + kOverdueFloor) {
    return false;
  }
  if (pace.since_progress >= kMinStallTime) {
    return true;
  }
  if (pace.percent <= 0 || pace.percent >= kFullPercent) {
    return false;
  }
  const auto remaining =
      pace.elapsed * (kFullPercent - pace.percent) / pace.percent;
  return remaining > kMinRestartSavingFactor * pace.expected;
}

}  // namespace shallotwick::scheduling
