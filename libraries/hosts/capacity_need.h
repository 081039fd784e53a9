#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace shallotwick::hosts {

// A pool's request for hosts, answered by offers of other pools' owners.
struct NeedRecord {
  // Hosts that the pool lacks, those on offer included.
  int hosts = 0;
  // By host: the pool that it comes from.
  std::map<std::string, std::string> offers;

  int CountUnmet() const {
    return hosts - static_cast<int>(offers.size());
  }

  auto operator<=>(const NeedRecord&) const = default;
};

std::string EncodeNeedRecord(const NeedRecord& record);
// Throws std::runtime_error if the text is not a record.
NeedRecord DecodeNeedRecord(const std::string& text);

// What is known of a pool's load at one moment.
struct PoolLoad {
  // Cores of the tasks that run, and of those that could start now.
  double running_cores = 0;
  double waiting_cores = 0;
  // Work of all that is not done yet, in core-seconds.
  double open_core_seconds = 0;
  // What arriving work will keep busy once a host that is called now is there.
  double forecast_cores = 0;
  // Hosts that tasks which last need for themselves.
  int least_hosts = 0;
  double cores_per_host = 0;

  auto operator<=>(const PoolLoad&) const = default;
};

// How many hosts a pool should have: enough to work off what is open within
// the time that jobs can wait, and no more than its tasks can use at once.
int EstimateWantedHosts(const PoolLoad& load);

}  // namespace shallotwick::hosts
