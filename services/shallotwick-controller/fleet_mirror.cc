#include "fleet_mirror.h"

#include <nlohmann/json.hpp>

#include "base/random_identifier.h"
#include "control/row_set.h"
#include "records/keys.h"
#include "storage/commit_settler.h"

namespace shallotwick::controller {

FleetMirror FleetMirror::Load(storage::TableService& table) {
  const control::RowSet rows(table.Read(storage::ReadRequest{
      {}, {records::kHostPrefix, records::kPoolPrefix, records::kViewPrefix}}));
  FleetMirror mirror;
  mirror.m_generations = rows.GetGenerations();
  mirror.m_hosts = rows.FindAll<records::HostRecord>(records::kHostPrefix);
  mirror.m_pools = rows.FindAll<records::PoolRecord>(records::kPoolPrefix);
  mirror.m_head = rows.Find<records::ViewHeadRecord>(records::kViewHeadKey)
                      .value_or(records::ViewHeadRecord{});
  mirror.m_services =
      rows.Find<control::ViewServicesRecord>(records::kViewServicesKey)
          .value_or(control::ViewServicesRecord{});
  mirror.m_members =
      rows.Find<control::ViewMembersRecord>(records::kViewMembersKey)
          .value_or(control::ViewMembersRecord{});
  return mirror;
}

bool FleetMirror::CommitTransitions(
    storage::TableService& table, const std::string& token,
    const std::vector<fleet::Transition>& transitions) {
  const fleet::TransitionEffect effect =
      fleet::ComputeTransitionEffect(transitions, m_head, m_pools);
  const storage::Transaction transaction = fleet::MakeTransitionTransaction(
      effect, m_generations,
      fleet::ControllerFence{token, base::MakeRandomIdentifier()});
  const storage::CommitResult result =
      storage::CommitAndResolve(table, transaction);
  if (result.status != storage::CommitStatus::kCommitted) {
    return false;
  }
  ApplyEffect(effect, result.generation);
  return true;
}

void FleetMirror::ApplyEffect(const fleet::TransitionEffect& effect,
                              uint64_t generation) {
  m_head = effect.view_head;
  m_generations[records::kViewHeadKey] = generation;
  for (const auto& [name, pool] : effect.pools) {
    m_pools[name] = pool;
    m_generations[records::PoolKey(name)] = generation;
  }
  for (const auto& [name, host] : effect.hosts) {
    if (host) {
      m_hosts[name] = *host;
      m_generations[records::HostKey(name)] = generation;
    } else {
      m_hosts.erase(name);
      m_generations.erase(records::HostKey(name));
    }
  }
}

bool FleetMirror::CommitServices(storage::TableService& table,
                                 const std::string& token,
                                 const control::ViewServicesRecord& services) {
  const records::ViewHeadRecord head{m_head.version + 1,
                                     services.document_version};
  if (!CommitViewRow(table, token, records::kViewServicesKey,
                     nlohmann::json(services).dump(), head)) {
    return false;
  }
  m_services = services;
  return true;
}

bool FleetMirror::CommitMembers(storage::TableService& table,
                                const std::string& token,
                                const control::ViewMembersRecord& members) {
  const records::ViewHeadRecord head{m_head.version + 1,
                                     m_head.document_version};
  if (!CommitViewRow(table, token, records::kViewMembersKey,
                     nlohmann::json(members).dump(), head)) {
    return false;
  }
  m_members = members;
  return true;
}

bool FleetMirror::CommitViewRow(storage::TableService& table,
                                const std::string& token,
                                const std::string& key,
                                const std::string& value,
                                const records::ViewHeadRecord& head) {
  storage::Transaction transaction;
  transaction.write_id = base::MakeRandomIdentifier();
  transaction.conditions = {
      storage::Condition::FieldIs(records::kControllerLeaseKey, "token", token),
      storage::Condition::GenerationIs(key, m_generations[key]),
      storage::Condition::GenerationIs(records::kViewHeadKey,
                                       m_generations[records::kViewHeadKey])};
  transaction.writes = {{key, value},
                        {records::kViewHeadKey, nlohmann::json(head).dump()}};
  const storage::CommitResult result =
      storage::CommitAndResolve(table, transaction);
  if (result.status != storage::CommitStatus::kCommitted) {
    return false;
  }
  m_generations[key] = result.generation;
  m_generations[records::kViewHeadKey] = result.generation;
  m_head = head;
  return true;
}

routing::RoutingView FleetMirror::MakeView() const {
  routing::RoutingView view;
  view.version = m_head.version;
  view.document_version = m_head.document_version;
  for (const auto& [name, host] : m_hosts) {
    view.hosts[name] = routing::MakeHostRoute(host);
  }
  view.services = m_services.services;
  view.quotas = m_services.quotas;
  view.members = m_members.members;
  return view;
}

}  // namespace shallotwick::controller
