#include "hosts/maintenance_wave.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace shallotwick::hosts {

std::string EncodeWaveRecord(const WaveRecord& record) {
  return nlohmann::json{
      {"running", record.running}, {"done", record.done}, {"gone", record.gone}}
      .dump();
}

WaveRecord DecodeWaveRecord(const std::string& text) {
  try {
    const auto object = nlohmann::json::parse(text);
    WaveRecord record;
    object.at("running").get_to(record.running);
    object.at("done").get_to(record.done);
    object.at("gone").get_to(record.gone);
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

}  // namespace shallotwick::hosts
