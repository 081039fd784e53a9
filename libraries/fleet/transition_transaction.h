#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/fleet_plan.h"
#include "records/control_records.h"
#include "storage/table_service.h"

namespace shallotwick::fleet {

// Identifies the controller's tenure of the lease and the write in every
// transaction of a controller.
struct ControllerFence {
  std::string token;
  std::string write_id;

  auto operator<=>(const ControllerFence&) const = default;
};

// Contents of the rows that a set of transitions writes in one transaction.
struct TransitionEffect {
  records::ViewHeadRecord view_head;
  // Records of the pools that the transitions affect, with the updated sets of
  // unavailable hosts.
  std::map<std::string, records::PoolRecord> pools;
  // Host records to write, with the new view version; std::nullopt removes the
  // record.
  std::map<std::string, std::optional<records::HostRecord>> hosts;

  auto operator<=>(const TransitionEffect&) const = default;
};

// Computes what the transitions write: the host records, the sets of
// unavailable hosts of the affected pools, and the next version of the routing
// view.
TransitionEffect ComputeTransitionEffect(
    const std::vector<Transition>& transitions,
    const records::ViewHeadRecord& view_head,
    const std::map<std::string, records::PoolRecord>& pools);

// Builds the transaction that writes an effect. It commits only if the
// controller still holds the lease and none of the rows has changed, so that
// two controllers can't both use the same availability budget.
storage::Transaction MakeTransitionTransaction(
    const TransitionEffect& effect,
    const std::map<std::string, uint64_t>& generations,
    const ControllerFence& fence);

}  // namespace shallotwick::fleet
