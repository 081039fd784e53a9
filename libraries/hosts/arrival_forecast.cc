#include "hosts/arrival_forecast.h"

#include <algorithm>

namespace shallotwick::hosts {
namespace {

constexpr auto kBucketLength = std::chrono::milliseconds(100);
// The trend is the difference between the rate in the newest buckets and the
// rate over all buckets.
constexpr size_t kRecentBuckets = 5;
// Upper bound of the forecast relative to the present rate: a few jobs that
// arrive together look like a steep rise.
constexpr double kMaxRiseFactor = 3.0;

double ToSeconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void ArrivalForecast::Add(double core_seconds, base::TimePoint now) {
  AdvanceBuckets(now);
  m_buckets[static_cast<size_t>(m_newest_bucket) % kBuckets] += core_seconds;
}

void ArrivalForecast::AdvanceBuckets(base::TimePoint now) {
  const int64_t current = now.time_since_epoch() / kBucketLength;
  const int64_t first = std::max(m_newest_bucket + 1,
                                 current - static_cast<int64_t>(kBuckets) + 1);
  for (int64_t bucket = first; bucket <= current; ++bucket) {
    m_buckets[static_cast<size_t>(bucket) % kBuckets] = 0;
  }
  m_newest_bucket = std::max(m_newest_bucket, current);
}

// Returns the average rate over the newest `bucket_count` buckets, in
// core-seconds per second.
double ArrivalForecast::GetAverageRate(size_t bucket_count) const {
  double sum = 0;
  for (size_t i = 0; i < bucket_count; ++i) {
    const size_t bucket =
        (static_cast<size_t>(m_newest_bucket) + kBuckets - i) % kBuckets;
    sum += m_buckets[bucket];
  }
  return sum / (static_cast<double>(bucket_count) * ToSeconds(kBucketLength));
}

double ArrivalForecast::ForecastCores(base::Duration ahead,
                                      base::TimePoint now) {
  AdvanceBuckets(now);
  const double recent_rate = GetAverageRate(kRecentBuckets);
  const double window_rate = GetAverageRate(kBuckets);
  // The time between the midpoints of the two intervals.
  const double midpoint_distance_seconds =
      static_cast<double>(kBuckets - kRecentBuckets) / 2 *
      ToSeconds(kBucketLength);
  const double slope = (recent_rate - window_rate) / midpoint_distance_seconds;
  return std::clamp(recent_rate + slope * ToSeconds(ahead), 0.0,
                    recent_rate * kMaxRiseFactor);
}

}  // namespace shallotwick::hosts
