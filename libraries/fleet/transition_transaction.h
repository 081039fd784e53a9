#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/fleet_plan.h"
#include "records/control_records.h"
#include "storage/table_service.h"

namespace shallotwick::fleet {

// The fencing that every transaction of a controller carries.
struct ControllerFence {
  std::string token;
  std::string write_id;

  auto operator<=>(const ControllerFence&) const = default;
};

// The rows' contents that some transitions write together.
struct TransitionEffect {
  records::ViewHeadRecord view_head;
  // Pools whose set of unavailable hosts changes.
  std::map<std::string, records::PoolRecord> pools;
  // Hosts as written, with the new view version; without a value a host is
  // forgotten.
  std::map<std::string, std::optional<records::HostRecord>> hosts;

  auto operator<=>(const TransitionEffect&) const = default;
};

// Works out what transitions write: the hosts' rows, the unavailable sets of
// the pools concerned, and the next version of the routing view.
TransitionEffect MakeEffect(
    const std::vector<Transition>& transitions,
    const records::ViewHeadRecord& view_head,
    const std::map<std::string, records::PoolRecord>& pools);

// Makes the one transaction of an effect. It commits only while the lease is
// the controller's and none of the rows has changed, so that two controllers
// can't both spend the same budget.
storage::Transaction MakeTransitionTransaction(
    const TransitionEffect& effect,
    const std::map<std::string, uint64_t>& generations,
    const ControllerFence& fence);

}  // namespace shallotwick::fleet
