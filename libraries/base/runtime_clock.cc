#include "base/runtime_clock.h"

#include <time.h>

#include <atomic>
#include <cstdint>

namespace shallotwick::base {
namespace {

constexpr int64_t kNotPaused = -1;

// Reading of the paused clock in nanoseconds; kNotPaused while it runs.
std::atomic<int64_t> g_paused_at{kNotPaused};
// Offset to the boot clock in nanoseconds, so that the clock does not jump when
// it resumes.
std::atomic<int64_t> g_offset{0};

// CLOCK_BOOTTIME includes time during which the host is suspended. Leases
// expire during that time too, so their holders must count it.
int64_t BootNanoseconds() {
  constexpr int64_t kNanosecondsPerSecond = 1'000'000'000;
  timespec reading{};
  clock_gettime(CLOCK_BOOTTIME, &reading);
  return reading.tv_sec * kNanosecondsPerSecond + reading.tv_nsec;
}

}  // namespace

RuntimeClock::time_point RuntimeClock::now() noexcept {
  const int64_t paused_at = g_paused_at.load();
  if (paused_at != kNotPaused) {
    return time_point(duration(paused_at));
  }
  return time_point(duration(BootNanoseconds() + g_offset.load()));
}

void RuntimeClock::Pause() {
  g_paused_at.store(now().time_since_epoch().count());
}

void RuntimeClock::Advance(duration by) {
  int64_t paused_at = g_paused_at.load();
  if (paused_at != kNotPaused) {
    g_paused_at.store(paused_at + by.count());
  }
}

void RuntimeClock::Resume() {
  const int64_t paused_at = g_paused_at.load();
  if (paused_at == kNotPaused) {
    return;
  }
  g_offset.store(paused_at - BootNanoseconds());
  g_paused_at.store(kNotPaused);
}

int64_t WallClockMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace shallotwick::base
