#pragma once

#include <compare>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "ownership/session_monitor.h"

namespace shallotwick::ownership {

// The stored owner of a pool. An empty holder means that the owner has released
// the pool.
struct OwnerRecord {
  Incarnation holder;
  // Increases with each change of ownership of the pool.
  int64_t term = 0;

  auto operator<=>(const OwnerRecord&) const = default;
};

// Selects the hosts that read all sessions frequently, so that a pool whose
// owner is gone is taken over without delay: those with the most cores, at
// least one for each of `pools` pools. If all hosts did so, the number of reads
// would grow with the square of the number of hosts. Hosts that see the same
// rows select the same watchers.
std::set<Incarnation> SelectWatchers(const std::map<Incarnation, double>& live,
                                     size_t pools);

// Ranks the live hosts for each pool that has no live owner: the first host
// should acquire the pool, the others after it if it does not. Assigns each
// pool to the host that would have the most cores for each of its pools; hosts
// that see the same rows compute the same ranks. Watchers rank first, since the
// other hosts detect the loss of an owner only later. Pools with a live owner
// are not reassigned, as each change of owner costs a recovery. `live` holds
// the number of cores that each host may use.
std::map<std::string, std::vector<Incarnation>> RankCandidates(
    const std::set<std::string>& pools,
    const std::map<std::string, OwnerRecord>& owners,
    const std::map<Incarnation, double>& live);

}  // namespace shallotwick::ownership
