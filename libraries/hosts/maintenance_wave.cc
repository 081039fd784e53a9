#include "hosts/maintenance_wave.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace shallotwick::hosts {
namespace {

// Of the time that a wave has; the rest is for hosts that hold it up.
constexpr double kPlannedShare = 0.7;

// Freed of work at a time at the least.
constexpr int kLeastBusyPreparations = 2;

// How often a place of the wave can be given to another host until it should be
// over.
double CountPlannedRounds(const MaintenanceWave& wave, const WaveRecord& record,
                          base::Duration host_time, int64_t now_ms) {
  const auto within = std::chrono::duration_cast<std::chrono::milliseconds>(
      wave.complete_within * kPlannedShare);
  const int64_t began_ms = record.began_ms > 0 ? record.began_ms : now_ms;
  const auto left = std::chrono::milliseconds(began_ms - now_ms) + within;
  return std::floor(std::chrono::duration<double>(left) /
                    std::chrono::duration<double>(host_time));
}

}  // namespace

std::string EncodeWaveRecord(const WaveRecord& record) {
  return nlohmann::json{{"running", record.running},
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
    const bool had_turn = record.running.count(host) > 0 ||
                          record.done.count(host) > 0 ||
                          record.gone.count(host) > 0;
    if (!had_turn) {
      waiting.push_back(host);
    }
  }
  return waiting;
}

int CountFreePlaces(const MaintenanceWave& wave, const WaveRecord& record) {
  return std::max(0,
                  wave.most_at_once - static_cast<int>(record.running.size()));
}

int CountFreePlacesAtPace(const MaintenanceWave& wave, const WaveRecord& record,
                          const WavePace& pace) {
  const int free = CountFreePlaces(wave, record);
  if (!pace.are_hosts_short || wave.complete_within <= base::Duration(0)) {
    return free;
  }
  const double rounds =
      CountPlannedRounds(wave, record, pace.host_time, pace.now_ms);
  if (rounds < 1) {
    return free;
  }
  const auto running = static_cast<double>(record.running.size());
  const auto waiting =
      static_cast<double>(ListWaitingHosts(wave, record).size());
  const int planned = static_cast<int>(std::ceil((running + waiting) / rounds));
  return std::clamp(planned - static_cast<int>(record.running.size()), 0, free);
}

int CountBusyPreparations(const MaintenanceWave& wave, const WaveRecord& record,
                          int waiting, base::Duration host_time,
                          int64_t now_ms) {
  if (wave.complete_within <= base::Duration(0)) {
    return kLeastBusyPreparations;
  }
  const double rounds = CountPlannedRounds(wave, record, host_time, now_ms);
  const int planned =
      rounds < 1 ? waiting : static_cast<int>(std::ceil(waiting / rounds));
  return std::max(kLeastBusyPreparations, planned);
}

}  // namespace shallotwick::hosts
