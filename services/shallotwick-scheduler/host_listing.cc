#include "host_listing.h"

#include <algorithm>

namespace shallotwick::scheduler {

bool HostListing::HasTarget(const std::string& target) const {
  return std::any_of(
      targets.begin(), targets.end(),
      [&target](const auto& entry) { return entry.second == target; });
}

bool HostListing::ShowsHostWithout(
    const scheduling::TargetEntry& target) const {
  const auto found = targets.find(target.host);
  return found != targets.end() && found->second != target.id;
}

}  // namespace shallotwick::scheduler
