#include "hosts/maintenance_wave.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace shallotwick::hosts {
namespace {

// The fraction of the wave's time limit that is planned for; the rest allows
// for hosts that delay the wave.
constexpr double kPlannedFraction = 0.7;

// Minimum number of hosts with running work that are drained at the same time.
constexpr int kMinConcurrentDrains = 2;

// Returns how many hosts can use one slot of the wave in sequence before the
// planned end of the wave.
double CountPlannedCycles(const MaintenanceWave& wave, const WaveRecord& record,
                          base::Duration host_time, int64_t now_ms) {
  const auto planned_time =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          wave.complete_within * kPlannedFraction);
  const int64_t began_ms = record.began_ms > 0 ? record.began_ms : now_ms;
  const auto remaining =
      std::chrono::milliseconds(began_ms - now_ms) + planned_time;
  return std::floor(std::chrono::duration<double>(remaining) /
                    std::chrono::duration<double>(host_time));
}

}  // namespace

void MarkDone(WaveRecord& record, const std::string& host) {
  record.running.erase(host);
  record.accepted.erase(host);
  record.done.insert(host);
}

std::string EncodeWaveRecord(const WaveRecord& record) {
  return nlohmann::json{{"running", record.running},
                        {"accepted", record.accepted},
                        {"done", record.done},
                        {"gone", record.gone},
                        {"began_ms", record.began_ms}}
      .dump();
}

WaveRecord DecodeWaveRecord(const std::string& text) {
  try {
    const auto object = nlohmann::json::parse(text);
    WaveRecord record;
    object.at("running").get_to(record.running);
    // Records of earlier versions lack it.
    record.accepted = object.value("accepted", record.accepted);
    object.at("done").get_to(record.done);
    object.at("gone").get_to(record.gone);
    record.began_ms = object.value("began_ms", int64_t{0});
    return record;
  } catch (const nlohmann::json::exception& error) {
    throw std::runtime_error(error.what());
  }
}

bool IsWaveCompleted(const MaintenanceWave& wave, const WaveRecord& record) {
  return record.running.empty() && ListWaitingHosts(wave, record).empty();
}

std::vector<std::string> ListWaitingHosts(const MaintenanceWave& wave,
                                          const WaveRecord& record) {
  std::vector<std::string> waiting;
  for (const std::string& host : wave.hosts) {
    const bool is_handled = record.running.count(host) > 0 ||
                            record.done.count(host) > 0 ||
                            record.gone.count(host) > 0;
    if (!is_handled) {
      waiting.push_back(host);
    }
  }
  return waiting;
}

int CountFreeSlots(const MaintenanceWave& wave, const WaveRecord& record) {
  return std::max(
      0, wave.max_concurrent_hosts - static_cast<int>(record.running.size()));
}

int CountPacedFreeSlots(const MaintenanceWave& wave, const WaveRecord& record,
                        const WavePacing& pace) {
  const int free_slots = CountFreeSlots(wave, record);
  if (!pace.has_host_shortage || wave.complete_within <= base::Duration(0)) {
    return free_slots;
  }
  const double cycles =
      CountPlannedCycles(wave, record, pace.host_time, pace.now_ms);
  if (cycles < 1) {
    return free_slots;
  }
  const auto running = static_cast<double>(record.running.size());
  const auto waiting =
      static_cast<double>(ListWaitingHosts(wave, record).size());
  const int planned = static_cast<int>(std::ceil((running + waiting) / cycles));
  return std::clamp(planned - static_cast<int>(record.running.size()), 0,
                    free_slots);
}

int CountBusyHostDrains(const MaintenanceWave& wave, const WaveRecord& record,
                        int waiting, base::Duration host_time, int64_t now_ms) {
  if (wave.complete_within <= base::Duration(0)) {
    return kMinConcurrentDrains;
  }
  const double cycles = CountPlannedCycles(wave, record, host_time, now_ms);
  const int planned =
      cycles < 1 ? waiting : static_cast<int>(std::ceil(waiting / cycles));
  return std::max(kMinConcurrentDrains, planned);
}

}  // namespace shallotwick::hosts
