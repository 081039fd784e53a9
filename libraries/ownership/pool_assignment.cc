#include "ownership/pool_assignment.h"

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace shallotwick::ownership {
namespace {

// FNV-1a; the same on every host, which std::hash does not promise.
uint64_t Hash(const std::string& text) {
  uint64_t hash = 14695981039346656037U;
  for (char character : text) {
    hash = (hash ^ static_cast<unsigned char>(character)) * 1099511628211U;
  }
  return hash;
}

}  // namespace

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
                return std::make_tuple(owned[left], Hash(pool + left.host)) <
                       std::make_tuple(owned[right], Hash(pool + right.host));
              });
    if (!hosts.empty()) {
      ++owned[hosts.front()];
    }
    ranks[pool] = std::move(hosts);
  }
  return ranks;
}

}  // namespace shallotwick::ownership
