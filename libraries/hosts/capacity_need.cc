#include "hosts/capacity_need.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace shallotwick::hosts {
namespace {

// The remaining work is to be finished within this time. A job's objective
// leaves it about 1 s of waiting; the move of a host takes as long again.
constexpr double kBacklogDrainSeconds = 1.5;
// The part of a host's cores that tasks of mixed sizes can fill.
constexpr double kPackingEfficiency = 0.85;

}  // namespace

std::string EncodeNeedRecord(const NeedRecord& record) {
  return nlohmann::json{{"timely", record.timely},
                        {"wanted", record.wanted},
                        {"present", record.present},
                        {"busy", record.busy},
                        {"offers", record.offers}}
      .dump();
}

NeedRecord DecodeNeedRecord(const std::string& text) {
  try {
    const auto object = nlohmann::json::parse(text);
    NeedRecord record;
    object.at("timely").get_to(record.timely);
    object.at("wanted").get_to(record.wanted);
    object.at("present").get_to(record.present);
    // Rows written by older builds lack this field.
    record.busy = object.value("busy", 0);
    object.at("offers").get_to(record.offers);
    return record;
  } catch (const nlohmann::json::exception& error) {
    throw std::runtime_error(error.what());
  }
}

std::map<std::string, int> ShareHosts(
    const std::map<std::string, NeedRecord>& demands, int hosts) {
  int64_t timely = 0;
  for (const auto& [pool, demand] : demands) {
    timely += demand.timely;
  }
  std::map<std::string, int> shares;
  for (const auto& [pool, demand] : demands) {
    shares[pool] =
        timely == 0 || timely <= hosts
            ? demand.timely
            : static_cast<int>(int64_t{demand.timely} * hosts / timely);
  }
  return shares;
}

int EstimateBusyHosts(const PoolLoad& load) {
  if (load.cores_per_host <= 0 || load.short_running_cores <= 0) {
    return 0;
  }
  const double usable_cores_per_host = load.cores_per_host * kPackingEfficiency;
  return load.least_hosts +
         static_cast<int>(
             std::ceil(load.short_running_cores / usable_cores_per_host));
}

int EstimateTimelyHosts(const PoolLoad& load) {
  if (load.cores_per_host <= 0) {
    return load.least_hosts;
  }
  const double usable_cores_per_host = load.cores_per_host * kPackingEfficiency;
  const double by_backlog =
      load.timely_core_seconds / kBacklogDrainSeconds / usable_cores_per_host;
  const double by_parallelism =
      load.timely_waiting_cores / usable_cores_per_host;
  const double by_forecast = load.forecast_cores / usable_cores_per_host;
  const int timely = static_cast<int>(
      std::ceil(std::max(std::min(by_backlog, by_parallelism), by_forecast)));
  return std::max(load.least_hosts, timely);
}

int EstimateWantedHosts(const PoolLoad& load) {
  if (load.cores_per_host <= 0) {
    return load.least_hosts;
  }
  const double usable_cores_per_host = load.cores_per_host * kPackingEfficiency;
  const double by_backlog =
      load.open_core_seconds / kBacklogDrainSeconds / usable_cores_per_host;
  const double by_parallelism =
      (load.running_cores + load.waiting_cores) / usable_cores_per_host;
  const double by_forecast = load.forecast_cores / usable_cores_per_host;
  const int wanted = static_cast<int>(
      std::ceil(std::max({by_backlog, by_parallelism, by_forecast})));
  return std::max(load.least_hosts, wanted);
}

}  // namespace shallotwick::hosts
