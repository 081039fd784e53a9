#include "ownership/pool_assignment.h"

#include <algorithm>
#include <tuple>

#include "base/stable_hash.h"

namespace shallotwick::ownership {
namespace {

// A host that reports fewer cores is treated as having this many.
constexpr double kMinCores = 0.01;
// Minimum number of watchers: enough that some remain if a third of all hosts
// are disconnected at the same time.
constexpr size_t kMinWatchers = 12;

}  // namespace

std::set<Incarnation> SelectWatchers(const std::map<Incarnation, double>& live,
                                     size_t pools) {
  std::vector<std::tuple<double, uint64_t, Incarnation>> ranked;
  for (const auto& [host, cores] : live) {
    ranked.emplace_back(-cores, base::StableHash(host.host), host);
  }
  std::sort(ranked.begin(), ranked.end());
  ranked.resize(std::min(ranked.size(), std::max(kMinWatchers, pools)));
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
  std::map<Incarnation, int> owned_pool_counts;
  std::vector<std::string> unowned_pools;
  for (const std::string& pool : pools) {
    const auto owner = owners.find(pool);
    const bool has_live_owner =
        owner != owners.end() && live.count(owner->second.holder) > 0;
    if (has_live_owner) {
      ++owned_pool_counts[owner->second.holder];
    } else {
      unowned_pools.push_back(pool);
    }
  }
  const std::set<Incarnation> watchers = SelectWatchers(live, pools.size());
  std::map<std::string, std::vector<Incarnation>> ranks;
  for (const std::string& pool : unowned_pools) {
    std::vector<std::tuple<bool, double, uint64_t, Incarnation>> ranked;
    for (const auto& [host, cores] : live) {
      ranked.emplace_back(
          watchers.count(host) == 0,
          (owned_pool_counts[host] + 1) / std::max(cores, kMinCores),
          base::StableHash(pool + host.host), host);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<Incarnation> hosts;
    for (const auto& [is_not_watcher, pools_per_core, hash, host] : ranked) {
      hosts.push_back(host);
    }
    if (!hosts.empty()) {
      ++owned_pool_counts[hosts.front()];
    }
    ranks[pool] = std::move(hosts);
  }
  return ranks;
}

}  // namespace shallotwick::ownership
