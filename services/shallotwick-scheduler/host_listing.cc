#include "host_listing.h"

#include <algorithm>

namespace shallotwick::scheduler {

bool HostListing::MayHaveTarget(const scheduling::TargetEntry& target) const {
  return lacks_targets || malformed_hosts.count(target.host) > 0 ||
         std::any_of(targets.begin(), targets.end(),
                     [&target](const auto& entry) {
                       return entry.second == target.id;
                     });
}

bool HostListing::ShowsHostWithout(
    const scheduling::TargetEntry& target) const {
  const auto found = targets.find(target.host);
  return found != targets.end() && found->second != target.id;
}

}  // namespace shallotwick::scheduler
