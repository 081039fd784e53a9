#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "control/view_records.h"
#include "document/planning_document.h"
#include "fleet/transition_transaction.h"
#include "records/control_records.h"
#include "routing/routing_view.h"
#include "storage/table_service.h"

namespace shallotwick::controller {

// The controller's in-memory copy of the rows that only the lease holder
// writes. It is accurate while the lease is held and every commit got a
// response; otherwise it has to be loaded again.
class FleetMirror {
 public:
  // Reads all rows. Throws storage::Unavailable.
  static FleetMirror Load(storage::TableService& table);

  // Each of these commits one transaction, conditional on the fencing token,
  // and applies its effect to the copy. Returns false if the transaction did
  // not commit, in which case the copy is out of date. Throws
  // storage::Unavailable.
  bool CommitTransitions(storage::TableService& table, const std::string& token,
                         const std::vector<fleet::Transition>& transitions);
  bool CommitServices(storage::TableService& table, const std::string& token,
                      const control::ViewServicesRecord& services);
  bool CommitMembers(storage::TableService& table, const std::string& token,
                     const control::ViewMembersRecord& members);

  const std::map<std::string, records::HostRecord>& GetHosts() const {
    return m_hosts;
  }
  const control::ViewServicesRecord& GetServices() const { return m_services; }
  const control::ViewMembersRecord& GetMembers() const { return m_members; }
  const records::ViewHeadRecord& GetHead() const { return m_head; }
  routing::RoutingView MakeView() const;

 private:
  bool CommitViewRow(storage::TableService& table, const std::string& token,
                     const std::string& key, const std::string& value,
                     const records::ViewHeadRecord& head);
  void ApplyEffect(const fleet::TransitionEffect& effect, uint64_t generation);

  std::map<std::string, uint64_t> m_generations;
  std::map<std::string, records::HostRecord> m_hosts;
  std::map<std::string, records::PoolRecord> m_pools;
  records::ViewHeadRecord m_head;
  control::ViewServicesRecord m_services;
  control::ViewMembersRecord m_members;
};

}  // namespace shallotwick::controller
