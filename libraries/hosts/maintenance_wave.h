#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/runtime_clock.h"

namespace shallotwick::hosts {

// The operator's request to maintain a set of hosts.
struct MaintenanceWave {
  int64_t number = 0;
  std::vector<std::string> hosts;
  // Maximum number of hosts that may be down for this wave at the same time.
  int max_concurrent_hosts = 1;
  // Time limit, counted from the request; zero if the request has no time
  // limit.
  base::Duration complete_within{0};

  auto operator<=>(const MaintenanceWave&) const = default;
};

// The progress of a wave, shared by the owners of all pools. A host is entered
// in `running` before it is shut down, and is removed from it when it is up
// again.
struct WaveRecord {
  std::map<std::string, std::string> running;
  // The hosts in `running` whose maintenance for this wave the platform has
  // accepted. Only these can be done.
  std::set<std::string> accepted;
  std::set<std::string> done;
  // Hosts that left the fleet before they were maintained.
  std::set<std::string> gone;
  // When the first host was shut down, in milliseconds since the Unix epoch.
  int64_t began_ms = 0;

  auto operator<=>(const WaveRecord&) const = default;
};

// Records that a host in `running` is up again.
void MarkDone(WaveRecord& record, const std::string& host);

std::string EncodeWaveRecord(const WaveRecord& record);
// Throws std::runtime_error if the text is not a valid record.
WaveRecord DecodeWaveRecord(const std::string& text);

bool IsWaveCompleted(const MaintenanceWave& wave, const WaveRecord& record);
// Returns the hosts of the wave whose maintenance has not started.
std::vector<std::string> ListWaitingHosts(const MaintenanceWave& wave,
                                          const WaveRecord& record);
// Returns how many more hosts may be shut down now.
int CountFreeSlots(const MaintenanceWave& wave, const WaveRecord& record);

// Parameters that limit the pace of a wave while pools have a shortage of
// hosts.
struct WavePacing {
  // How long the maintenance of a host occupies a slot of the wave.
  base::Duration host_time{0};
  int64_t now_ms = 0;
  bool has_host_shortage = false;
};

// Returns how many more hosts may be shut down now. While pools have a shortage
// of hosts, returns no more than the wave needs to complete within its time
// limit, so that the remaining hosts serve the demand until it has passed.
int CountPacedFreeSlots(const MaintenanceWave& wave, const WaveRecord& record,
                        const WavePacing& pace);

// Returns how many hosts with running work an owner should drain at the same
// time for all of its `waiting` hosts to be maintained within the time limit.
// `waiting` counts the hosts with running work in the owner's pools;
// `host_time` is the time to drain a host and shut it down.
int CountBusyHostDrains(const MaintenanceWave& wave, const WaveRecord& record,
                        int waiting, base::Duration host_time, int64_t now_ms);

}  // namespace shallotwick::hosts
