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

constexpr char kNeedPrefix[] = "need/";
constexpr char kStandbyPrefix[] = "standby/";
// Hosts of one transaction; each takes two entries, as does the shared row.
constexpr size_t kMostMovesAtOnce = storage::kMostTransactionEntries / 2 - 1;
// Between two writes of a pool's need.
constexpr auto kNeedWritePeriod = std::chrono::milliseconds(100);
// A host stays at least so long after it became needless: a lull of that
// length in a queue's demand is common.
constexpr auto kSurplusHold = std::chrono::milliseconds(2'000);
// A need that grows by so many hosts between two looks is rising; it counts as
// such until a host that is called at its end would be there.
constexpr int kLeastRise = 2;
constexpr auto kRiseHold = std::chrono::milliseconds(1'500);
// From the end of a host's move until its target has started, is in the
// registry and has taken the owner's fence.
constexpr auto kArrivalTime = std::chrono::milliseconds(500);
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
  // What is written below shows in the rows only later.
  const Needs needs = ReadNeeds();
  WatchNeeds(needs, now);
  for (const auto& [pool, runner] : m_get_pools()) {
    const PoolView view = Look(pool, *runner);
    LogChange(pool, view);
    const hosts::NeedRecord need = UpdateNeed(pool, view);
    // A call writes the need along.
    const bool is_calling = m_standby_pools.count(pool) == 0 &&
                            CallStandbyHosts(pool, need, needs, now);
    if (!is_calling) {
      WriteNeed(pool, need, now);
    }
    if (m_standby_pools.count(pool) > 0) {
      continue;
    }
    YieldHosts(pool, *runner, view, needs);
    GiveSurplus(pool, *runner, view, needs, now);
  }
}

// Hosts that are switched off run nothing, so that any pool's owner may call
// them; it needs no help of the owner of their pool.
bool CapacityBroker::CallStandbyHosts(const std::string& pool,
                                      hosts::NeedRecord need,
                                      const Needs& needs, base::TimePoint now) {
  const storage::VersionedRow row = m_ledger.GetSharedRow(kNeedPrefix + pool);
  // Work that is late in any case waits while another pool lacks hosts for work
  // that can be in time.
  bool is_other_short = false;
  for (const auto& [name, other] : needs) {
    is_other_short =
        is_other_short || (name != pool && other.timely > other.CountCovered());
  }
  const int unmet =
      is_other_short ? need.timely - need.CountCovered() : need.CountUnmet();
  const bool is_row_busy =
      m_calling.count(pool) > 0 || m_ledger.IsWriting(row.key.key);
  if (unmet <= 0 || is_row_busy) {
    return false;
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
    const size_t first = base::StableHash(pool) % called.size();
    std::rotate(called.begin(),
                called.begin() + static_cast<std::ptrdiff_t>(first),
                called.end());
  }
  called.resize(
      std::min({called.size(), static_cast<size_t>(unmet), kMostMovesAtOnce}));
  if (called.empty()) {
    return false;
  }
  for (const std::string& name : called) {
    need.offers[name] = from;
  }
  m_calling.insert(pool);
  Move(from, called, pool, row, hosts::EncodeNeedRecord(need));
  return true;
}

void CapacityBroker::LogChange(const std::string& pool, const PoolView& view) {
  PoolView& logged = m_logged[pool];
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
  hosts::PoolLoad load = runner.GetScheduler().EstimateLoad(
      base::RuntimeClock::now(), m_get_unix_ms());
  load.forecast_cores = runner.ForecastCores(m_move_time + kArrivalTime);
  load.cores_per_host = view.cores_per_host;
  view.running_cores = load.running_cores;
  view.waiting_cores = load.waiting_cores;
  view.usable_cores = load.usable_cores;
  view.busy = hosts::EstimateBusyHosts(load);
  view.timely = hosts::EstimateTimelyHosts(load);
  view.wanted = std::max(view.timely, hosts::EstimateWantedHosts(load));
  return view;
}

// What the pool's row should say by now.
hosts::NeedRecord CapacityBroker::UpdateNeed(const std::string& pool,
                                             const PoolView& view) const {
  hosts::NeedRecord need = ReadNeed(m_ledger.GetSharedRow(kNeedPrefix + pool));
  std::erase_if(need.offers, [this, &pool](const auto& offer) {
    const auto host = m_ledger.GetHosts().find(offer.first);
    // Arrived, or the offer came to nothing.
    return host == m_ledger.GetHosts().end() || host->second.pool == pool;
  });
  const bool is_standby = m_standby_pools.count(pool) > 0;
  need.timely = is_standby ? 0 : view.timely;
  need.wanted = is_standby ? 0 : view.wanted;
  need.present = view.present;
  need.busy = is_standby ? 0 : view.busy;
  return need;
}

// Each write would make a call that is under way conflict, so writes keep
// apart.
void CapacityBroker::WriteNeed(const std::string& pool,
                               const hosts::NeedRecord& need,
                               base::TimePoint now) {
  const storage::VersionedRow row = m_ledger.GetSharedRow(kNeedPrefix + pool);
  base::TimePoint& written = m_need_written[pool];
  const bool is_due = m_calling.count(pool) == 0 &&
                      now >= written + kNeedWritePeriod &&
                      need != ReadNeed(row);
  if (is_due) {
    written = now;
    m_ledger.WriteSharedRow(row, hosts::EncodeNeedRecord(need));
  }
}

CapacityBroker::Needs CapacityBroker::ReadNeeds() const {
  const std::string prefix = kNeedPrefix;
  Needs needs;
  for (const storage::VersionedRow& row : m_ledger.ListSharedRows(prefix)) {
    const std::string pool = row.key.key.substr(prefix.size());
    if (m_standby_pools.count(pool) == 0) {
      needs[pool] = ReadNeed(row);
    }
  }
  return needs;
}

// A turn of one queue begins while another still works off its own; hosts that
// serve only late work there are worth more here.
void CapacityBroker::YieldHosts(const std::string& pool, PoolRunner& runner,
                                const PoolView& view, const Needs& needs) {
  const auto shares =
      hosts::ShareHosts(needs, static_cast<int>(m_ledger.GetHosts().size()));
  int lacking = 0;
  for (const auto& [name, need] : needs) {
    if (name != pool) {
      lacking += std::max(0, shares.at(name) - need.CountCovered());
    }
  }
  const auto own = shares.find(pool);
  const int share =
      own == shares.end() ? view.timely : std::max(own->second, 1);
  const int surplus = std::min(lacking, view.present - share);
  std::vector<std::pair<size_t, std::string>> candidates;
  for (const auto& [name, host] : m_ledger.GetHosts()) {
    const bool may_yield = host.pool == pool &&
                           host.state == hosts::HostState::kUp &&
                           !m_is_reserved(name) &&
                           runner.GetScheduler().IsAccountedFor(host.target) &&
                           runner.GetScheduler().CountShortRuns(host.target) ==
                               runner.GetScheduler().CountRuns(host.target);
    if (may_yield) {
      candidates.emplace_back(runner.GetScheduler().CountRuns(host.target),
                              name);
    }
  }
  std::sort(candidates.begin(), candidates.end());
  std::set<std::string> yielding;
  for (const auto& [runs, name] : candidates) {
    if (static_cast<int>(yielding.size()) < surplus) {
      yielding.insert(name);
    }
  }
  std::set<std::string>& before = m_yielding[pool];
  for (const std::string& name : before) {
    if (yielding.count(name) == 0 && !m_is_reserved(name)) {
      SetCordoned(pool, {name}, false);
    }
  }
  for (const std::string& name : yielding) {
    SetCordoned(pool, {name}, true);
  }
  before = std::move(yielding);
}

void CapacityBroker::GiveSurplus(const std::string& pool, PoolRunner& runner,
                                 const PoolView& view, const Needs& needs,
                                 base::TimePoint now) {
  const size_t yielding = m_yielding[pool].size();
  if (view.present <= view.wanted && yielding == 0) {
    m_surplus_since.erase(pool);
    return;
  }
  const auto since = m_surplus_since.try_emplace(pool, now).first->second;
  std::vector<std::string> idle = FindIdleHosts(pool, runner, now);
  const auto surplus = std::max(
      yielding, static_cast<size_t>(std::max(0, view.present - view.wanted)));
  if (idle.size() > surplus) {
    idle.resize(surplus);
  }
  if (idle.size() > kMostMovesAtOnce) {
    idle.resize(kMostMovesAtOnce);
  }
  if (idle.empty() || (yielding == 0 && now < since + kShortSurplusHold)) {
    return;
  }
  const bool may_switch_off = view.present > view.wanted && yielding == 0 &&
                              now >= since + kSurplusHold &&
                              !IsAnyNeedRising(pool, now);
  Give(pool, std::move(idle), needs,
       may_switch_off ? CountNeedless(needs, now) : 0);
}

size_t CapacityBroker::CountNeedless(const Needs& needs,
                                     base::TimePoint now) const {
  int on = 0;
  for (const auto& [name, host] : m_ledger.GetHosts()) {
    on += m_standby_pools.count(host.pool) == 0 && m_moved.count(name) == 0 ? 1
                                                                            : 0;
  }
  const int needless = on - m_standby_policy.CountKept(on, now);
  // Owners decide at the same time on what they all see.
  return static_cast<size_t>(std::max(0, needless)) /
         std::max<size_t>(1, needs.size());
}

void CapacityBroker::WatchNeeds(const Needs& needs, base::TimePoint now) {
  int busy = 0;
  for (const auto& [pool, need] : needs) {
    SeenNeed& seen = m_seen_needs[pool];
    if (need.wanted >= seen.wanted + kLeastRise) {
      seen.rose = now;
    }
    seen.wanted = need.wanted;
    busy += need.busy;
  }
  m_standby_policy.Observe(busy, now);
}

bool CapacityBroker::IsAnyPoolShort(base::TimePoint now) const {
  const auto needs = ReadNeeds();
  return IsAnyNeedRising("", now) ||
         std::any_of(needs.begin(), needs.end(), [](const auto& entry) {
           return entry.second.CountUnmet() > 0;
         });
}

// A host that is being switched off is lost to a queue whose turn has just
// begun for the time of two moves.
bool CapacityBroker::IsAnyNeedRising(const std::string& pool,
                                     base::TimePoint now) const {
  return std::any_of(m_seen_needs.begin(), m_seen_needs.end(),
                     [&pool, now](const auto& entry) {
                       return entry.first != pool &&
                              now < entry.second.rose + kRiseHold;
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
                          std::vector<std::string> idle, const Needs& needs,
                          size_t most_switched_off) {
  storage::VersionedRow neediest;
  hosts::NeedRecord need;
  int most = 0;
  const auto shares =
      hosts::ShareHosts(needs, static_cast<int>(m_ledger.GetHosts().size()));
  const auto consider = [&](const std::string& name, int lacking) {
    if (name != pool && lacking > most) {
      most = lacking;
      neediest = m_ledger.GetSharedRow(kNeedPrefix + name);
      need = needs.at(name);
    }
  };
  for (const auto& [name, other] : needs) {
    consider(name, shares.at(name) - other.CountCovered());
  }
  if (most == 0) {
    for (const auto& [name, other] : needs) {
      consider(name, other.CountUnmet());
    }
  }
  const std::string prefix = kNeedPrefix;
  if (most > 0) {
    if (idle.size() > static_cast<size_t>(most)) {
      idle.resize(static_cast<size_t>(most));
    }
    for (const std::string& name : idle) {
      need.offers[name] = pool;
    }
    Move(pool, idle, neediest.key.key.substr(prefix.size()), neediest,
         hosts::EncodeNeedRecord(need));
    return;
  }
  if (idle.size() > most_switched_off) {
    idle.resize(most_switched_off);
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
