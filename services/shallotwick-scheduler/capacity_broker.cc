#include "capacity_broker.h"

#include <fmt/core.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "base/log.h"
#include "base/log_catalogue.h"
#include "base/stable_hash.h"

namespace shallotwick::scheduler {
namespace {

constexpr char kDemandPrefix[] = "need/";
constexpr char kStandbyPrefix[] = "standby/";
// Maximum number of hosts per transaction; each takes two entries, as does the
// shared row.
constexpr size_t kMaxMovesPerTransaction =
    storage::kMaxTransactionEntries / 2 - 1;
// Minimum interval between writes of a pool's demand.
constexpr auto kDemandWritePeriod = std::chrono::milliseconds(100);
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
// Minimum duration of a surplus before hosts are transferred to a pool with a
// shortage.
constexpr auto kMinSurplusDurationOnShortage = std::chrono::milliseconds(200);

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

}  // namespace

CapacityBroker::CapacityBroker(hosts::HostOperations& operations,
                               HostLedger& ledger, base::Duration move_time)
    : m_operations(operations), m_ledger(ledger), m_move_time(move_time) {}

void CapacityBroker::RebalanceHosts(base::TimePoint now) {
  if (!m_ledger.IsLoaded() || m_standby_pools.empty()) {
    return;
  }
  std::erase_if(m_moved, [this](const auto& entry) {
    return m_ledger.GetListTime() > entry.second;
  });
  // Demands written below appear in the rows only later.
  const Demands demands = ReadDemands();
  TrackDemands(demands, now);
  for (const auto& [pool, runner] : m_get_pools()) {
    const PoolView view = MeasurePool(pool, *runner);
    LogChange(pool, view);
    const hosts::CapacityDemand demand = ComputeDemand(pool, view);
    // Activating standby hosts also writes the demand.
    const bool is_activating = m_standby_pools.count(pool) == 0 &&
                               ActivateStandbyHosts(pool, demand, demands, now);
    if (!is_activating) {
      WriteDemand(pool, demand, now);
    }
    if (m_standby_pools.count(pool) > 0) {
      continue;
    }
    CordonHostsForOtherPools(pool, *runner, view, demands);
    ReleaseSurplusHosts(pool, *runner, view, demands, now);
  }
}

// Standby hosts run nothing, so the owner of any pool may activate them without
// involving the owner of the standby pool.
bool CapacityBroker::ActivateStandbyHosts(const std::string& pool,
                                          hosts::CapacityDemand demand,
                                          const Demands& demands,
                                          base::TimePoint now) {
  const storage::VersionedRow row = m_ledger.GetSharedRow(kDemandPrefix + pool);
  // Work that will miss its deadline anyway waits while another pool lacks
  // hosts for work that can still meet its deadline.
  bool is_other_short = false;
  for (const auto& [name, other] : demands) {
    is_other_short =
        is_other_short ||
        (name != pool && other.timely > other.CountSuppliedHosts());
  }
  const int unmet = is_other_short ? demand.timely - demand.CountSuppliedHosts()
                                   : demand.GetUnmetDemand();
  const bool is_row_busy =
      m_activating.count(pool) > 0 || m_ledger.IsWriting(row.key.key);
  if (unmet <= 0 || is_row_busy) {
    return false;
  }
  std::vector<std::string> activated;
  std::string from;
  for (const auto& [name, host] : m_ledger.GetHosts()) {
    const bool can_activate =
        m_standby_pools.count(host.pool) > 0 && m_moved.count(name) == 0 &&
        host.state == hosts::HostState::kUp && !m_is_reserved(name) &&
        m_ledger.IsFree(name, now) && demand.offers.count(name) == 0 &&
        (from.empty() || from == host.pool);
    if (can_activate) {
      from = host.pool;
      activated.push_back(name);
    }
  }
  // Owners that activate hosts at the same time start at different hosts.
  if (!activated.empty()) {
    const size_t first = base::StableHash(pool) % activated.size();
    std::rotate(activated.begin(),
                activated.begin() + static_cast<std::ptrdiff_t>(first),
                activated.end());
  }
  activated.resize(std::min(
      {activated.size(), static_cast<size_t>(unmet), kMaxMovesPerTransaction}));
  if (activated.empty()) {
    return false;
  }
  for (const std::string& name : activated) {
    demand.offers[name] = from;
  }
  m_activating.insert(pool);
  Move(from, activated, pool, row, hosts::EncodeCapacityDemand(demand));
  return true;
}

void CapacityBroker::LogChange(const std::string& pool, const PoolView& view) {
  PoolView& logged = m_last_logged[pool];
  if (logged.wanted == view.wanted && logged.present == view.present) {
    return;
  }
  logged = view;
  base::Log(base::events::kPoolCapacity,
            {{"pool", pool},
             {"timely", std::to_string(view.timely)},
             {"busy", std::to_string(view.busy)},
             {"wanted", std::to_string(view.wanted)},
             {"present", std::to_string(view.present)},
             {"running_cores", fmt::format("{:.0f}", view.running_cores)},
             {"waiting_cores", fmt::format("{:.0f}", view.waiting_cores)},
             {"usable_cores", fmt::format("{:.0f}", view.usable_cores)}});
}

CapacityBroker::PoolView CapacityBroker::MeasurePool(const std::string& pool,
                                                     PoolRunner& runner) const {
  PoolView view;
  for (const auto& [name, host] : m_ledger.GetHosts()) {
    // A host about to undergo maintenance accepts no new tasks.
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
  hosts::PoolLoad load = runner.GetScheduler().EstimateLoad(
      base::RuntimeClock::now(), m_get_unix_ms());
  load.forecast_cores = runner.ForecastCores(m_move_time + kArrivalTime);
  load.cores_per_host = view.cores_per_host;
  view.running_cores = load.running_cores;
  view.waiting_cores = load.waiting_cores;
  view.usable_cores = load.usable_cores;
  view.busy = hosts::EstimateBusyHosts(load);
  view.timely = hosts::EstimateOnScheduleHosts(load);
  view.wanted = std::max(view.timely, hosts::EstimateWantedHosts(load));
  return view;
}

// Returns the updated contents of the pool's demand row.
hosts::CapacityDemand CapacityBroker::ComputeDemand(
    const std::string& pool, const PoolView& view) const {
  hosts::CapacityDemand demand =
      ReadDemand(m_ledger.GetSharedRow(kDemandPrefix + pool));
  std::erase_if(demand.offers, [this, &pool](const auto& offer) {
    const auto host = m_ledger.GetHosts().find(offer.first);
    // The host has arrived, or the offer can no longer be fulfilled.
    return host == m_ledger.GetHosts().end() || host->second.pool == pool;
  });
  const bool is_standby = m_standby_pools.count(pool) > 0;
  demand.timely = is_standby ? 0 : view.timely;
  demand.wanted = is_standby ? 0 : view.wanted;
  demand.present = view.present;
  demand.busy = is_standby ? 0 : view.busy;
  return demand;
}

// Each write makes an activation in flight conflict, so writes are rate limited
// and omitted during an activation.
void CapacityBroker::WriteDemand(const std::string& pool,
                                 const hosts::CapacityDemand& demand,
                                 base::TimePoint now) {
  const storage::VersionedRow row = m_ledger.GetSharedRow(kDemandPrefix + pool);
  base::TimePoint& written = m_demand_written_at[pool];
  const bool is_due = m_activating.count(pool) == 0 &&
                      now >= written + kDemandWritePeriod &&
                      demand != ReadDemand(row);
  if (is_due) {
    written = now;
    m_ledger.WriteSharedRow(row, hosts::EncodeCapacityDemand(demand));
  }
}

CapacityBroker::Demands CapacityBroker::ReadDemands() const {
  const std::string prefix = kDemandPrefix;
  Demands demands;
  for (const storage::VersionedRow& row : m_ledger.ListSharedRows(prefix)) {
    const std::string pool = row.key.key.substr(prefix.size());
    if (m_standby_pools.count(pool) == 0) {
      demands[pool] = ReadDemand(row);
    }
  }
  return demands;
}

// One queue's load may start to rise while this pool still works through the
// backlog of another. Hosts that serve only overdue work here are more useful
// to the pool whose load rises.
void CapacityBroker::CordonHostsForOtherPools(const std::string& pool,
                                              PoolRunner& runner,
                                              const PoolView& view,
                                              const Demands& demands) {
  const auto shares = hosts::AllocateHostShares(
      demands, static_cast<int>(m_ledger.GetHosts().size()));
  int shortage = 0;
  for (const auto& [name, demand] : demands) {
    if (name != pool) {
      shortage += std::max(0, shares.at(name) - demand.CountSuppliedHosts());
    }
  }
  const auto own = shares.find(pool);
  const int share =
      own == shares.end() ? view.timely : std::max(own->second, 1);
  const int surplus = std::min(shortage, view.present - share);
  std::vector<std::pair<size_t, std::string>> candidates;
  for (const auto& [name, host] : m_ledger.GetHosts()) {
    const bool can_transfer =
        host.pool == pool && host.state == hosts::HostState::kUp &&
        !m_is_reserved(name) &&
        runner.GetScheduler().AreRunsKnown(host.target) &&
        runner.GetScheduler().CountShortRuns(host.target) ==
            runner.GetScheduler().CountRuns(host.target);
    if (can_transfer) {
      candidates.emplace_back(runner.GetScheduler().CountRuns(host.target),
                              name);
    }
  }
  std::sort(candidates.begin(), candidates.end());
  std::set<std::string> to_cordon;
  for (const auto& [runs, name] : candidates) {
    if (static_cast<int>(to_cordon.size()) < surplus) {
      to_cordon.insert(name);
    }
  }
  std::set<std::string>& previous = m_cordoned_for_transfer[pool];
  for (const std::string& name : previous) {
    if (to_cordon.count(name) == 0 && !m_is_reserved(name)) {
      SetCordoned(pool, {name}, false);
    }
  }
  for (const std::string& name : to_cordon) {
    SetCordoned(pool, {name}, true);
  }
  previous = std::move(to_cordon);
}

void CapacityBroker::ReleaseSurplusHosts(const std::string& pool,
                                         PoolRunner& runner,
                                         const PoolView& view,
                                         const Demands& demands,
                                         base::TimePoint now) {
  const size_t cordoned_count = m_cordoned_for_transfer[pool].size();
  if (view.present <= view.wanted && cordoned_count == 0) {
    m_surplus_since.erase(pool);
    return;
  }
  const auto since = m_surplus_since.try_emplace(pool, now).first->second;
  std::vector<std::string> idle = FindIdleHosts(pool, runner, now);
  const auto surplus =
      std::max(cordoned_count,
               static_cast<size_t>(std::max(0, view.present - view.wanted)));
  if (idle.size() > surplus) {
    idle.resize(surplus);
  }
  if (idle.size() > kMaxMovesPerTransaction) {
    idle.resize(kMaxMovesPerTransaction);
  }
  if (idle.empty() ||
      (cordoned_count == 0 && now < since + kMinSurplusDurationOnShortage)) {
    return;
  }
  const bool can_switch_off =
      view.present > view.wanted && cordoned_count == 0 &&
      now >= since + kMinSurplusDuration && !IsAnyDemandRising(pool, now);
  TransferHosts(pool, std::move(idle), demands,
                can_switch_off ? CountHostsToSwitchOff(demands, now) : 0);
}

size_t CapacityBroker::CountHostsToSwitchOff(const Demands& demands,
                                             base::TimePoint now) const {
  int switched_on = 0;
  for (const auto& [name, host] : m_ledger.GetHosts()) {
    switched_on +=
        m_standby_pools.count(host.pool) == 0 && m_moved.count(name) == 0 ? 1
                                                                          : 0;
  }
  const int excess =
      switched_on - m_standby_policy.CountRetainedHosts(switched_on, now);
  // Owners decide concurrently on the same data, so each takes only its share.
  return static_cast<size_t>(std::max(0, excess)) /
         std::max<size_t>(1, demands.size());
}

void CapacityBroker::TrackDemands(const Demands& demands, base::TimePoint now) {
  int busy = 0;
  for (const auto& [pool, demand] : demands) {
    ObservedDemand& observed = m_observed_demands[pool];
    if (demand.wanted >= observed.wanted + kMinRise) {
      observed.rose_at = now;
    }
    observed.wanted = demand.wanted;
    busy += demand.busy;
  }
  m_standby_policy.Observe(busy, now);
}

bool CapacityBroker::IsAnyPoolShort(base::TimePoint now) const {
  const auto demands = ReadDemands();
  return IsAnyDemandRising("", now) ||
         std::any_of(demands.begin(), demands.end(), [](const auto& entry) {
           return entry.second.GetUnmetDemand() > 0;
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

std::vector<std::string> CapacityBroker::FindIdleHosts(
    const std::string& pool, const PoolRunner& runner,
    base::TimePoint now) const {
  std::vector<std::string> idle;
  for (const auto& [name, host] : m_ledger.GetHosts()) {
    const bool is_idle = host.pool == pool &&
                         host.state == hosts::HostState::kUp &&
                         m_moved.count(name) == 0 && !m_is_reserved(name) &&
                         m_ledger.IsFree(name, now) &&
                         runner.GetScheduler().AreRunsKnown(host.target) &&
                         runner.GetScheduler().CountRuns(host.target) == 0;
    if (is_idle) {
      idle.push_back(name);
    }
  }
  return idle;
}

// Transfers hosts to the pool with the largest shortage, or to a standby pool.
void CapacityBroker::TransferHosts(const std::string& pool,
                                   std::vector<std::string> idle,
                                   const Demands& demands,
                                   size_t max_switched_off) {
  storage::VersionedRow recipient_row;
  hosts::CapacityDemand demand;
  int max_shortage = 0;
  const auto shares = hosts::AllocateHostShares(
      demands, static_cast<int>(m_ledger.GetHosts().size()));
  const auto consider = [&](const std::string& name, int shortage) {
    if (name != pool && shortage > max_shortage) {
      max_shortage = shortage;
      recipient_row = m_ledger.GetSharedRow(kDemandPrefix + name);
      demand = demands.at(name);
    }
  };
  for (const auto& [name, other] : demands) {
    consider(name, shares.at(name) - other.CountSuppliedHosts());
  }
  if (max_shortage == 0) {
    for (const auto& [name, other] : demands) {
      consider(name, other.GetUnmetDemand());
    }
  }
  const std::string prefix = kDemandPrefix;
  if (max_shortage > 0) {
    if (idle.size() > static_cast<size_t>(max_shortage)) {
      idle.resize(static_cast<size_t>(max_shortage));
    }
    for (const std::string& name : idle) {
      demand.offers[name] = pool;
    }
    Move(pool, idle, recipient_row.key.key.substr(prefix.size()), recipient_row,
         hosts::EncodeCapacityDemand(demand));
    return;
  }
  if (idle.size() > max_switched_off) {
    idle.resize(max_switched_off);
  }
  if (idle.empty()) {
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
                               hosts::HostOperations::OnOutcome on_done) {
    m_operations.Move(host, to, fence, std::move(on_done));
  };
  std::map<std::string, std::string> targets;
  for (const std::string& name : names) {
    targets[name] = m_ledger.GetHosts().at(name).target;
  }
  request.on_done = m_lifetime.Guard(
      [this, from, to, targets](const std::string& host,
                                hosts::HostOperationOutcome outcome) {
        m_activating.erase(to);
        OnMoved(from, host, targets.at(host), outcome);
      });
  request.on_refused = m_lifetime.Guard([this, from, names, to] {
    m_activating.erase(to);
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
    runner->second->GetScheduler().OnTargetEnded(target);
    runner->second->Wake();
  }
}

}  // namespace shallotwick::scheduler
