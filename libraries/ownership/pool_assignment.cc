#include "ownership/pool_assignment.h"

#include <algorithm>
#include <tuple>

#include "base/stable_hash.h"

namespace shallotwick::ownership {
namespace {

// A host that names fewer cores is taken to have these.
constexpr double kLeastCores = 0.01;
// Watchers at the least: enough that some are left when a third of all hosts
// are cut off at once.
constexpr size_t kLeastWatchers = 12;

}  // namespace

std::set<Incarnation> SelectWatchers(const std::map<Incarnation, double>& live,
                                     size_t pools) {
  std::vector<std::tuple<double, uint64_t, Incarnation>> ranked;
  for (const auto& [host, cores] : live) {
    ranked.emplace_back(-cores, base::StableHash(host.host), host);
  }
  std::sort(ranked.begin(), ranked.end());
  ranked.resize(std::min(ranked.size(), std::max(kLeastWatchers, pools)));
  std::set<Incarnation> watchers;
  for (const auto& [cores, hash, host] : ranked) {
    watchers.insert(host);
  }
  return watchers;
}

std::map<std::string, std::vector<Incarnation>> RankCandidates(
    const std::set<std::string>& pools,
    const std::map<std::string, OwnerRecord>& owners,
    const std::map<Incarnation, double>& live) {
  std::map<Incarnation, int> owned;
  std::vector<std::string> orphans;
  for (const std::string& pool : pools) {
    const auto owner = owners.find(pool);
    const bool has_live_owner =
        owner != owners.end() && live.count(owner->second.holder) > 0;
    if (has_live_owner) {
      ++owned[owner->second.holder];
    } else {
      orphans.push_back(pool);
    }
  }
  const std::set<Incarnation> watchers = SelectWatchers(live, pools.size());
  std::map<std::string, std::vector<Incarnation>> ranks;
  for (const std::string& pool : orphans) {
    std::vector<std::tuple<bool, double, uint64_t, Incarnation>> ranked;
    for (const auto& [host, cores] : live) {
      ranked.emplace_back(watchers.count(host) == 0,
                          (owned[host] + 1) / std::max(cores, kLeastCores),
                          base::StableHash(pool + host.host), host);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<Incarnation> hosts;
    for (const auto& [is_remote, pools_per_core, hash, host] : ranked) {
      hosts.push_back(host);
    }
    if (!hosts.empty()) {
      ++owned[hosts.front()];
    }
    ranks[pool] = std::move(hosts);
  }
  return ranks;
}

}  // namespace shallotwick::ownership
