#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "standin-cluster/cluster_standin.h"

namespace shallotwick::soak {

// When the scheduler processes were stopped by signals, and which of them sent
// an order.
class PauseLog {
 public:
  using Time = std::chrono::steady_clock::time_point;

  void Pause(size_t host, Time at);
  // Also for a process that has ended.
  void Resume(size_t host, Time at);
  // Notes that the process on `host` has owned the pool, under this version of
  // the owner's row.
  void AddOwner(uint64_t version, size_t host);

  // Returns for how long, between two points in time, the store was up and the
  // owner that sent an order with this fencing token was not stopped.
  std::chrono::steady_clock::duration GetActiveTime(
      uint64_t fence, Time from, Time until,
      const standin::ClusterStandin& cluster) const;

 private:
  struct Interval {
    Time from;
    Time until;
  };

  std::map<size_t, std::vector<Interval>> m_pauses;
  std::map<uint64_t, size_t> m_owners;
};

}  // namespace shallotwick::soak
