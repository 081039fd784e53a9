#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace shallotwick::hosts {

// The operator's request to maintain some hosts.
struct MaintenanceWave {
  int64_t number = 0;
  std::vector<std::string> hosts;
  // Hosts that may be down for it at a time.
  int most_at_once = 1;

  auto operator<=>(const MaintenanceWave&) const = default;
};

// How far a wave is, as all owners of pools share it. A host is entered under
// `running` before it is taken down, and leaves it when it is up again.
struct WaveRecord {
  std::map<std::string, std::string> running;
  std::set<std::string> done;
  // Hosts that left the fleet before their turn.
  std::set<std::string> gone;

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

}  // namespace shallotwick::hosts
