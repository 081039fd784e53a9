#include "capacity_broker.h"

#include <fmt/core.h>

#include <algorithm>
#include <iterator>
#include <stdexcept>
#include <utility>

#include "base/log.h"
#include "base/log_catalogue.h"

namespace shallotwick::scheduler {
namespace {

constexpr char kDemandPrefix[] = "need/";
// Each owner writes only the record of its own pool. With one record a
// recipient, owners that gave hosts to one pool made each other's writes
// conflict, and the slower ones kept idle hosts for seconds.
constexpr char kTransfersPrefix[] = "transfers/";
// Minimum interval between writes of a pool's demand.
constexpr auto kDemandWritePeriod = std::chrono::milliseconds(100);
constexpr auto kSlowStoreDemandWritePeriod = std::chrono::milliseconds(1'000);
// Minimum time for which a surplus must last before hosts are switched off:
// lulls of this length are common in a queue's demand.
constexpr auto kMinSurplusDuration = std::chrono::milliseconds(2'000);
// A demand that grows by at least kMinRise hosts between two observations is
// rising. It counts as rising for kRisingDuration, by the end of which a
// standby host activated at the end of the rise would be available.
constexpr int kMinRise = 2;
constexpr auto kRisingDuration = std::chrono::milliseconds(1'500);
// Time from the end of a host's move until its target has started, is
// registered and has accepted the owner's fencing token.
constexpr auto kArrivalTime = std::chrono::milliseconds(500);
// Every owner has read a newer list of hosts by this time after a transfer.
constexpr auto kTransferVisibleTime = std::chrono::milliseconds(1'000);

hosts::CapacityDemand ReadDemand(const storage::VersionedRow& row) {
  if (row.version == storage::kNoVersion) {
    return {};
  }
  try {
    return hosts::DecodeCapacityDemand(row.value);
  } catch (const std::runtime_error& error) {
    base::Log(base::events::kStoreContentInvalid,
              {{"row", row.key.key}, {"fault", error.what()}});
    return {};
  }
}

hosts::HostTransfers ReadTransfers(const storage::VersionedRow& row) {
  try {
    return hosts::DecodeHostTransfers(row.value);
  } catch (const std::runtime_error& error) {
    base::Log(base::events::kStoreContentInvalid,
              {{"row", row.key.key}, {"fault", error.what()}});
    return {};
  }
}

// Returns nothing if the list does not say what all hosts offer.
scheduling::StepFit::Shapes CountShapes(
    const std::map<std::string, hosts::FleetHost>& hosts) {
  scheduling::StepFit::Shapes shapes;
  for (const auto& [name, host] : hosts) {
    if (host.cpu_milli == 0 || host.memory_mb == 0) {
      return {};
    }
    ++shapes[{{host.cpu_milli, host.memory_mb, host.accelerators},
              host.labels}];
  }
  return shapes;
}

bool IsOn(const hosts::FleetHost& host) {
  return host.state == hosts::HostState::kUp ||
         host.state == hosts::HostState::kMoving;
}

}  // namespace

CapacityBroker::CapacityBroker(hosts::HostOperations& operations,
                               HostLedger& ledger, base::Duration move_time)
    : m_operations(operations), m_ledger(ledger), m_move_time(move_time) {}

void CapacityBroker::RebalanceHosts(base::TimePoint now) {
  if (!m_ledger.IsLoaded() || m_standby_pools.empty()) {
    return;
  }
  m_accepted_operations.Resolve(
      m_ledger, [this](const hosts::FleetHost& host, bool has_target_ended) {
        OnTransferResolved(host, has_target_ended);
      });
  m_pending_transfers = ReadPendingTransfers();
  Pools pools = ReadPools();
  TrackDemands(pools, now);
  std::map<std::string, PoolView> views;
  const auto own_pools = m_get_pools();
  if (std::exchange(m_fleet_list_time, m_ledger.GetListTime()) !=
      m_ledger.GetListTime()) {
    const auto shapes = CountShapes(m_ledger.GetHosts());
    for (const auto& [pool, runner] : own_pools) {
      runner->GetScheduler().SetFleet(shapes);
    }
  }
  for (const auto& [pool, runner] : own_pools) {
    const PoolView view = MeasurePool(pool, *runner, now);
    LogChange(pool, view);
    WriteDemand(pool, view.demand, now);
    RemoveVisibleTransfers(pool, now);
    if (m_standby_pools.count(pool) == 0) {
      pools[pool].demand = view.demand;
      views[pool] = view;
    }
  }
  const std::vector<std::string> standby = FindStandbyHosts(now);
  const hosts::CapacityPlan plan =
      hosts::PlanCapacity(pools, static_cast<int>(standby.size()));
  for (const auto& [pool, view] : views) {
    PoolRunner& runner = *own_pools.at(pool);
    ActivateStandbyHosts(pool, plan, standby);
    CordonHostsToTransfer(pool, runner, plan.CountTransfersFrom(pool));
    TransferIdleHosts(pool, runner, plan, now);
    SwitchOffSurplusHosts(pool, runner, view, pools, now);
  }
}

std::vector<std::string> CapacityBroker::FindStandbyHosts(
    base::TimePoint now) const {
  std::vector<std::string> standby;
  for (const auto& [name, host] : m_ledger.GetHosts()) {
    const bool can_activate = m_standby_pools.count(host.pool) > 0 &&
                              m_pending_transfers.count(name) == 0 &&
                              host.state == hosts::HostState::kUp &&
                              !m_is_reserved(name) &&
                              m_ledger.IsFree(name, now);
    if (can_activate) {
      standby.push_back(name);
    }
  }
  return standby;
}

// Standby hosts run nothing, so the owner of any pool may activate them without
// involving the owner of the standby pool.
void CapacityBroker::ActivateStandbyHosts(const std::string& pool,
                                          const hosts::CapacityPlan& plan,
                                          std::vector<std::string> standby) {
  const auto own = plan.activations.find(pool);
  if (own == plan.activations.end()) {
    return;
  }
  // Owners that activate hosts at the same time take different ones.
  int first = 0;
  for (auto other = plan.activations.begin(); other != own; ++other) {
    first += other->second;
  }
  if (first < static_cast<int>(standby.size())) {
    std::rotate(standby.begin(), std::next(standby.begin(), first),
                standby.end());
  }
  standby.resize(std::min(standby.size(), static_cast<size_t>(own->second)));
  hosts::HostTransfers transfers;
  for (const std::string& name : standby) {
    transfers[name] = {m_ledger.GetHosts().at(name).pool, pool};
  }
  OrderTransfers(pool, std::move(transfers));
}

void CapacityBroker::LogChange(const std::string& pool, const PoolView& view) {
  hosts::CapacityDemand& logged = m_last_logged[pool];
  if (logged.wanted == view.demand.wanted &&
      logged.present == view.demand.present) {
    return;
  }
  logged = view.demand;
  base::Log(base::events::kPoolCapacity,
            {{"pool", pool},
             {"timely", std::to_string(view.demand.timely)},
             {"busy", std::to_string(view.demand.busy)},
             {"wanted", std::to_string(view.demand.wanted)},
             {"present", std::to_string(view.demand.present)},
             {"idle", std::to_string(view.demand.idle)},
             {"running_cores", fmt::format("{:.0f}", view.running_cores)},
             {"waiting_cores", fmt::format("{:.0f}", view.waiting_cores)},
             {"usable_cores", fmt::format("{:.0f}", view.usable_cores)}});
}

CapacityBroker::PoolView CapacityBroker::MeasurePool(
    const std::string& pool, PoolRunner& runner, base::TimePoint now) const {
  PoolView view;
  for (const auto& [name, host] : m_ledger.GetHosts()) {
    view.cores_per_host = std::max(view.cores_per_host,
                                   static_cast<double>(host.cpu_milli) / 1'000);
    if (host.pool != pool || !IsOn(host) ||
        m_pending_transfers.count(name) > 0) {
      continue;
    }
    if (m_is_reserved(name)) {
      ++view.demand.reserved;
      continue;
    }
    ++view.demand.present;
    if (IsMovable(pool, runner, host) && m_ledger.IsFree(name, now)) {
      ++view.demand.movable;
      view.demand.idle +=
          runner.GetScheduler().CountRuns(host.target) == 0 ? 1 : 0;
    }
  }
  if (m_standby_pools.count(pool) > 0) {
    return view;
  }
  hosts::PoolLoad load = runner.GetScheduler().EstimateLoad(
      base::RuntimeClock::now(), m_get_unix_ms());
  load.forecast_cores = runner.ForecastCores(m_move_time + kArrivalTime);
  load.cores_per_host = view.cores_per_host;
  view.running_cores = load.running_cores;
  view.waiting_cores = load.waiting_cores;
  view.usable_cores = load.usable_cores;
  view.demand.busy = hosts::EstimateBusyHosts(load);
  view.demand.timely = hosts::EstimateOnScheduleHosts(load);
  view.demand.wanted =
      std::max(view.demand.timely, hosts::EstimateWantedHosts(load));
  return view;
}

void CapacityBroker::WriteDemand(const std::string& pool,
                                 const hosts::CapacityDemand& demand,
                                 base::TimePoint now) {
  const storage::VersionedRow row = m_ledger.GetSharedRow(kDemandPrefix + pool);
  base::TimePoint& written = m_demand_written_at[pool];
  const base::Duration period =
      m_is_store_slow() ? kSlowStoreDemandWritePeriod : kDemandWritePeriod;
  const bool is_due = now >= written + period && demand != ReadDemand(row);
  if (is_due) {
    written = now;
    m_ledger.WriteSharedRow(row, hosts::EncodeCapacityDemand(demand));
  }
}

hosts::HostTransfers CapacityBroker::ReadPendingTransfers() const {
  hosts::HostTransfers pending;
  for (const storage::VersionedRow& row :
       m_ledger.ListSharedRows(kTransfersPrefix)) {
    for (const auto& [name, transfer] : ReadTransfers(row)) {
      const auto host = m_ledger.GetHosts().find(name);
      if (host != m_ledger.GetHosts().end() &&
          host->second.pool == transfer.from) {
        pending[name] = transfer;
      }
    }
  }
  return pending;
}

const std::string& CapacityBroker::GetPool(const hosts::FleetHost& host) const {
  const auto transfer = m_pending_transfers.find(host.name);
  return transfer == m_pending_transfers.end() ? host.pool
                                               : transfer->second.to;
}

CapacityBroker::Pools CapacityBroker::ReadPools() const {
  const std::string prefix = kDemandPrefix;
  Pools pools;
  for (const storage::VersionedRow& row : m_ledger.ListSharedRows(prefix)) {
    const std::string pool = row.key.key.substr(prefix.size());
    if (m_standby_pools.count(pool) == 0) {
      pools[pool].demand = ReadDemand(row);
      pools[pool].supplied = -pools[pool].demand.reserved;
    }
  }
  for (const auto& [name, host] : m_ledger.GetHosts()) {
    const auto pool = pools.find(GetPool(host));
    if (pool != pools.end() && IsOn(host)) {
      ++pool->second.supplied;
    }
  }
  return pools;
}

void CapacityBroker::CordonHostsToTransfer(const std::string& pool,
                                           PoolRunner& runner, int count) {
  std::vector<std::pair<size_t, std::string>> candidates;
  for (const auto& [name, host] : m_ledger.GetHosts()) {
    if (host.pool == pool && !m_is_reserved(name) &&
        IsMovable(pool, runner, host)) {
      candidates.emplace_back(runner.GetScheduler().CountRuns(host.target),
                              name);
    }
  }
  std::sort(candidates.begin(), candidates.end());
  HostTargets to_cordon;
  for (const auto& [runs, name] : candidates) {
    if (static_cast<int>(to_cordon.size()) < count) {
      to_cordon[name] = m_ledger.GetHosts().at(name).target;
    }
  }
  ReleaseHosts(pool, runner, to_cordon);
  for (const auto& [name, target] : to_cordon) {
    SetCordoned(pool, target, true);
  }
  m_cordoned_for_transfer[pool] = std::move(to_cordon);
}

std::set<std::string> CapacityBroker::ListRecordedTransfers(
    const std::string& pool) const {
  std::set<std::string> hosts;
  for (const storage::VersionedRow& row :
       m_ledger.ListSharedRows(kTransfersPrefix)) {
    for (const auto& [host, transfer] : ReadTransfers(row)) {
      if (transfer.from == pool) {
        hosts.insert(host);
      }
    }
  }
  return hosts;
}

bool CapacityBroker::IsOrdered(const std::string& host) const {
  return std::any_of(
      m_transfers.begin(), m_transfers.end(),
      [&host](const auto& entry) { return entry.second.count(host) > 0; });
}

void CapacityBroker::ReleaseHosts(const std::string& pool,
                                  const PoolRunner& runner,
                                  const HostTargets& to_cordon) {
  HostTargets& to_release = m_to_release[pool];
  to_release.merge(m_cordoned_for_transfer[pool]);
  std::erase_if(to_release, [&](const auto& entry) {
    const auto& [name, target] = entry;
    const bool is_gone = runner.GetScheduler().GetTargets().count(target) == 0;
    // The wave releases a reserved host.
    if (is_gone || to_cordon.count(name) > 0 || m_is_reserved(name)) {
      return true;
    }
    // A host that the list lacks may be moving, and its transfer is shown only
    // once it is written.
    const auto host = m_ledger.GetHosts().find(name);
    if (host == m_ledger.GetHosts().end() || IsOrdered(name) ||
        m_pending_transfers.count(name) > 0) {
      return false;
    }
    if (host->second.pool == pool) {
      SetLeaving(pool, target, false);
    }
    return true;
  });
}

void CapacityBroker::TransferIdleHosts(const std::string& pool,
                                       const PoolRunner& runner,
                                       const hosts::CapacityPlan& plan,
                                       base::TimePoint now) {
  const auto recipients = plan.transfers.find(pool);
  if (recipients == plan.transfers.end()) {
    return;
  }
  const std::vector<std::string> idle = FindIdleHosts(pool, runner, now);
  hosts::HostTransfers transfers;
  auto next = idle.begin();
  for (const auto& [recipient, count] : recipients->second) {
    for (int i = 0; i < count && next != idle.end(); ++i, ++next) {
      transfers[*next] = {pool, recipient};
    }
  }
  OrderTransfers(pool, std::move(transfers));
}

void CapacityBroker::SwitchOffSurplusHosts(const std::string& pool,
                                           const PoolRunner& runner,
                                           const PoolView& view,
                                           const Pools& pools,
                                           base::TimePoint now) {
  const int surplus = view.demand.present - view.demand.wanted;
  if (surplus <= 0) {
    m_surplus_since.erase(pool);
    return;
  }
  const auto since = m_surplus_since.try_emplace(pool, now).first->second;
  const bool can_switch_off = m_cordoned_for_transfer[pool].empty() &&
                              now >= since + kMinSurplusDuration &&
                              !IsAnyDemandRising(pool, now);
  if (!can_switch_off) {
    return;
  }
  std::vector<std::string> idle = FindIdleHosts(pool, runner, now);
  idle.resize(std::min({idle.size(), static_cast<size_t>(surplus),
                        CountHostsToSwitchOff(pools, now)}));
  hosts::HostTransfers transfers;
  for (const std::string& name : idle) {
    transfers[name] = {pool, *m_standby_pools.begin()};
  }
  OrderTransfers(pool, std::move(transfers));
}

size_t CapacityBroker::CountHostsToSwitchOff(const Pools& pools,
                                             base::TimePoint now) const {
  int switched_on = 0;
  for (const auto& [name, host] : m_ledger.GetHosts()) {
    switched_on += m_standby_pools.count(GetPool(host)) == 0 ? 1 : 0;
  }
  const int excess =
      switched_on - m_standby_policy.CountRetainedHosts(switched_on, now);
  // Owners decide concurrently on the same data, so each takes only its share.
  return static_cast<size_t>(std::max(0, excess)) /
         std::max<size_t>(1, pools.size());
}

void CapacityBroker::TrackDemands(const Pools& pools, base::TimePoint now) {
  int busy = 0;
  for (const auto& [name, pool] : pools) {
    ObservedDemand& observed = m_observed_demands[name];
    if (pool.demand.wanted >= observed.wanted + kMinRise) {
      observed.rose_at = now;
    }
    observed.wanted = pool.demand.wanted;
    busy += pool.demand.busy;
  }
  m_standby_policy.Observe(busy, now);
}

bool CapacityBroker::IsAnyPoolShort(base::TimePoint now) const {
  const Pools pools = ReadPools();
  return IsAnyDemandRising("", now) ||
         std::any_of(pools.begin(), pools.end(), [](const auto& entry) {
           return entry.second.demand.wanted > entry.second.supplied;
         });
}

// A host that is being switched off is unavailable, for the duration of two
// moves, to a queue whose load has just begun to rise.
bool CapacityBroker::IsAnyDemandRising(const std::string& pool,
                                       base::TimePoint now) const {
  return std::any_of(m_observed_demands.begin(), m_observed_demands.end(),
                     [&pool, now](const auto& entry) {
                       return entry.first != pool &&
                              now < entry.second.rose_at + kRisingDuration;
                     });
}

bool CapacityBroker::IsMovable(const std::string& pool,
                               const PoolRunner& runner,
                               const hosts::FleetHost& host) const {
  const scheduling::PoolScheduler& scheduler = runner.GetScheduler();
  return host.pool == pool && host.state == hosts::HostState::kUp &&
         scheduler.AreRunsKnown(host.target) &&
         scheduler.CountShortRuns(host.target) ==
             scheduler.CountRuns(host.target);
}

std::vector<std::string> CapacityBroker::FindIdleHosts(
    const std::string& pool, const PoolRunner& runner,
    base::TimePoint now) const {
  std::vector<std::string> idle;
  for (const auto& [name, host] : m_ledger.GetHosts()) {
    const bool is_idle =
        IsMovable(pool, runner, host) && !m_is_reserved(name) &&
        m_ledger.IsFree(name, now) &&
        runner.GetScheduler().CountRuns(host.target) == 0 &&
        runner.GetScheduler().AreCompletionsStored(host.target);
    if (is_idle) {
      idle.push_back(name);
    }
  }
  return idle;
}

void CapacityBroker::OrderTransfers(const std::string& pool,
                                    hosts::HostTransfers transfers) {
  if (transfers.empty() || !m_writing_transfers.insert(pool).second) {
    return;
  }
  while (transfers.size() > kMaxHostsPerOperation) {
    transfers.erase(std::prev(transfers.end()));
  }
  HostOperationRequest request;
  std::map<std::string, hosts::FleetHost> listed;
  hosts::HostTransfers record = m_transfers[pool];
  for (const auto& [name, transfer] : transfers) {
    request.hosts.push_back(name);
    listed[name] = m_ledger.GetHosts().at(name);
    SetLeaving(transfer.from, listed[name].target, true);
    m_transfer_ended_at.erase(name);
    record[name] = transfer;
  }
  request.shared_row = m_ledger.GetSharedRow(kTransfersPrefix + pool);
  request.new_value = hosts::EncodeHostTransfers(record);
  m_transfers[pool] = std::move(record);
  request.operate = [this, transfers](
                        const std::string& host, const hosts::HostFence& fence,
                        hosts::HostOperations::OnOutcome on_done) {
    m_operations.Move(host, transfers.at(host).to, fence, std::move(on_done));
  };
  request.may_operate =
      m_lifetime.GuardCondition([this, terms = GetTerms(pool, transfers),
                                 listed](const std::string& host) {
        return MayTransfer(terms, listed.at(host));
      });
  request.on_done = m_lifetime.Guard(
      [this, pool, listed](const std::string& host,
                           hosts::HostOperationOutcome outcome) {
        m_writing_transfers.erase(pool);
        OnTransferred(pool, listed.at(host), outcome);
      });
  request.on_refused = m_lifetime.Guard([this, pool, listed] {
    m_writing_transfers.erase(pool);
    for (const auto& [name, host] : listed) {
      m_transfers[pool].erase(name);
      SetLeaving(host.pool, host.target, false);
    }
  });
  m_ledger.Operate(std::move(request));
}

CapacityBroker::PoolTerms CapacityBroker::GetTerms(
    const std::string& pool, const hosts::HostTransfers& transfers) const {
  std::set<std::string> names = {pool};
  for (const auto& [host, transfer] : transfers) {
    names.insert(transfer.from);
  }
  PoolTerms terms;
  for (const auto& [name, runner] : m_get_pools()) {
    if (names.count(name) > 0) {
      terms[name] = runner->GetOwnerVersion();
    }
  }
  return terms;
}

bool CapacityBroker::MayTransfer(const PoolTerms& terms,
                                 const hosts::FleetHost& host) const {
  const auto pools = m_get_pools();
  for (const auto& [pool, version] : terms) {
    const auto runner = pools.find(pool);
    if (runner == pools.end() || runner->second->GetOwnerVersion() != version) {
      return false;
    }
  }
  const auto giver = pools.find(host.pool);
  return giver == pools.end() ||
         giver->second->GetScheduler().CountRuns(host.target) == 0;
}

void CapacityBroker::RemoveVisibleTransfers(const std::string& pool,
                                            base::TimePoint now) {
  if (m_writing_transfers.count(pool) > 0) {
    return;
  }
  hosts::HostTransfers& record = m_transfers[pool];
  std::erase_if(record, [this, now](const auto& entry) {
    const auto ended = m_transfer_ended_at.find(entry.first);
    return ended != m_transfer_ended_at.end() &&
           now >= ended->second + kTransferVisibleTime;
  });
  const storage::VersionedRow row =
      m_ledger.GetSharedRow(kTransfersPrefix + pool);
  // A new owner also drops the transfers of the previous one, whose outcomes it
  // does not know.
  if (row.version != storage::kNoVersion && ReadTransfers(row) != record) {
    m_ledger.WriteSharedRow(row, hosts::EncodeHostTransfers(record));
  }
}

void CapacityBroker::SetCordoned(const std::string& pool,
                                 const std::string& target, bool cordoned) {
  const auto pools = m_get_pools();
  const auto runner = pools.find(pool);
  if (runner != pools.end()) {
    runner->second->GetScheduler().SetCordoned(target, cordoned);
  }
}

void CapacityBroker::SetLeaving(const std::string& pool,
                                const std::string& target, bool leaving) {
  SetCordoned(pool, target, leaving);
  const auto pools = m_get_pools();
  const auto runner = pools.find(pool);
  if (runner != pools.end()) {
    runner->second->GetScheduler().SetLeaving(target, leaving);
  }
}

void CapacityBroker::OnTransferred(const std::string& pool,
                                   const hosts::FleetHost& host,
                                   hosts::HostOperationOutcome outcome) {
  // The list of hosts shows whether a transfer was carried out.
  if (outcome == hosts::HostOperationOutcome::kUnknown) {
    const auto settled_at =
        base::RuntimeClock::now() + m_ledger.m_max_call_time;
    m_transfer_ended_at[host.name] = settled_at;
    m_accepted_operations.Add(host, settled_at);
    return;
  }
  if (outcome != hosts::HostOperationOutcome::kDone) {
    m_transfers[pool].erase(host.name);
    SetLeaving(host.pool, host.target, false);
    return;
  }
  const auto now = base::RuntimeClock::now();
  m_transfer_ended_at[host.name] = now;
  m_accepted_operations.Add(host, now);
}

void CapacityBroker::OnTransferResolved(const hosts::FleetHost& host,
                                        bool has_target_ended) {
  const auto pools = m_get_pools();
  const auto found = pools.find(host.pool);
  if (found == pools.end()) {
    return;
  }
  PoolRunner& runner = *found->second;
  if (has_target_ended) {
    runner.GetScheduler().OnTargetEnded(host.target, "its host is moved");
  } else if (!m_is_reserved(host.name)) {
    SetLeaving(host.pool, host.target, false);
  }
  runner.Wake();
}

}  // namespace shallotwick::scheduler
