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

// Planning parameters, which differ between organisations.
struct PlannerSettings {
  // The pool that new hosts are added to and that shortages are filled from
  // first.
  std::string spare_pool = "office";
  // Min duration of a failure before the host is replaced. Shorter failures
  // move no hosts.
  base::Duration replacement_delay = std::chrono::minutes(2);
  // Max duration of a reboot, after which the host counts as failed.
  base::Duration reboot_timeout = std::chrono::minutes(15);
  // Time after which the record of a failed host that the platform no longer
  // lists is removed.
  base::Duration removal_delay = std::chrono::minutes(30);

  auto operator<=>(const PlannerSettings&) const = default;
};

// The complete input of one planning pass.
struct FleetInput {
  document::EffectivePlan plan;
  std::map<std::string, records::HostRecord> hosts;
  std::map<std::string, storage::ListedHost> listed;
  // Draining hosts for which every gateway has acknowledged the drain with no
  // requests in flight.
  std::set<std::string> drained;
  // When each host was first observed as failed, rebooting or unlisted.
  std::map<std::string, base::TimePoint> state_entered_at;
  base::TimePoint now;
  int minute_of_day = 0;
};

}  // namespace shallotwick::fleet
