#include "ownership/pool_assignment.h"

#include <algorithm>
#include <tuple>

#include "base/stable_hash.h"

namespace shallotwick::ownership {
std::map<std::string, std::vector<Incarnation>> RankCandidates(
    const std::set<std::string>& pools,
    const std::map<std::string, OwnerRecord>& owners,
    const std::set<Incarnation>& live) {
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
  std::map<std::string, std::vector<Incarnation>> ranks;
  for (const std::string& pool : orphans) {
    std::vector<Incarnation> hosts(live.begin(), live.end());
    std::sort(hosts.begin(), hosts.end(),
              [&](const Incarnation& left, const Incarnation& right) {
                return std::make_tuple(owned[left],
                                       base::StableHash(pool + left.host)) <
                       std::make_tuple(owned[right],
                                       base::StableHash(pool + right.host));
              });
    if (!hosts.empty()) {
      ++owned[hosts.front()];
    }
    ranks[pool] = std::move(hosts);
  }
  return ranks;
}

}  // namespace shallotwick::ownership
