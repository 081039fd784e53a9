#pragma once

#include <array>
#include <cstddef>

#include "base/runtime_clock.h"

namespace shallotwick::hosts {

// Foresees the load of a pool from the work that arrived lately. Demand that
// comes in turns rises within two seconds, and a host that is called takes
// about as long to come; so hosts are called for the load that will be there by
// then.
class ArrivalForecast {
 public:
  // Takes the work of a job that has just come, in core-seconds.
  void Add(double core_seconds, base::TimePoint now);

  // The cores that arriving work will keep busy `ahead` from now.
  double ForecastCores(base::Duration ahead, base::TimePoint now);

 private:
  // A second and a half in tenths.
  static constexpr size_t kBuckets = 15;

  void Advance(base::TimePoint now);
  double Average(size_t newest) const;

  std::array<double, kBuckets> m_buckets{};
  // The number of the newest bucket since the clock's epoch.
  int64_t m_newest = 0;
};

}  // namespace shallotwick::hosts
