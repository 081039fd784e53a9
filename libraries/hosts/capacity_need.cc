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
  return nlohmann::json{{"hosts", record.hosts}, {"offers", record.offers}}
      .dump();
}

NeedRecord DecodeNeedRecord(const std::string& text) {
  try {
    const auto object = nlohmann::json::parse(text);
    NeedRecord record;
    object.at("hosts").get_to(record.hosts);
    object.at("offers").get_to(record.offers);
    return record;
  } catch (const nlohmann::json::exception& error) {
    throw std::runtime_error(error.what());
  }
}

int EstimateWantedHosts(const PoolLoad& load) {
  if (load.cores_per_host <= 0) {
    return load.least_hosts;
  }
  const double usable = load.cores_per_host * kPackingShare;
  const double by_work = load.open_core_seconds / kWorkOffSeconds / usable;
  const double by_width =
      (load.running_cores + load.waiting_cores) / usable;
  const double by_forecast = load.forecast_cores / usable;
  const int wanted =
      static_cast<int>(std::ceil(std::max({by_work, by_width, by_forecast})));
  return std::max(load.least_hosts, wanted);
}

}  // namespace shallotwick::hosts
