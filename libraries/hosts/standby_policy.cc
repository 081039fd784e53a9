#include "hosts/standby_policy.h"

#include <algorithm>
#include <cmath>

namespace shallotwick::hosts {
namespace {

// A turn of a queue has reached its height by then, so the peak means
// something.
constexpr auto kLeastWatch = std::chrono::seconds(8);
// After a calm that is longer than the recent memory, this share of the hour's
// peak still waits for the next turn; the rest is called when it has begun.
constexpr double kCalmShare = 0.5;
// Work that comes within the time of a move exceeds what was seen before.
constexpr double kHeadroom = 1.1;

}  // namespace

void StandbyPolicy::Peak::Add(int value, base::TimePoint now) {
  while (!m_falling.empty() && m_falling.back().second <= value) {
    m_falling.pop_back();
  }
  m_falling.emplace_back(now, value);
  while (m_falling.front().first + m_memory < now) {
    m_falling.pop_front();
  }
}

int StandbyPolicy::Peak::Get(base::TimePoint now) const {
  for (const auto& [time, value] : m_falling) {
    if (time + m_memory >= now) {
      return value;
    }
  }
  return 0;
}

void StandbyPolicy::Observe(int busy, base::TimePoint now) {
  m_recent.Add(busy, now);
  m_long.Add(busy, now);
  if (busy > 0 && !m_has_seen_work) {
    m_has_seen_work = true;
    m_first_work = now;
  }
}

int StandbyPolicy::CountKept(int on, base::TimePoint now) const {
  if (!m_has_seen_work || now < m_first_work + kLeastWatch) {
    return on;
  }
  const double peak = std::max(static_cast<double>(m_recent.Get(now)),
                               kCalmShare * m_long.Get(now));
  return std::min(on, static_cast<int>(std::ceil(kHeadroom * peak)));
}

}  // namespace shallotwick::hosts
