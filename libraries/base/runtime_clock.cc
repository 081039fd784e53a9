#include "base/runtime_clock.h"

#include <time.h>

#include <atomic>
#include <cstdint>

namespace shallotwick::base {
namespace {

constexpr int64_t kRunning = -1;

// Reading of a paused clock in nanoseconds, or kRunning.
std::atomic<int64_t> g_paused_at{kRunning};
// Added to the boot clock, so that resuming never jumps.
std::atomic<int64_t> g_offset{0};

// The boot clock also counts the time in which the host was suspended. Leases
// go on meanwhile, so a holder has to see that time pass.
int64_t BootNanoseconds() {
  constexpr int64_t kNanosecondsPerSecond = 1'000'000'000;
  timespec reading{};
  clock_gettime(CLOCK_BOOTTIME, &reading);
  return reading.tv_sec * kNanosecondsPerSecond + reading.tv_nsec;
}

}  // namespace

RuntimeClock::time_point RuntimeClock::now() noexcept {
  const int64_t paused_at = g_paused_at.load();
  if (paused_at != kRunning) {
    return time_point(duration(paused_at));
  }
  return time_point(duration(BootNanoseconds() + g_offset.load()));
}

void RuntimeClock::Pause() {
  g_paused_at.store(now().time_since_epoch().count());
}

void RuntimeClock::Advance(duration by) {
  int64_t paused_at = g_paused_at.load();
  if (paused_at != kRunning) {
    g_paused_at.store(paused_at + by.count());
  }
}

void RuntimeClock::Resume() {
  const int64_t paused_at = g_paused_at.load();
  if (paused_at == kRunning) {
    return;
  }
  g_offset.store(paused_at - BootNanoseconds());
  g_paused_at.store(kRunning);
}

int64_t WallClockMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace shallotwick::base
