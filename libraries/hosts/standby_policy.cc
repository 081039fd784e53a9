#include "hosts/standby_policy.h"

#include <algorithm>
#include <cmath>

namespace shallotwick::hosts {
namespace {

// The burst of a queue has reached its maximum load within this time, so that
// the observed peak is meaningful.
constexpr auto kMinObservationTime = std::chrono::seconds(8);
// After a low-load period longer than the recent window, this fraction of the
// hour's peak is retained for the next burst. The other hosts are activated
// once the burst has begun.
constexpr double kIdlePeakFraction = 0.5;
// Allows for work that arrives during the move of a host and exceeds the
// previous peak.
constexpr double kHeadroomFactor = 1.1;

}  // namespace

void StandbyPolicy::WindowMax::Add(int value, base::TimePoint now) {
  while (!m_descending.empty() && m_descending.back().second <= value) {
    m_descending.pop_back();
  }
  m_descending.emplace_back(now, value);
  while (m_descending.front().first + m_window < now) {
    m_descending.pop_front();
  }
}

int StandbyPolicy::WindowMax::Get(base::TimePoint now) const {
  for (const auto& [time, value] : m_descending) {
    if (time + m_window >= now) {
      return value;
    }
  }
  return 0;
}

void StandbyPolicy::Observe(int busy, base::TimePoint now) {
  m_recent_max.Add(busy, now);
  m_long_max.Add(busy, now);
  if (busy > 0 && !m_has_seen_work) {
    m_has_seen_work = true;
    m_first_work_at = now;
  }
}

int StandbyPolicy::CountRetainedHosts(int on, base::TimePoint now) const {
  if (!m_has_seen_work || now < m_first_work_at + kMinObservationTime) {
    return on;
  }
  const double peak = std::max(static_cast<double>(m_recent_max.Get(now)),
                               kIdlePeakFraction * m_long_max.Get(now));
  return std::min(on, static_cast<int>(std::ceil(kHeadroomFactor * peak)));
}

}  // namespace shallotwick::hosts
