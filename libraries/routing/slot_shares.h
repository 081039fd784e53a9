#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace shallotwick::routing {

// Returns the weight of a member for a resource, which is the same in every
// process.
uint64_t RendezvousWeight(const std::string& resource,
                          const std::string& member);

// Returns the members in descending order of their weight for a resource.
std::vector<std::string> OrderByRendezvous(
    const std::string& resource, const std::vector<std::string>& members);

// Returns a member's share of the capacity of a resource: the slots are divided
// as evenly as possible, and the remainder goes to the members with the
// greatest weight. The shares of all members add up to the capacity, so that no
// communication is needed.
int ComputeShare(const std::string& resource, int capacity,
                 const std::vector<std::string>& members,
                 const std::string& member);

// Divides the slots that a member demands for a service among the service's
// hosts, at least `in_use` on each: evenly, with the remainder on the hosts
// that have the greatest weight for the member, so that members with a low
// demand don't all demand one slot on every host.
std::map<std::string, int> SpreadDemand(
    int wanted, const std::map<std::string, int>& in_use,
    const std::string& member);

}  // namespace shallotwick::routing
