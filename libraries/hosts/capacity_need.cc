#include "hosts/capacity_need.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace shallotwick::hosts {
namespace {

// The open work is to be done within this time. A job's objective leaves it
// about a second of waiting; the move of a host takes as long again.
constexpr double kWorkOffSeconds = 1.5;
// Of a host's cores, what tasks of mixed sizes can fill.
constexpr double kPackingShare = 0.85;

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
    // Rows of older builds lack it.
    record.busy = object.value("busy", 0);
    object.at("offers").get_to(record.offers);
    return record;
  } catch (const nlohmann::json::exception& error) {
    throw std::runtime_error(error.what());
  }
}

std::map<std::string, int> ShareHosts(
    const std::map<std::string, NeedRecord>& needs, int hosts) {
  int64_t timely = 0;
  for (const auto& [pool, need] : needs) {
    timely += need.timely;
  }
  std::map<std::string, int> shares;
  for (const auto& [pool, need] : needs) {
    shares[pool] =
        timely == 0 || timely <= hosts
            ? need.timely
            : static_cast<int>(int64_t{need.timely} * hosts / timely);
  }
  return shares;
}

int EstimateBusyHosts(const PoolLoad& load) {
  if (load.cores_per_host <= 0 || load.short_running_cores <= 0) {
    return 0;
  }
  const double usable = load.cores_per_host * kPackingShare;
  return load.least_hosts +
         static_cast<int>(std::ceil(load.short_running_cores / usable));
}

int EstimateTimelyHosts(const PoolLoad& load) {
  if (load.cores_per_host <= 0) {
    return load.least_hosts;
  }
  const double usable = load.cores_per_host * kPackingShare;
  const double by_work = load.timely_core_seconds / kWorkOffSeconds / usable;
  const double by_width = load.timely_waiting_cores / usable;
  const double by_forecast = load.forecast_cores / usable;
  const int timely = static_cast<int>(
      std::ceil(std::max(std::min(by_work, by_width), by_forecast)));
  return std::max(load.least_hosts, timely);
}

int EstimateWantedHosts(const PoolLoad& load) {
  if (load.cores_per_host <= 0) {
    return load.least_hosts;
  }
  const double usable = load.cores_per_host * kPackingShare;
  const double by_work = load.open_core_seconds / kWorkOffSeconds / usable;
  const double by_width = (load.running_cores + load.waiting_cores) / usable;
  const double by_forecast = load.forecast_cores / usable;
  const int wanted =
      static_cast<int>(std::ceil(std::max({by_work, by_width, by_forecast})));
  return std::max(load.least_hosts, wanted);
}

}  // namespace shallotwick::hosts
