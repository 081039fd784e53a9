#include "base/backoff.h"

#include <algorithm>

namespace shallotwick::base {

Backoff::Backoff(Duration first, Duration longest)
    : m_first(first), m_longest(longest), m_next(first) {}

Duration Backoff::NextDelay(double jitter) {
  const Duration whole = m_next;
  m_next = std::min(m_next * 2, m_longest);
  const auto spread = static_cast<Duration::rep>(
      static_cast<double>(whole.count()) / 2 * jitter);
  return whole / 2 + Duration(spread);
}

void Backoff::Reset() { m_next = m_first; }

Duration SpreadPeriod(Duration period, double jitter, double spread) {
  const double factor = 1 - spread / 2 + spread * jitter;
  return std::chrono::duration_cast<Duration>(period * factor);
}

}  // namespace shallotwick::base
