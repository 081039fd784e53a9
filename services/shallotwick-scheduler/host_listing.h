#pragma once

#include <compare>
#include <map>
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

  bool HasTarget(const std::string& target) const;
  // Returns whether the target's host is listed, and not with this target.
  bool ShowsHostWithout(const scheduling::TargetEntry& target) const;

  auto operator<=>(const HostListing&) const = default;
};

}  // namespace shallotwick::scheduler
