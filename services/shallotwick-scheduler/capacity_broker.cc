#include "capacity_broker.h"

#include <algorithm>
#include <functional>
#include <stdexcept>
#include <utility>

#include "base/log.h"
#include "base/log_catalogue.h"

namespace shallotwick::scheduler {
namespace {

constexpr char kNeedPrefix[] = "need/";
constexpr char kStandbyPrefix[] = "standby/";
// Hosts of one transaction; each takes two entries.
constexpr size_t kMostMovesAtOnce = 20;
// A host stays at least so long after it became needless: a lull of that
// length in a queue's demand is common.
constexpr auto kSurplusHold = std::chrono::milliseconds(2'000);
// Before it goes to a pool that lacks hosts at this moment.
constexpr auto kShortSurplusHold = std::chrono::milliseconds(200);

hosts::NeedRecord ReadNeed(const storage::VersionedRow& row) {
  if (row.version == storage::kNoVersion) {
    return {};
  }
  try {
    return hosts::DecodeNeedRecord(row.value);
  } catch (const std::runtime_error& error) {
    base::Log(base::events::kStoreContentInvalid,
              {{"row", row.key.key}, {"fault", error.what()}});
    return {};
  }
}

}  // namespace

CapacityBroker::CapacityBroker(hosts::HostOperations& operations,
                               HostLedger& ledger, base::Duration move_time)
    : m_operations(operations), m_ledger(ledger), m_move_time(move_time) {}

void CapacityBroker::Reconsider(base::TimePoint now) {
  if (!m_ledger.IsLoaded() || m_standby_pools.empty()) {
    return;
  }
  std::erase_if(m_moved, [this](const auto& entry) {
    return m_ledger.GetListTime() > entry.second;
  });
  for (const auto& [pool, runner] : m_get_pools()) {
    const PoolView view = Look(pool, *runner);
    LogChange(pool, view);
    WriteNeed(pool, view);
    if (m_standby_pools.count(pool) > 0) {
      continue;
    }
    CallStandbyHosts(pool, now);
    GiveSurplus(pool, *runner, view, now);
  }
}

// Hosts that are switched off run nothing, so that any pool's owner may call
// them; it needs no help of the owner of their pool.
void CapacityBroker::CallStandbyHosts(const std::string& pool,
                                      base::TimePoint now) {
  const storage::VersionedRow row = m_ledger.GetSharedRow(kNeedPrefix + pool);
  hosts::NeedRecord need = ReadNeed(row);
  const int unmet = need.CountUnmet();
  if (unmet <= 0 || m_calling.count(pool) > 0) {
    return;
  }
  std::vector<std::string> called;
  std::string from;
  for (const auto& [name, host] : m_ledger.GetHosts()) {
    const bool may_call =
        m_standby_pools.count(host.pool) > 0 && m_moved.count(name) == 0 &&
        host.state == hosts::HostState::kUp && !m_is_reserved(name) &&
        m_ledger.IsFree(name, now) && need.offers.count(name) == 0 &&
        (from.empty() || from == host.pool);
    if (may_call) {
      from = host.pool;
      called.push_back(name);
    }
  }
  // Owners that call at the same time begin at different hosts.
  if (!called.empty()) {
    const size_t first = std::hash<std::string>{}(pool) % called.size();
    std::rotate(called.begin(),
                called.begin() + static_cast<std::ptrdiff_t>(first),
                called.end());
  }
  called.resize(
      std::min({called.size(), static_cast<size_t>(unmet), kMostMovesAtOnce}));
  if (called.empty()) {
    return;
  }
  for (const std::string& name : called) {
    need.offers[name] = from;
  }
  m_calling.insert(pool);
  Move(from, called, pool, row, hosts::EncodeNeedRecord(need));
}

void CapacityBroker::LogChange(const std::string& pool, const PoolView& view) {
  PoolView& logged = m_logged[pool];
  if (logged.wanted == view.wanted && logged.present == view.present) {
    return;
  }
  logged = view;
  base::Log(base::events::kPoolCapacity,
            {{"pool", pool},
             {"wanted", std::to_string(view.wanted)},
             {"present", std::to_string(view.present)}});
}

CapacityBroker::PoolView CapacityBroker::Look(const std::string& pool,
                                              PoolRunner& runner) const {
  PoolView view;
  for (const auto& [name, host] : m_ledger.GetHosts()) {
    // A host that is about to be maintained takes no new tasks.
    if (host.pool == pool && m_moved.count(name) == 0 && !m_is_reserved(name)) {
      view.present += host.state == hosts::HostState::kUp ||
                              host.state == hosts::HostState::kMoving
                          ? 1
                          : 0;
    }
    view.cores_per_host = std::max(view.cores_per_host,
                                   static_cast<double>(host.cpu_milli) / 1'000);
  }
  if (m_standby_pools.count(pool) > 0) {
    return view;
  }
  const scheduling::PoolDemand demand = runner.GetScheduler().EstimateDemand();
  hosts::PoolLoad load;
  load.running_cores = demand.running_cores;
  load.waiting_cores = demand.waiting_cores;
  load.open_core_seconds = demand.open_core_seconds;
  load.forecast_cores = runner.ForecastCores(m_move_time);
  load.least_hosts = demand.least_targets;
  load.cores_per_host = view.cores_per_host;
  view.wanted = hosts::EstimateWantedHosts(load);
  return view;
}

void CapacityBroker::WriteNeed(const std::string& pool, const PoolView& view) {
  const storage::VersionedRow row = m_ledger.GetSharedRow(kNeedPrefix + pool);
  const hosts::NeedRecord record = ReadNeed(row);
  hosts::NeedRecord wanted = record;
  std::erase_if(wanted.offers, [this, &pool](const auto& offer) {
    const auto host = m_ledger.GetHosts().find(offer.first);
    // Arrived, or the offer came to nothing.
    return host == m_ledger.GetHosts().end() || host->second.pool == pool;
  });
  const bool is_standby = m_standby_pools.count(pool) > 0;
  wanted.hosts = is_standby ? 0 : std::max(0, view.wanted - view.present);
  if (wanted != record) {
    m_ledger.WriteSharedRow(row, hosts::EncodeNeedRecord(wanted));
  }
}

void CapacityBroker::GiveSurplus(const std::string& pool, PoolRunner& runner,
                                 const PoolView& view, base::TimePoint now) {
  if (view.present <= view.wanted) {
    m_surplus_since.erase(pool);
    return;
  }
  const auto since = m_surplus_since.try_emplace(pool, now).first->second;
  std::vector<std::string> idle = FindIdleHosts(pool, runner, now);
  const auto surplus = static_cast<size_t>(view.present - view.wanted);
  if (idle.size() > surplus) {
    idle.resize(surplus);
  }
  if (idle.size() > kMostMovesAtOnce) {
    idle.resize(kMostMovesAtOnce);
  }
  if (idle.empty() || now < since + kShortSurplusHold) {
    return;
  }
  Give(pool, std::move(idle), now >= since + kSurplusHold);
}

std::vector<std::string> CapacityBroker::FindIdleHosts(
    const std::string& pool, const PoolRunner& runner,
    base::TimePoint now) const {
  std::vector<std::string> idle;
  for (const auto& [name, host] : m_ledger.GetHosts()) {
    const bool is_idle = host.pool == pool &&
                         host.state == hosts::HostState::kUp &&
                         m_moved.count(name) == 0 && !m_is_reserved(name) &&
                         m_ledger.IsFree(name, now) &&
                         runner.GetScheduler().IsAccountedFor(host.target) &&
                         runner.GetScheduler().CountRuns(host.target) == 0;
    if (is_idle) {
      idle.push_back(name);
    }
  }
  return idle;
}

// To the pool that lacks most, or to one that is switched off.
void CapacityBroker::Give(const std::string& pool,
                          std::vector<std::string> idle, bool may_switch_off) {
  storage::VersionedRow neediest;
  hosts::NeedRecord need;
  for (const storage::VersionedRow& row :
       m_ledger.ListSharedRows(kNeedPrefix)) {
    const hosts::NeedRecord record = ReadNeed(row);
    if (record.CountUnmet() > need.CountUnmet()) {
      neediest = row;
      need = record;
    }
  }
  const std::string prefix = kNeedPrefix;
  if (need.CountUnmet() > 0) {
    const auto most = static_cast<size_t>(need.CountUnmet());
    if (idle.size() > most) {
      idle.resize(most);
    }
    for (const std::string& name : idle) {
      need.offers[name] = pool;
    }
    Move(pool, idle, neediest.key.key.substr(prefix.size()), neediest,
         hosts::EncodeNeedRecord(need));
    return;
  }
  if (!may_switch_off) {
    return;
  }
  const storage::VersionedRow row =
      m_ledger.GetSharedRow(kStandbyPrefix + pool);
  Move(pool, idle, *m_standby_pools.begin(), row, "{}");
}

void CapacityBroker::Move(const std::string& from,
                          const std::vector<std::string>& names,
                          const std::string& to,
                          const storage::VersionedRow& row,
                          const std::string& new_value) {
  SetCordoned(from, names, true);
  HostOperationRequest request;
  request.hosts = names;
  request.shared_row = row;
  request.new_value = new_value;
  request.operate = [this, to](const std::string& host,
                               const hosts::HostFence& fence,
                               hosts::HostOperations::OnOutcome on_end) {
    m_operations.Move(host, to, fence, std::move(on_end));
  };
  std::map<std::string, std::string> targets;
  for (const std::string& name : names) {
    targets[name] = m_ledger.GetHosts().at(name).target;
  }
  request.on_end = m_lifetime.Guard(
      [this, from, to, targets](const std::string& host,
                                hosts::HostOperationOutcome outcome) {
        m_calling.erase(to);
        OnMoved(from, host, targets.at(host), outcome);
      });
  request.on_refused = m_lifetime.Guard([this, from, names, to] {
    m_calling.erase(to);
    SetCordoned(from, names, false);
  });
  m_ledger.Operate(std::move(request));
}

void CapacityBroker::SetCordoned(const std::string& pool,
                                 const std::vector<std::string>& names,
                                 bool cordoned) {
  const auto pools = m_get_pools();
  const auto runner = pools.find(pool);
  if (runner == pools.end()) {
    return;
  }
  for (const std::string& name : names) {
    const auto host = m_ledger.GetHosts().find(name);
    if (host != m_ledger.GetHosts().end()) {
      runner->second->GetScheduler().SetCordoned(host->second.target, cordoned);
    }
  }
}

void CapacityBroker::OnMoved(const std::string& from, const std::string& host,
                             const std::string& target,
                             hosts::HostOperationOutcome outcome) {
  if (outcome != hosts::HostOperationOutcome::kDone) {
    SetCordoned(from, {host}, false);
    return;
  }
  m_moved[host] = base::RuntimeClock::now();
  const auto pools = m_get_pools();
  const auto runner = pools.find(from);
  if (runner != pools.end()) {
    runner->second->GetScheduler().OnTargetDead(target);
    runner->second->Wake();
  }
}

}  // namespace shallotwick::scheduler
