#include "hosts/arrival_forecast.h"

#include <algorithm>

namespace shallotwick::hosts {
namespace {

constexpr auto kBucketLength = std::chrono::milliseconds(100);
// Upper bound of the forecast relative to the present rate: a few jobs that
// arrive together look like a steep rise.
constexpr double kMaxRiseFactor = 3.0;
// The minimum weight of the newest job in the mean size of jobs.
constexpr double kMinNewestWeight = 1.0 / 32;

double ToSeconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void ArrivalForecast::Add(double core_seconds, base::TimePoint arrived) {
  AdvanceBuckets(arrived);
  const int64_t bucket = arrived.time_since_epoch() / kBucketLength;
  if (bucket > m_newest_bucket - kBuckets) {
    ++m_buckets[static_cast<size_t>(bucket % kBuckets)];
  }
  ++m_jobs;
  const double weight =
      std::max(1.0 / static_cast<double>(m_jobs), kMinNewestWeight);
  m_mean_core_seconds += weight * (core_seconds - m_mean_core_seconds);
}

void ArrivalForecast::AdvanceBuckets(base::TimePoint now) {
  const int64_t current = now.time_since_epoch() / kBucketLength;
  const int64_t first = std::max(m_newest_bucket + 1, current - kBuckets + 1);
  for (int64_t bucket = first; bucket <= current; ++bucket) {
    m_buckets[static_cast<size_t>(bucket % kBuckets)] = 0;
  }
  m_newest_bucket = std::max(m_newest_bucket, current);
}

double ArrivalForecast::ForecastCores(base::Duration ahead,
                                      base::TimePoint now) {
  AdvanceBuckets(now);
  const double bucket_seconds = ToSeconds(kBucketLength);
  // The newest bucket is not complete yet.
  const double newest_seconds = std::max(
      0.0, ToSeconds(now.time_since_epoch() - kBucketLength * m_newest_bucket));
  const double window = (kBuckets - 1) * bucket_seconds + newest_seconds;
  double jobs = 0;
  double moment = 0;
  double squares = 0;
  for (int64_t i = 0; i < kBuckets; ++i) {
    const int count =
        m_buckets[static_cast<size_t>((m_newest_bucket - i) % kBuckets)];
    const double age =
        i == 0
            ? newest_seconds / 2
            : newest_seconds + (static_cast<double>(i) - 0.5) * bucket_seconds;
    const double offset = window / 2 - age;
    jobs += count;
    moment += count * offset;
    squares += count * offset * offset;
  }
  const double rate = jobs / window;
  const double scale = 12 / (window * window * window);
  double slope = scale * moment;
  const double variance = scale * scale * squares;
  if (slope * slope > variance) {
    slope *= 1 - variance / (slope * slope);
  } else {
    slope = 0;
  }
  const double present = std::max(0.0, rate + slope * window / 2);
  return std::clamp(present + slope * ToSeconds(ahead), 0.0,
                    present * kMaxRiseFactor) *
         m_mean_core_seconds;
}

}  // namespace shallotwick::hosts
