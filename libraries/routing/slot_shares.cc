#include "routing/slot_shares.h"

#include <algorithm>
#include <utility>

namespace shallotwick::routing {
namespace {

// FNV-1a followed by a finalizer, so that similar names get unrelated weights.
uint64_t HashText(const std::string& text) {
  constexpr uint64_t kOffset = 14695981039346656037ULL;
  constexpr uint64_t kPrime = 1099511628211ULL;
  uint64_t hash = kOffset;
  for (unsigned char byte : text) {
    hash = (hash ^ byte) * kPrime;
  }
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33;
  return hash;
}

}  // namespace

uint64_t RendezvousWeight(const std::string& resource,
                          const std::string& member) {
  return HashText(resource + '\n' + member);
}

std::vector<std::string> OrderByRendezvous(
    const std::string& resource, const std::vector<std::string>& members) {
  std::vector<std::pair<uint64_t, std::string>> weighted;
  weighted.reserve(members.size());
  for (const std::string& member : members) {
    weighted.emplace_back(RendezvousWeight(resource, member), member);
  }
  std::sort(weighted.rbegin(), weighted.rend());
  std::vector<std::string> order;
  order.reserve(weighted.size());
  for (auto& [weight, member] : weighted) {
    order.push_back(std::move(member));
  }
  return order;
}

int ComputeShare(const std::string& resource, int capacity,
                 const std::vector<std::string>& members,
                 const std::string& member) {
  if (members.empty()) {
    return 0;
  }
  const int count = static_cast<int>(members.size());
  const std::vector<std::string> order = OrderByRendezvous(resource, members);
  const auto found = std::find(order.begin(), order.end(), member);
  if (found == order.end()) {
    return 0;
  }
  const int rank = static_cast<int>(found - order.begin());
  return capacity / count + (rank < capacity % count ? 1 : 0);
}

std::map<std::string, int> SpreadDemand(
    int wanted, const std::map<std::string, int>& in_use,
    const std::string& member) {
  std::map<std::string, int> demand_by_host = in_use;
  for (const auto& [host, count] : in_use) {
    wanted -= count;
  }
  std::vector<std::pair<uint64_t, std::string>> order;
  for (const auto& [host, count] : in_use) {
    order.emplace_back(RendezvousWeight(member, host), host);
  }
  std::sort(order.rbegin(), order.rend());
  // Raises the hosts to one slot, then two, and so on, so that the least used
  // hosts are raised first.
  for (int slots_per_host = 1; wanted > 0 && !order.empty(); ++slots_per_host) {
    for (const auto& [weight, host] : order) {
      int& demand = demand_by_host[host];
      if (wanted > 0 && demand < slots_per_host) {
        ++demand;
        --wanted;
      }
    }
  }
  return demand_by_host;
}

}  // namespace shallotwick::routing
