#pragma once

#include "base/event_loop.h"

namespace shallotwick::fakes {

// Runs all handlers of the loop that are ready, without advancing the clock.
inline void ProcessDueEvents(base::EventLoop& loop) {
  loop.GetContext().restart();
  loop.GetContext().poll();
}

// Advances the paused clock and runs the timers that become due.
inline void AdvanceTimers(base::EventLoop& loop, base::Duration by) {
  base::RuntimeClock::Advance(by);
  // The loop reads the clock again only when a timer earlier than all others is
  // added.
  bool has_ticked = false;
  loop.RunAfter(-std::chrono::hours(1), [&has_ticked] { has_ticked = true; });
  while (!has_ticked) {
    loop.GetContext().restart();
    loop.GetContext().run_one();
  }
  ProcessDueEvents(loop);
}

}  // namespace shallotwick::fakes
