#pragma once

#include <chrono>

namespace shallotwick::base {

// The monotonic clock of all processes, which includes time during which the
// host is suspended. Tests can pause it and advance it manually. Satisfies the
// standard Clock requirements, so that Asio timers can use it.
class RuntimeClock {
 public:
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<RuntimeClock>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept;

  // Stops the clock at its current reading.
  static void Pause();
  // Moves a paused clock forward; has no effect on a running one.
  static void Advance(duration by);
  // Restarts a paused clock from its current reading.
  static void Resume();
};

using Duration = RuntimeClock::duration;
using TimePoint = RuntimeClock::time_point;

// Returns the wall clock time in milliseconds since the Unix epoch. Used only
// for display and history; no decision depends on it.
int64_t WallClockMilliseconds();

}  // namespace shallotwick::base
