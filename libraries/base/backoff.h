#pragma once

#include "base/runtime_clock.h"

namespace shallotwick::base {

// Exponential backoff. Each delay is jittered between half of its nominal value
// and the full value.
class Backoff {
 public:
  Backoff(Duration initial_delay, Duration max_delay);

  // Returns the delay before the next attempt and doubles the nominal delay, up
  // to the maximum. `jitter` is a random number in [0, 1).
  Duration NextDelay(double jitter);
  // Returns to the initial delay.
  void Reset();

 private:
  Duration m_initial_delay;
  Duration m_max_delay;
  Duration m_next_delay;
};

// Returns a period that is shortened or lengthened by up to half of `spread`,
// by default a tenth of the period, so that processes do not run in lockstep.
// `jitter` is a random number in [0, 1).
Duration JitterPeriod(Duration period, double jitter, double spread = 0.2);

// Returns a random delay of up to half more or less than `average`.
Duration SpreadDelay(Duration average);

}  // namespace shallotwick::base
