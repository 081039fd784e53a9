#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/runtime_clock.h"

namespace shallotwick::hosts {

// Forecasts the load of a pool from the jobs that arrived recently. In a
// workload of bursts, demand rises within a few seconds, and a host takes about
// two seconds to move. Hosts are therefore called for the load expected at that
// time.
//
// Fits a line to the arrivals by least squares. Queues with few but large jobs
// have random clusters of arrivals, so the slope counts only as far as it
// exceeds its standard error. The sizes of jobs enter only as their mean, since
// a few large jobs do not announce more of them.
class ArrivalForecast {
 public:
  // Records a job that arrived at `arrived`, with its work in core-seconds.
  // Jobs may be recorded late and in any order.
  void Add(double core_seconds, base::TimePoint arrived);

  // Returns the number of cores that arriving work is expected to keep busy
  // after the interval `ahead`.
  double ForecastCores(base::Duration ahead, base::TimePoint now);

 private:
  // Covers 2 s in buckets of 100 ms.
  static constexpr int64_t kBuckets = 20;

  void AdvanceBuckets(base::TimePoint now);

  // The number of jobs that arrived in each bucket.
  std::array<int, kBuckets> m_buckets{};
  // The index of the newest bucket, counted from the clock's epoch.
  int64_t m_newest_bucket = 0;
  int64_t m_jobs = 0;
  double m_mean_core_seconds = 0;
};

}  // namespace shallotwick::hosts
