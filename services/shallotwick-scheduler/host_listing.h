#pragma once

#include <compare>
#include <map>
#include <set>
#include <string>

#include "base/runtime_clock.h"
#include "scheduling/target_messages.h"

namespace shallotwick::scheduler {

// The platform's list of all hosts, which is read page by page.
struct HostListing {
  base::TimePoint requested_at;
  // The targets on the listed hosts, by host; empty for a host that is not up.
  std::map<std::string, std::string> targets;
  // Whether this list and the one before name the same hosts, each once.
  // Otherwise hosts that moved while the pages were read may have shifted
  // others out of the list.
  bool is_settled = false;

  // The hosts whose rows are malformed, and whether one of these rows does not
  // tell its target.
  std::set<std::string> malformed_hosts;
  bool lacks_targets = false;

  // Returns whether the target is listed, or may be that of a malformed row.
  bool MayHaveTarget(const scheduling::TargetEntry& target) const;
  // Returns whether the target's host is listed, and not with this target.
  bool ShowsHostWithout(const scheduling::TargetEntry& target) const;

  auto operator<=>(const HostListing&) const = default;
};

}  // namespace shallotwick::scheduler
