#pragma once

#include "base/runtime_clock.h"

namespace shallotwick::base {

// Exponential backoff with full jitter between half and the whole delay.
class Backoff {
 public:
  Backoff(Duration first, Duration longest);

  // Returns the delay before the next attempt, `jitter` in [0, 1).
  Duration NextDelay(double jitter);
  void Reset();

 private:
  Duration m_first;
  Duration m_longest;
  Duration m_next;
};

// Returns a period changed by up to half of `spread` either way, a tenth unless
// told otherwise, `jitter` in [0, 1), so that processes don't act in step.
Duration SpreadPeriod(Duration period, double jitter, double spread = 0.2);

}  // namespace shallotwick::base
