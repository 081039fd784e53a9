#include "base/runtime_clock.h"

#include <atomic>
#include <cstdint>

namespace shallotwick::base {
namespace {

constexpr int64_t kRunning = -1;

// Reading of a paused clock in nanoseconds, or kRunning.
std::atomic<int64_t> g_paused_at{kRunning};
// Added to the steady clock, so that resuming never jumps.
std::atomic<int64_t> g_offset{0};

int64_t SteadyNanoseconds() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

}  // namespace

RuntimeClock::time_point RuntimeClock::now() noexcept {
  const int64_t paused_at = g_paused_at.load();
  if (paused_at != kRunning) {
    return time_point(duration(paused_at));
  }
  return time_point(duration(SteadyNanoseconds() + g_offset.load()));
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
  g_offset.store(paused_at - SteadyNanoseconds());
  g_paused_at.store(kRunning);
}

int64_t WallClockMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace shallotwick::base
