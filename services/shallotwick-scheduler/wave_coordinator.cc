#include "wave_coordinator.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "base/log.h"
#include "base/log_catalogue.h"
#include "platform/host_operations_client.h"
#include "platform/names.h"

namespace shallotwick::scheduler {
namespace {

constexpr char kWavePrefix[] = "wave/";
// How long short tasks may run on before maintenance interrupts them.
constexpr auto kMaxPreparationTime = std::chrono::milliseconds(1'500);
// Time from the selection of a host that runs tasks until it is down.
constexpr auto kBusyHostPreparationTime = std::chrono::milliseconds(2'500);
// A host missing from the host list for this long has left the fleet.
constexpr auto kMissingHostTimeout = std::chrono::milliseconds(3'000);
// Time from a host's return until the next host is down: covers the delay of
// the host list and the draining of the next host.
constexpr auto kTurnaroundTime = std::chrono::milliseconds(1'500);

hosts::WaveRecord ReadRecord(const storage::VersionedRow& row) {
  if (row.version == storage::kNoVersion) {
    return {};
  }
  return hosts::DecodeWaveRecord(row.value);
}

void ResumeScheduling(PoolRunner& pool, const std::string& target) {
  pool.GetScheduler().SetCordoned(target, false);
  pool.GetScheduler().SetLeaving(target, false);
  pool.Wake();
}

std::string MakeWaveKey(int64_t number) {
  return kWavePrefix + std::to_string(number);
}

}  // namespace

WaveCoordinator::WaveCoordinator(storage::RowStore& store,
                                 hosts::HostOperations& operations,
                                 HostLedger& ledger,
                                 const WaveCoordinatorOptions& options)
    : m_store(store),
      m_operations(operations),
      m_ledger(ledger),
      m_options(options) {}

void WaveCoordinator::SetWave(const hosts::MaintenanceWave& wave) {
  m_waves[wave.number] = wave;
}

void WaveCoordinator::ForgetPool(const std::string& pool) {
  std::erase_if(m_preparing, [&pool](const auto& entry) {
    return entry.second.pool == pool;
  });
}

void WaveCoordinator::ProcessWaves(base::TimePoint now) {
  if (!m_ledger.IsLoaded()) {
    return;
  }
  m_accepted_operations.Resolve(
      m_ledger, [this](const hosts::FleetHost& host, bool has_target_ended) {
        OnMaintenanceResolved(host, has_target_ended);
      });
  ReleaseUnneeded();
  for (const auto& [number, wave] : m_waves) {
    const auto reported = m_reported_status.find(number);
    if (reported != m_reported_status.end() && reported->second) {
      continue;
    }
    try {
      ProcessWave(wave, now);
    } catch (const std::runtime_error& error) {
      base::Log(base::events::kStoreContentInvalid,
                {{"row", MakeWaveKey(number)}, {"fault", error.what()}});
    }
  }
}

void WaveCoordinator::ProcessWave(const hosts::MaintenanceWave& wave,
                                  base::TimePoint now) {
  const storage::VersionedRow row =
      m_ledger.GetSharedRow(MakeWaveKey(wave.number));
  const hosts::WaveRecord record = ReadRecord(row);
  if (hosts::IsWaveCompleted(wave, record)) {
    ForgetWave(wave.number);
    ReportStatus(wave, true);
    return;
  }
  ReportStatus(wave, false);
  if (UpdateRecord(wave, row, record, now)) {
    return;
  }
  const int free_slots = CountFreeSlots(wave, record);
  CordonNextHosts(wave, record, free_slots, now);
  if (free_slots == 0) {
    return;
  }
  const auto waiting = hosts::ListWaitingHosts(wave, record);
  std::vector<hosts::FleetHost> idle;
  for (const auto& [name, preparation] : m_preparing) {
    const auto host = m_ledger.GetHosts().find(name);
    if (host == m_ledger.GetHosts().end()) {
      continue;
    }
    const bool can_start =
        m_ledger.IsFree(name, now) &&
        std::find(waiting.begin(), waiting.end(), name) != waiting.end() &&
        IsReadyForMaintenance(host->second, now);
    if (!can_start) {
      Evacuate(host->second, now);
      continue;
    }
    if (m_find_pool(host->second.pool)
            ->GetScheduler()
            .CountRuns(host->second.target) > 0) {
      // Hosts that run tasks go one at a time: each changes what the
      // maintenance of the next would interrupt.
      StartMaintenance(wave, {host->second}, row, record);
      return;
    }
    idle.push_back(host->second);
  }
  // All owners write the wave's row, so one write per host would limit the pace
  // of a large wave.
  idle.resize(std::min(
      {idle.size(), static_cast<size_t>(free_slots), kMaxHostsPerOperation}));
  if (!idle.empty()) {
    StartMaintenance(wave, idle, row, record);
  }
}

int WaveCoordinator::CountFreeSlots(const hosts::MaintenanceWave& wave,
                                    const hosts::WaveRecord& record) const {
  hosts::WavePacing pace;
  pace.host_time = m_options.maintenance_time + kTurnaroundTime;
  pace.now_ms = m_get_unix_ms();
  pace.has_host_shortage = m_are_hosts_short();
  return hosts::CountPacedFreeSlots(wave, record, pace);
}

bool WaveCoordinator::UpdateRecord(const hosts::MaintenanceWave& wave,
                                   const storage::VersionedRow& row,
                                   hosts::WaveRecord record,
                                   base::TimePoint now) {
  bool has_changed = RecordAcceptedHosts(wave.number, record);
  has_changed |= RecordReturnedHosts(wave.number, record, now);
  has_changed |= RecordMissingHosts(wave, record);
  if (has_changed) {
    m_ledger.WriteSharedRow(row, hosts::EncodeWaveRecord(record));
    base::Log(base::events::kWaveProgress,
              {{"wave", std::to_string(wave.number)},
               {"running", std::to_string(record.running.size())},
               {"accepted", std::to_string(record.accepted.size())},
               {"done", std::to_string(record.done.size())},
               {"gone", std::to_string(record.gone.size())}});
    return true;
  }
  if (FreeRejectedSlots(wave.number, record)) {
    return true;
  }
  for (const auto& [name, holder] : record.running) {
    const auto host = m_ledger.GetHosts().find(name);
    const bool is_abandoned = host != m_ledger.GetHosts().end() &&
                              m_rejected_at.count({wave.number, name}) == 0 &&
                              record.accepted.count(name) == 0 &&
                              IsInCharge(holder);
    if (is_abandoned &&
        ResumeAbandonedMaintenance(wave, host->second, row, record, now)) {
      return true;
    }
  }
  return false;
}

std::set<std::string> WaveCoordinator::ListUnacceptedMaintenance() const {
  std::set<std::string> hosts;
  for (const storage::VersionedRow& row :
       m_ledger.ListSharedRows(kWavePrefix)) {
    try {
      const hosts::WaveRecord record = ReadRecord(row);
      for (const auto& [host, holder] : record.running) {
        if (record.accepted.count(host) == 0) {
          hosts.insert(host);
        }
      }
    } catch (const std::runtime_error& error) {
      base::Log(base::events::kStoreContentInvalid,
                {{"row", row.key.key}, {"fault", error.what()}});
    }
  }
  return hosts;
}

bool WaveCoordinator::FreeRejectedSlots(int64_t wave,
                                        const hosts::WaveRecord& record) {
  for (auto rejected = m_rejected_at.begin(); rejected != m_rejected_at.end();
       ++rejected) {
    const auto& [key, time] = *rejected;
    const bool is_settled =
        key.first == wave && m_ledger.GetListTime() > time + kHostListMargin;
    if (!is_settled) {
      continue;
    }
    const auto listed = m_ledger.GetHosts().find(key.second);
    const bool is_down = listed != m_ledger.GetHosts().end() &&
                         listed->second.state != hosts::HostState::kUp;
    if (is_down && record.running.count(key.second) > 0) {
      continue;
    }
    hosts::FleetHost host;
    host.name = key.second;
    if (listed != m_ledger.GetHosts().end()) {
      host = listed->second;
    }
    m_rejected_at.erase(rejected);
    FreeSlot(wave, host, hosts::HostOperationOutcome::kBusy);
    return true;
  }
  return false;
}

uint64_t WaveCoordinator::GetOwnerVersion(const std::string& pool) const {
  const PoolRunner* runner = m_find_pool(pool);
  return runner == nullptr ? storage::kNoVersion : runner->GetOwnerVersion();
}

bool WaveCoordinator::IsInCharge(const std::string& holder) const {
  return holder == m_options.holder || !m_is_holder_active(holder);
}

bool WaveCoordinator::RecordAcceptedHosts(int64_t wave,
                                          hosts::WaveRecord& record) {
  bool has_changed = false;
  for (const auto& [accepted, time] : m_accepted_at) {
    if (accepted.first == wave && record.running.count(accepted.second) > 0) {
      has_changed |= record.accepted.insert(accepted.second).second;
    }
  }
  return has_changed;
}

// That a host is up proves nothing by itself: the record names it before the
// platform is asked, and an earlier wave may have maintained it.
bool WaveCoordinator::RecordReturnedHosts(int64_t wave,
                                          hosts::WaveRecord& record,
                                          base::TimePoint now) {
  std::vector<std::string> returned;
  for (const std::string& name : record.accepted) {
    const auto holder = record.running.find(name);
    const auto host = m_ledger.GetHosts().find(name);
    if (holder == record.running.end() || host == m_ledger.GetHosts().end()) {
      continue;
    }
    const auto accepted_at =
        m_accepted_at.try_emplace({wave, name}, now).first->second;
    const bool has_returned =
        IsInCharge(holder->second) &&
        host->second.state == hosts::HostState::kUp &&
        m_ledger.GetListTime() >=
            accepted_at + m_options.maintenance_time + kHostListMargin;
    if (has_returned) {
      returned.push_back(name);
    }
  }
  for (const std::string& name : returned) {
    hosts::MarkDone(record, name);
  }
  return !returned.empty();
}

bool WaveCoordinator::RecordMissingHosts(const hosts::MaintenanceWave& wave,
                                         hosts::WaveRecord& record) {
  bool has_changed = false;
  const base::TimePoint listed_at = m_ledger.GetListTime();
  for (const std::string& name : hosts::ListWaitingHosts(wave, record)) {
    const WaveHost key{wave.number, name};
    // A row without a readable name may be that of any host.
    const bool may_be_listed = m_ledger.GetHosts().count(name) > 0 ||
                               m_ledger.GetHosts().count("") > 0;
    if (may_be_listed) {
      m_absences.erase(key);
      continue;
    }
    Absence& absence =
        m_absences.try_emplace(key, Absence{listed_at, listed_at})
            .first->second;
    // Lists that were not read may have shown the host.
    if (listed_at > absence.until + kMissingHostTimeout) {
      absence.since = listed_at;
    }
    absence.until = listed_at;
    if (listed_at >= absence.since + kMissingHostTimeout) {
      record.gone.insert(name);
      has_changed = true;
    }
  }
  return has_changed;
}

void WaveCoordinator::ForgetWave(int64_t number) {
  const auto is_of_wave = [number](const auto& entry) {
    return entry.first.first == number;
  };
  std::erase_if(m_accepted_at, is_of_wave);
  std::erase_if(m_absences, is_of_wave);
  std::erase_if(m_rejected_at, is_of_wave);
}

// The previous holder may not have sent the request. Repeating it is safe: the
// platform reports maintenance that is already done. As the platform may carry
// it out only now, the host is drained like any other.
bool WaveCoordinator::ResumeAbandonedMaintenance(
    const hosts::MaintenanceWave& wave, const hosts::FleetHost& host,
    const storage::VersionedRow& row, const hosts::WaveRecord& record,
    base::TimePoint now) {
  PoolRunner* pool = m_find_pool(host.pool);
  if (pool == nullptr || host.state != hosts::HostState::kUp ||
      !m_ledger.IsFree(host.name, now)) {
    return false;
  }
  if (m_preparing.count(host.name) == 0) {
    Cordon(host, *pool, now);
  }
  if (!IsReadyForMaintenance(host, now)) {
    Evacuate(host, now);
    return false;
  }
  StartMaintenance(wave, {host}, row, record);
  return true;
}

// The platform may have done the maintenance before the current target started,
// which then keeps running: at the request of a previous holder, or at an
// earlier one that was executed late, after its repetition had been rejected.
void WaveCoordinator::OnMaintenanceResolved(const hosts::FleetHost& host,
                                            bool has_target_ended) {
  PoolRunner* pool = m_find_pool(host.pool);
  if (pool == nullptr) {
    return;
  }
  if (has_target_ended) {
    pool->GetScheduler().OnTargetEnded(host.target,
                                       "its host is down for maintenance");
    pool->Wake();
  } else {
    ResumeScheduling(*pool, host.target);
  }
}

void WaveCoordinator::Cordon(const hosts::FleetHost& host, PoolRunner& pool,
                             base::TimePoint now) {
  m_preparing[host.name] = {now, host.pool, host.target};
  pool.GetScheduler().SetCordoned(host.target, true);
}

// Cordons the next hosts of the wave, those with the fewest runs first.
void WaveCoordinator::CordonNextHosts(const hosts::MaintenanceWave& wave,
                                      const hosts::WaveRecord& record,
                                      int free_slots, base::TimePoint now) {
  std::vector<std::pair<size_t, std::string>> candidates;
  for (const std::string& name : hosts::ListWaitingHosts(wave, record)) {
    const auto host = m_ledger.GetHosts().find(name);
    if (host == m_ledger.GetHosts().end() ||
        host->second.state != hosts::HostState::kUp) {
      Release(name);
      continue;
    }
    PoolRunner* pool = m_find_pool(host->second.pool);
    if (pool == nullptr) {
      Release(name);
    } else if (m_preparing.count(name) == 0 && m_ledger.IsFree(name, now)) {
      candidates.emplace_back(
          pool->GetScheduler().CountRuns(host->second.target), name);
    }
  }
  std::sort(candidates.begin(), candidates.end());
  // Preparing an idle host interrupts no tasks, so the limit for busy hosts
  // does not apply to it.
  const int max_busy = hosts::CountBusyHostDrains(
      wave, record, static_cast<int>(candidates.size() + m_preparing.size()),
      kBusyHostPreparationTime, m_get_unix_ms());
  for (const auto& [runs, name] : candidates) {
    const int limit = runs == 0 ? free_slots : max_busy;
    if (static_cast<int>(m_preparing.size()) >= limit) {
      break;
    }
    const hosts::FleetHost& host = m_ledger.GetHosts().at(name);
    Cordon(host, *m_find_pool(host.pool), now);
  }
}

bool WaveCoordinator::IsReadyForMaintenance(const hosts::FleetHost& host,
                                            base::TimePoint now) const {
  PoolRunner* pool = m_find_pool(host.pool);
  if (pool == nullptr || host.state != hosts::HostState::kUp) {
    return false;
  }
  const scheduling::PoolScheduler& scheduler = pool->GetScheduler();
  const bool has_timed_out =
      now >= m_preparing.at(host.name).since + kMaxPreparationTime;
  // A host without a target runs no tasks that could be interrupted.
  const bool is_known =
      host.target.empty() || scheduler.AreRunsKnown(host.target);
  return is_known && scheduler.AreCompletionsStored(host.target) &&
         scheduler.CanInterrupt(host.target) &&
         (scheduler.CountShortRuns(host.target) == 0 || has_timed_out);
}

void WaveCoordinator::StartMaintenance(
    const hosts::MaintenanceWave& wave,
    const std::vector<hosts::FleetHost>& selected,
    const storage::VersionedRow& row, hosts::WaveRecord record) {
  HostOperationRequest request;
  std::map<std::string, hosts::FleetHost> by_name;
  for (const hosts::FleetHost& host : selected) {
    record.running[host.name] = m_options.holder;
    SetLeaving(host, true);
    request.hosts.push_back(host.name);
    by_name[host.name] = host;
  }
  if (record.began_ms == 0) {
    record.began_ms = m_get_unix_ms();
  }
  request.shared_row = row;
  request.new_value = hosts::EncodeWaveRecord(record);
  request.operate = [this, number = wave.number](
                        const std::string& name, const hosts::HostFence& fence,
                        hosts::HostOperations::OnOutcome on_done) {
    m_operations.Maintain(name, number, fence, std::move(on_done));
  };
  std::map<std::string, uint64_t> terms;
  for (const hosts::FleetHost& host : selected) {
    terms[host.pool] = GetOwnerVersion(host.pool);
  }
  request.may_operate = m_lifetime.GuardCondition([this, terms, by_name](
                                                      const std::string& name) {
    const hosts::FleetHost& host = by_name.at(name);
    const PoolRunner* pool = m_find_pool(host.pool);
    return pool != nullptr && pool->GetOwnerVersion() == terms.at(host.pool) &&
           pool->GetScheduler().CanInterrupt(host.target);
  });
  request.on_done = m_lifetime.Guard(
      [this, number = wave.number, by_name](
          const std::string& name, hosts::HostOperationOutcome outcome) {
        OnMaintenanceResult(number, by_name.at(name), outcome);
      });
  request.on_refused = m_lifetime.Guard([this, selected] {
    for (const hosts::FleetHost& host : selected) {
      SetLeaving(host, false);
    }
  });
  m_ledger.Operate(std::move(request));
}

// Long-running tasks are moved off a host one at a time, after its short tasks
// have ended.
void WaveCoordinator::Evacuate(const hosts::FleetHost& host,
                               base::TimePoint now) {
  PoolRunner* pool = m_find_pool(host.pool);
  const bool is_due =
      pool != nullptr && !pool->GetScheduler().CanInterrupt(host.target) &&
      (pool->GetScheduler().CountShortRuns(host.target) == 0 ||
       now >= m_preparing.at(host.name).since + kMaxPreparationTime);
  if (is_due) {
    pool->GetScheduler().Evacuate(host.target, now);
    pool->Wake();
  }
}

void WaveCoordinator::SetLeaving(const hosts::FleetHost& host, bool leaving) {
  PoolRunner* pool = m_find_pool(host.pool);
  if (pool != nullptr) {
    pool->GetScheduler().SetLeaving(host.target, leaving);
  }
}

void WaveCoordinator::OnMaintenanceResult(int64_t wave,
                                          const hosts::FleetHost& host,
                                          hosts::HostOperationOutcome outcome) {
  if (outcome == hosts::HostOperationOutcome::kDone) {
    const auto now = base::RuntimeClock::now();
    m_accepted_at[{wave, host.name}] = now;
    m_preparing.erase(host.name);
    m_accepted_operations.Add(host, now);
    return;
  }
  // The slot stays taken until the maintenance is repeated.
  if (outcome == hosts::HostOperationOutcome::kUnknown) {
    return;
  }
  // The host may be down for a call of an earlier holder.
  if (outcome == hosts::HostOperationOutcome::kBusy ||
      outcome == hosts::HostOperationOutcome::kFenced) {
    m_rejected_at[{wave, host.name}] = base::RuntimeClock::now();
    return;
  }
  FreeSlot(wave, host, outcome);
}

// The host's maintenance is retried later.
void WaveCoordinator::FreeSlot(int64_t wave, const hosts::FleetHost& host,
                               hosts::HostOperationOutcome outcome) {
  SetLeaving(host, false);
  Release(host.name);
  const storage::VersionedRow row = m_ledger.GetSharedRow(MakeWaveKey(wave));
  hosts::WaveRecord record = ReadRecord(row);
  const auto running = record.running.find(host.name);
  if (running == record.running.end() || running->second != m_options.holder) {
    return;
  }
  record.running.erase(running);
  if (outcome == hosts::HostOperationOutcome::kNotInWave ||
      outcome == hosts::HostOperationOutcome::kInvalid) {
    record.gone.insert(host.name);
  }
  m_ledger.WriteSharedRow(row, hosts::EncodeWaveRecord(record));
}

void WaveCoordinator::Release(const std::string& host) {
  const auto found = m_preparing.find(host);
  if (found == m_preparing.end()) {
    return;
  }
  const Preparation preparation = std::move(found->second);
  m_preparing.erase(found);
  // The host list may lack the host for a moment.
  PoolRunner* pool = m_find_pool(preparation.pool);
  if (pool != nullptr) {
    ResumeScheduling(*pool, preparation.target);
  }
}

std::set<std::string> WaveCoordinator::ListNeededHosts() const {
  std::set<std::string> needed;
  for (const auto& [number, wave] : m_waves) {
    try {
      const hosts::WaveRecord record =
          ReadRecord(m_ledger.GetSharedRow(MakeWaveKey(number)));
      const auto waiting = hosts::ListWaitingHosts(wave, record);
      needed.insert(waiting.begin(), waiting.end());
      for (const auto& [name, holder] : record.running) {
        needed.insert(name);
      }
    } catch (const std::runtime_error&) {
      needed.insert(wave.hosts.begin(), wave.hosts.end());
    }
  }
  return needed;
}

void WaveCoordinator::ReleaseUnneeded() {
  if (m_preparing.empty()) {
    return;
  }
  const std::set<std::string> needed = ListNeededHosts();
  std::vector<std::string> unneeded;
  for (const auto& [name, preparation] : m_preparing) {
    if (needed.count(name) == 0) {
      unneeded.push_back(name);
    }
  }
  for (const std::string& name : unneeded) {
    Release(name);
  }
}

void WaveCoordinator::ReportStatus(const hosts::MaintenanceWave& wave,
                                   bool is_completed) {
  const auto reported = m_reported_status.find(wave.number);
  if (reported != m_reported_status.end() && reported->second == is_completed) {
    return;
  }
  m_reported_status[wave.number] = is_completed;
  storage::RowTransaction transaction;
  const storage::RowKey key{
      platform::kStatusTable, platform::kSharedPartition,
      platform::kWaveKeyPrefix + std::to_string(wave.number)};
  transaction.writes = {
      {key, platform::EncodeWaveStatus(wave.number, is_completed)}};
  // A first status that is carried out late, or by a holder whose record is
  // old, must not replace the final one.
  if (!is_completed) {
    transaction.expected = {{key, storage::kNoVersion}};
  }
  m_store.Commit(std::move(transaction),
                 m_lifetime.Guard([this, number = wave.number, is_completed](
                                      const storage::RowCommitResult& result) {
                   const bool is_known =
                       result.status == storage::RowCommitStatus::kCommitted ||
                       result.status == storage::RowCommitStatus::kConflict;
                   if (!is_known && m_reported_status[number] == is_completed) {
                     m_reported_status.erase(number);
                   }
                 }));
}

}  // namespace shallotwick::scheduler
