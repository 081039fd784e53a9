#pragma once

#include <compare>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "ownership/session_watch.h"

namespace shallotwick::ownership {

// Who owns a pool, as stored. An empty holder has given it up.
struct OwnerRecord {
  Incarnation holder;
  // Counts the ownerships of the pool.
  int64_t term = 0;

  auto operator<=>(const OwnerRecord&) const = default;
};

// The hosts that watch all sessions closely, so that one of `pools` pools whose
// owner is gone is taken over at once: those with the most cores. If all hosts
// did, the readings would grow with the square of the hosts. Hosts that see the
// same rows agree.
std::set<Incarnation> SelectWatchers(const std::map<Incarnation, double>& live,
                                     size_t pools);

// Ranks the live hosts for each pool that has no live owner: the first should
// take it, the others after it if it does not. Gives a pool to the host that
// would have the most cores for each of its pools; hosts that see the same rows
// agree. Watchers come first, since the others hear of the loss only later.
// Pools with a live owner stay where they are, as each change costs a recovery.
// `live` gives the cores that each host may use.
std::map<std::string, std::vector<Incarnation>> RankCandidates(
    const std::set<std::string>& pools,
    const std::map<std::string, OwnerRecord>& owners,
    const std::map<Incarnation, double>& live);

}  // namespace shallotwick::ownership
