#pragma once

#include <chrono>

namespace shallotwick::base {

// Monotonic clock of every process; it also counts suspensions. Tests pause it
// and advance it by hand. Satisfies the standard Clock requirements, so that
// Asio timers run on it.
class RuntimeClock {
 public:
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<RuntimeClock>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept;

  // Stops the clock at its present reading.
  static void Pause();
  // Moves a paused clock forward; has no effect on a running one.
  static void Advance(duration by);
  // Lets the clock run again from its present reading.
  static void Resume();
};

using Duration = RuntimeClock::duration;
using TimePoint = RuntimeClock::time_point;

// Wall clock time in milliseconds since the Unix epoch. For display and for
// history only: no decision depends on it.
int64_t WallClockMilliseconds();

}  // namespace shallotwick::base
