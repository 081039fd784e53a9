#include "base/backoff.h"

#include <algorithm>

#include "base/random_identifier.h"

namespace shallotwick::base {

Backoff::Backoff(Duration initial_delay, Duration max_delay)
    : m_initial_delay(initial_delay),
      m_max_delay(max_delay),
      m_next_delay(initial_delay) {}

Duration Backoff::NextDelay(double jitter) {
  const Duration full_delay = m_next_delay;
  m_next_delay = std::min(m_next_delay * 2, m_max_delay);
  const auto jittered_part = static_cast<Duration::rep>(
      static_cast<double>(full_delay.count()) / 2 * jitter);
  return full_delay / 2 + Duration(jittered_part);
}

void Backoff::Reset() { m_next_delay = m_initial_delay; }

Duration JitterPeriod(Duration period, double jitter, double spread) {
  const double factor = 1 - spread / 2 + spread * jitter;
  return std::chrono::duration_cast<Duration>(period * factor);
}

Duration SpreadDelay(Duration average) {
  constexpr double kHalfEitherWay = 1.0;
  return JitterPeriod(average, MakeRandomFraction(), kHalfEitherWay);
}

}  // namespace shallotwick::base
