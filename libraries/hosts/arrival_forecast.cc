#include "hosts/arrival_forecast.h"

#include <algorithm>

namespace shallotwick::hosts {
namespace {

constexpr auto kBucketLength = std::chrono::milliseconds(100);
// The newest buckets against all of them tell the trend.
constexpr size_t kRecentBuckets = 5;
// The forecast exceeds the present rate by at most this factor, as a few jobs
// that come together look like a steep rise.
constexpr double kLongestRise = 3.0;

double ToSeconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void ArrivalForecast::Add(double core_seconds, base::TimePoint now) {
  Advance(now);
  m_buckets[static_cast<size_t>(m_newest) % kBuckets] += core_seconds;
}

void ArrivalForecast::Advance(base::TimePoint now) {
  const int64_t current = now.time_since_epoch() / kBucketLength;
  const int64_t first =
      std::max(m_newest + 1, current - static_cast<int64_t>(kBuckets) + 1);
  for (int64_t bucket = first; bucket <= current; ++bucket) {
    m_buckets[static_cast<size_t>(bucket) % kBuckets] = 0;
  }
  m_newest = std::max(m_newest, current);
}

// The rate over the newest buckets, in core-seconds a second.
double ArrivalForecast::Average(size_t newest) const {
  double sum = 0;
  for (size_t i = 0; i < newest; ++i) {
    const size_t bucket =
        (static_cast<size_t>(m_newest) + kBuckets - i) % kBuckets;
    sum += m_buckets[bucket];
  }
  return sum / (static_cast<double>(newest) * ToSeconds(kBucketLength));
}

double ArrivalForecast::ForecastCores(base::Duration ahead,
                                      base::TimePoint now) {
  Advance(now);
  const double recent = Average(kRecentBuckets);
  const double whole = Average(kBuckets);
  // Between the middles of the two spans.
  const double apart = static_cast<double>(kBuckets - kRecentBuckets) / 2 *
                       ToSeconds(kBucketLength);
  const double slope = (recent - whole) / apart;
  return std::clamp(recent + slope * ToSeconds(ahead), 0.0,
                    recent * kLongestRise);
}

}  // namespace shallotwick::hosts
