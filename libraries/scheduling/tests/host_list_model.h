#pragma once

#include <map>
#include <set>
#include <string>

#include "scheduling/pool_scheduler.h"

namespace shallotwick::scheduling::testing {

// Ends the silent targets of an owner that two consecutive lists of hosts do
// not contain, as the scheduler process does.
class HostListModel {
 public:
  // `live` holds the targets of all hosts that were up at `requested_at`.
  void Apply(PoolScheduler& owner, const std::set<std::string>& live,
             base::TimePoint requested_at, int64_t wall_ms);
  void Reset() { m_missing.clear(); }

 private:
  std::map<std::string, base::TimePoint> m_missing;
};

}  // namespace shallotwick::scheduling::testing
