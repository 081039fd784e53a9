#include "hosts/capacity_demand.h"

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

// Returns the hosts that long-running tasks need for themselves.
int CountLongRunningHosts(const PoolLoad& load) {
  if (load.cores_per_host <= 0) {
    return load.min_hosts;
  }
  const double usable_cores_per_host = load.cores_per_host * kPackingEfficiency;
  const int by_cores = static_cast<int>(
      std::ceil(load.long_running_cores / usable_cores_per_host));
  return std::max(load.min_hosts, by_cores);
}

}  // namespace

std::string EncodeCapacityDemand(const CapacityDemand& record) {
  return nlohmann::json{
      {"timely", record.timely},     {"wanted", record.wanted},
      {"present", record.present},   {"busy", record.busy},
      {"reserved", record.reserved}, {"movable", record.movable},
      {"idle", record.idle}}
      .dump();
}

CapacityDemand DecodeCapacityDemand(const std::string& text) {
  try {
    const auto object = nlohmann::json::parse(text);
    CapacityDemand record;
    object.at("timely").get_to(record.timely);
    object.at("wanted").get_to(record.wanted);
    object.at("present").get_to(record.present);
    // Rows written by older builds lack these fields.
    record.busy = object.value("busy", 0);
    record.reserved = object.value("reserved", 0);
    record.movable = object.value("movable", 0);
    record.idle = object.value("idle", 0);
    if (std::min({record.timely, record.wanted, record.present, record.busy,
                  record.reserved, record.movable, record.idle}) < 0) {
      throw std::runtime_error("negative number of hosts");
    }
    return record;
  } catch (const nlohmann::json::exception& error) {
    throw std::runtime_error(error.what());
  }
}

int EstimateBusyHosts(const PoolLoad& load) {
  if (load.cores_per_host <= 0 || load.short_running_cores <= 0) {
    return 0;
  }
  const double usable_cores_per_host = load.cores_per_host * kPackingEfficiency;
  return CountLongRunningHosts(load) +
         static_cast<int>(
             std::ceil(load.short_running_cores / usable_cores_per_host));
}

int EstimateOnScheduleHosts(const PoolLoad& load) {
  if (load.cores_per_host <= 0) {
    return load.min_hosts;
  }
  const double usable_cores_per_host = load.cores_per_host * kPackingEfficiency;
  const double by_backlog = load.on_schedule_core_seconds /
                            kBacklogDrainSeconds / usable_cores_per_host;
  const double by_parallelism =
      load.on_schedule_waiting_cores / usable_cores_per_host;
  const double by_forecast = load.forecast_cores / usable_cores_per_host;
  const int timely = static_cast<int>(
      std::ceil(std::max(std::min(by_backlog, by_parallelism), by_forecast)));
  return std::max(CountLongRunningHosts(load), timely);
}

int EstimateWantedHosts(const PoolLoad& load) {
  if (load.cores_per_host <= 0) {
    return load.min_hosts;
  }
  const double usable_cores_per_host = load.cores_per_host * kPackingEfficiency;
  const double by_backlog = load.remaining_core_seconds / kBacklogDrainSeconds /
                            usable_cores_per_host;
  const double by_parallelism =
      (load.running_cores + load.waiting_cores) / usable_cores_per_host;
  const double by_forecast = load.forecast_cores / usable_cores_per_host;
  const int wanted = static_cast<int>(
      std::ceil(std::max({by_backlog, by_parallelism, by_forecast})));
  return std::max(CountLongRunningHosts(load), wanted);
}

}  // namespace shallotwick::hosts
