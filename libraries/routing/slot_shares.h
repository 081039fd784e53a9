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

}  // namespace shallotwick::routing
