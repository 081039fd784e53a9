#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/runtime_clock.h"

namespace shallotwick::hosts {

// The operator's request to maintain some hosts.
struct MaintenanceWave {
  int64_t number = 0;
  std::vector<std::string> hosts;
  // Hosts that may be down for it at a time.
  int most_at_once = 1;
  // From the request on; zero if it names no time.
  base::Duration complete_within{0};

  auto operator<=>(const MaintenanceWave&) const = default;
};

// How far a wave is, as all owners of pools share it. A host is entered under
// `running` before it is taken down, and leaves it when it is up again.
struct WaveRecord {
  std::map<std::string, std::string> running;
  std::set<std::string> done;
  // Hosts that left the fleet before their turn.
  std::set<std::string> gone;
  // When the first host was taken, in milliseconds since the Unix epoch.
  int64_t began_ms = 0;

  auto operator<=>(const WaveRecord&) const = default;
};

std::string EncodeWaveRecord(const WaveRecord& record);
// Throws std::runtime_error if the text is not a record.
WaveRecord DecodeWaveRecord(const std::string& text);

bool IsWaveCompleted(const MaintenanceWave& wave, const WaveRecord& record);
// Hosts of the wave that have not had their turn.
std::vector<std::string> ListWaitingHosts(const MaintenanceWave& wave,
                                          const WaveRecord& record);
// How many more hosts may go down now.
int CountFreePlaces(const MaintenanceWave& wave, const WaveRecord& record);

// What decides how fast a wave goes on while pools lack hosts.
struct WavePace {
  // How long a host is away, until its place can be given to the next one.
  base::Duration host_time{0};
  int64_t now_ms = 0;
  bool are_hosts_short = false;
};

// The same, but while pools lack hosts no more than the wave needs to end in
// time: its hosts are worth more at work until the demand has passed.
int CountFreePlacesAtPace(const MaintenanceWave& wave, const WaveRecord& record,
                          const WavePace& pace);

// How many of the `waiting` hosts of an owner's pools that have work on them it
// frees of it at a time, so that all have their turn in time. `host_time`:
// until a host is freed and down.
int CountBusyPreparations(const MaintenanceWave& wave, const WaveRecord& record,
                          int waiting, base::Duration host_time,
                          int64_t now_ms);

}  // namespace shallotwick::hosts
