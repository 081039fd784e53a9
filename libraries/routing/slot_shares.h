#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace shallotwick::routing {

// Weight of a member for a resource, the same in every process.
uint64_t RendezvousWeight(const std::string& resource,
                          const std::string& member);

// The members in the order of their weight for a resource, heaviest first.
std::vector<std::string> OrderByRendezvous(
    const std::string& resource, const std::vector<std::string>& members);

// Divides the capacity of a resource among the members: as evenly as whole
// slots allow, the remainder to the heaviest ones. The shares of all members
// add up to the capacity, so that no one has to be asked.
int ShareOf(const std::string& resource, int capacity,
            const std::vector<std::string>& members, const std::string& member);

// Divides the slots that a member wants of a service among its hosts, at least
// `in_use` on each: evenly, the remainder to the hosts that weigh most for the
// member, so that members with few wants don't all want one slot everywhere.
std::map<std::string, int> SpreadWants(int wanted,
                                       const std::map<std::string, int>& in_use,
                                       const std::string& member);

}  // namespace shallotwick::routing
