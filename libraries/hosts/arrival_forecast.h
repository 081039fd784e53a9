#pragma once

#include <array>
#include <cstddef>

#include "base/runtime_clock.h"

namespace shallotwick::hosts {

// Forecasts the load of a pool from recently arrived work. In a workload of
// bursts, demand rises within two seconds, which is about as long as a standby
// host takes to become usable after its activation. Hosts are therefore
// activated for the load expected at that time.
class ArrivalForecast {
 public:
  // Records the work of a job that has just arrived, in core-seconds.
  void Add(double core_seconds, base::TimePoint now);

  // Returns the number of cores that arriving work is expected to keep busy
  // after the interval `ahead`.
  double ForecastCores(base::Duration ahead, base::TimePoint now);

 private:
  // Covers 1.5 s in buckets of 100 ms.
  static constexpr size_t kBuckets = 15;

  void AdvanceBuckets(base::TimePoint now);
  double GetAverageRate(size_t bucket_count) const;

  std::array<double, kBuckets> m_buckets{};
  // The index of the newest bucket, counted from the clock's epoch.
  int64_t m_newest_bucket = 0;
};

}  // namespace shallotwick::hosts
