#pragma once

#include <compare>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/runtime_clock.h"
#include "document/planning_document.h"
#include "records/host_record.h"
#include "storage/host_list.h"

namespace shallotwick::fleet {

// What weighs how much in decisions; the firms differ.
struct PlannerSettings {
  // The pool that new hosts enter and that shortages are filled from first.
  std::string spare_pool = "office";
  // A host that has failed for so long is replaced; a shorter failure moves
  // nothing.
  base::Duration replacement_delay = std::chrono::minutes(2);
  // A host that has not come back from a reboot for so long has failed.
  base::Duration reboot_limit = std::chrono::minutes(15);
  // A failed host that the platform no longer lists for so long is forgotten.
  base::Duration forget_delay = std::chrono::minutes(30);

  auto operator<=>(const PlannerSettings&) const = default;
};

// All that one planning pass looks at.
struct FleetInput {
  document::EffectivePlan plan;
  std::map<std::string, records::HostRecord> hosts;
  std::map<std::string, storage::ListedHost> listed;
  // Draining hosts that every gateway has acknowledged with nothing in flight.
  std::set<std::string> drained;
  // When each host was first seen failed, rebooting or unlisted.
  std::map<std::string, base::TimePoint> in_state_since;
  base::TimePoint now;
  int minute_of_day = 0;
};

}  // namespace shallotwick::fleet
