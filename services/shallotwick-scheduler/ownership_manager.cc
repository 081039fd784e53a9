#include "ownership_manager.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "base/log.h"
#include "base/log_catalogue.h"
#include "job_tables.h"
#include "platform/wire_reader.h"

namespace shallotwick::scheduler {
namespace {

// The first-ranked host claims a pool immediately; each further host waits this
// long for every host ranked before it.
constexpr auto kRankDelay = std::chrono::milliseconds(1'000);
// A change of owner costs seconds, and must be worth that.
constexpr double kMinStrengthFactor = 2;
// A host that has given a pool up lets all others claim it first for this
// long.
constexpr auto kGivenUpTime = std::chrono::seconds(30);
// The interval between claims or releases of a pool that this host owns but
// does not run.
constexpr auto kResolvePeriod = std::chrono::milliseconds(200);

// Run numbers are multiples of the term.
constexpr platform::WireRange kTermRange{0, platform::kMaxExactInteger / 1'000};

std::string EncodeOwner(const ownership::OwnerRecord& record) {
  return nlohmann::json{{"host", record.holder.host},
                        {"boot", record.holder.boot},
                        {"term", record.term}}
      .dump();
}

// A malformed row names no owner, so the pool is claimed. The row's version is
// used as its term: versions rise with each write, so no earlier term exceeds
// it.
ownership::OwnerRecord DecodeOwner(const storage::VersionedRow& row) {
  ownership::OwnerRecord record;
  if (row.version == storage::kNoVersion || row.is_removed) {
    return record;
  }
  try {
    const auto object = platform::ParseWire(row.value);
    const platform::WireReader reader(object);
    // A pool that was released has an owner without a name.
    record.holder.host = reader.GetText("host", platform::kMaxTextBytes);
    record.holder.boot = reader.GetText("boot", platform::kMaxTextBytes);
    record.term = reader.GetInteger("term", kTermRange);
  } catch (const std::runtime_error& error) {
    base::Log(
        base::events::kStoreContentInvalid,
        {{"row", row.key.table + "/" + row.key.part}, {"fault", error.what()}});
    record = {{}, static_cast<int64_t>(row.version)};
  }
  return record;
}

}  // namespace

OwnershipManager::OwnershipManager(base::EventLoop& loop,
                                   storage::RowStore& store,
                                   SessionRenewer& session)
    : m_loop(loop),
      m_store(store),
      m_session(session),
      m_owners_table(loop, store, {kOwnerTable, {}}) {
  m_owners_table.m_on_reset =
      [this](const std::vector<storage::VersionedRow>& rows) { OnReset(rows); };
  m_owners_table.m_on_change = [this](const storage::VersionedRow& row) {
    OnOwnerRow(row);
  };
}

void OwnershipManager::SetPools(const std::set<std::string>& pools) {
  if (std::includes(m_pools.begin(), m_pools.end(), pools.begin(),
                    pools.end())) {
    return;
  }
  // A pool removed from the configuration keeps its owner until its jobs have
  // ended.
  m_pools.insert(pools.begin(), pools.end());
  m_owners_table.Restart({m_pools.begin(), m_pools.end()});
}

void OwnershipManager::OnReset(const std::vector<storage::VersionedRow>& rows) {
  for (const storage::VersionedRow& row : rows) {
    OnOwnerRow(row);
  }
  ClaimOrphanedPools();
}

void OwnershipManager::OnOwnerRow(const storage::VersionedRow& row) {
  const std::string& pool = row.key.part;
  Owner& owner = m_owners[pool];
  if (row.version < owner.version) {
    return;
  }
  owner = Owner{DecodeOwner(row), row.version};
  m_orphaned_since.erase(pool);
  const bool is_own = owner.record.holder == m_session.GetSelf();
  if (!is_own && m_owned.erase(pool) > 0) {
    m_on_lost(pool);
  } else if (is_own) {
    // The claim may have been committed without a response.
    ResolveIdlePool(pool);
  }
}

void OwnershipManager::ClaimOrphanedPools() {
  const auto now = base::RuntimeClock::now();
  const bool can_claim = m_is_claiming && m_owners_table.IsLoaded() &&
                         m_session.IsSessionValid(now);
  if (!can_claim) {
    return;
  }
  for (const std::string& pool : m_pools) {
    if (m_owned.count(pool) > 0 && !m_is_running(pool)) {
      OnRunnerEnded(pool);
    } else {
      ResolveIdlePool(pool);
    }
  }
  ReclaimOwnPools();
  if (!m_session.GetMonitor().HasObservedLongEnough()) {
    return;
  }
  const auto ranks = ownership::RankCandidates(
      m_pools, ListOwners(), m_session.GetMonitor().GetLiveHosts());
  for (const auto& [pool, hosts] : ranks) {
    const auto since = m_orphaned_since.try_emplace(pool, now).first->second;
    const auto turns = CountTurnsBeforeClaim(pool, hosts);
    if (turns && now >= since + kRankDelay * *turns) {
      Claim(pool);
    }
  }
  std::erase_if(m_orphaned_since, [&ranks](const auto& entry) {
    return ranks.count(entry.first) == 0;
  });
}

std::optional<ptrdiff_t> OwnershipManager::CountTurnsBeforeClaim(
    const std::string& pool,
    const std::vector<ownership::Incarnation>& hosts) const {
  const auto own = std::find(hosts.begin(), hosts.end(), m_session.GetSelf());
  if (own == hosts.end()) {
    return std::nullopt;
  }
  const auto given_up = m_given_up_at.find(pool);
  const bool goes_last =
      given_up != m_given_up_at.end() &&
      base::RuntimeClock::now() < given_up->second + kGivenUpTime;
  return goes_last ? std::ssize(hosts) : std::distance(hosts.begin(), own);
}

std::optional<ownership::Incarnation> OwnershipManager::FindOwner(
    const std::string& pool) const {
  const auto found = m_owners.find(pool);
  if (found == m_owners.end() || found->second.record.holder.host.empty()) {
    return std::nullopt;
  }
  return found->second.record.holder;
}

bool OwnershipManager::IsOwner(
    const ownership::Incarnation& incarnation) const {
  return std::any_of(m_owners.begin(), m_owners.end(),
                     [&incarnation](const auto& entry) {
                       return entry.second.record.holder == incarnation;
                     });
}

bool OwnershipManager::MustWatchClosely() const {
  if (!m_owned.empty() || !m_owners_table.IsLoaded()) {
    return true;
  }
  const ownership::SessionMonitor& monitor = m_session.GetMonitor();
  const bool may_be_orphaned =
      std::any_of(m_pools.begin(), m_pools.end(), [&](const std::string& pool) {
        const auto owner = m_owners.find(pool);
        return owner == m_owners.end() ||
               monitor.IsSuspect(owner->second.record.holder);
      });
  return may_be_orphaned ||
         ownership::SelectWatchers(monitor.GetLiveHosts(), m_pools.size())
                 .count(m_session.GetSelf()) > 0;
}

// Claims the pools that a previous process of this host owned. That process is
// certainly gone, since this one has taken over its session.
void OwnershipManager::ReclaimOwnPools() {
  const ownership::Incarnation& self = m_session.GetSelf();
  for (const std::string& pool : m_pools) {
    const ownership::Incarnation& holder = m_owners[pool].record.holder;
    if (holder.host == self.host && holder.boot != self.boot) {
      Claim(pool);
    }
  }
}

void OwnershipManager::OnRunnerEnded(const std::string& pool) {
  if (m_owned.erase(pool) == 0) {
    return;
  }
  // A runner is told that it is lost by a target's higher token or by the owner
  // row; only the row shows who the owner is.
  ResolveIdlePoolAfterDelay(pool);
}

void OwnershipManager::ResolveIdlePoolAfterDelay(const std::string& pool) {
  m_loop.RunAfter(kResolvePeriod,
                  m_lifetime.Guard([this, pool] { ResolveIdlePool(pool); }));
}

void OwnershipManager::ResolveIdlePool(const std::string& pool) {
  const Owner& owner = m_owners[pool];
  const bool is_idle =
      owner.record.holder == m_session.GetSelf() && m_owned.count(pool) == 0 &&
      m_pending_claims.count(pool) == 0 && m_pending_releases.count(pool) == 0;
  if (!is_idle) {
    return;
  }
  if (!m_is_claiming) {
    WriteRelease(pool, [this, pool] { ResolveIdlePoolAfterDelay(pool); });
    return;
  }
  const auto used = m_used_versions.find(pool);
  const bool is_new =
      used == m_used_versions.end() || owner.version > used->second;
  if (is_new) {
    RecordGainedPool(pool, owner);
  } else if (m_session.IsSessionValid(base::RuntimeClock::now())) {
    base::Log(base::events::kPoolWithoutRunner,
              {{"pool", pool},
               {"term", std::to_string(owner.record.term)},
               {"fence", std::to_string(owner.version)}});
    Claim(pool);
  }
}

void OwnershipManager::Claim(const std::string& pool) {
  if (!m_pending_claims.insert(pool).second) {
    return;
  }
  const Owner& owner = m_owners[pool];
  const ownership::OwnerRecord record{m_session.GetSelf(),
                                      owner.record.term + 1};
  storage::RowTransaction transaction;
  transaction.expected = {{MakeOwnerKey(pool), owner.version}};
  // The store may execute the claim late. By then the holder may have renewed
  // its session and confirmed its ownership. This host's own former process is
  // gone, and its session row is renewed all the time.
  const std::string& holder_host = owner.record.holder.host;
  if (!holder_host.empty() && holder_host != m_session.GetSelf().host) {
    transaction.expected.push_back({MakeSessionKey(holder_host),
                                    m_session.GetSessionVersion(holder_host)});
  }
  transaction.writes = {{MakeOwnerKey(pool), EncodeOwner(record)}};
  m_store.Commit(std::move(transaction),
                 m_lifetime.Guard([this, pool, record](
                                      const storage::RowCommitResult& result) {
                   OnClaimed(pool, record, result);
                 }));
}

void OwnershipManager::OnClaimed(const std::string& pool,
                                 const ownership::OwnerRecord& record,
                                 const storage::RowCommitResult& result) {
  m_pending_claims.erase(pool);
  if (result.status == storage::RowCommitStatus::kCommitted) {
    Owner& owner = m_owners[pool];
    if (result.version > owner.version) {
      owner = Owner{record, result.version};
    }
    ResolveIdlePool(pool);
    return;
  }
  // After a conflict or a missing response, the row itself shows who owns the
  // pool.
  ApplyConflict(result);
  if (m_owners[pool].record.holder == m_session.GetSelf()) {
    ResolveIdlePoolAfterDelay(pool);
  }
}

void OwnershipManager::ApplyConflict(const storage::RowCommitResult& result) {
  for (const storage::VersionedRow& row : result.current) {
    if (row.key.table == kOwnerTable) {
      OnOwnerRow(row);
    }
  }
}

void OwnershipManager::RecordGainedPool(const std::string& pool,
                                        const Owner& owner) {
  m_owned.insert(pool);
  m_used_versions[pool] = owner.version;
  base::Log(base::events::kPoolClaimed,
            {{"pool", pool},
             {"term", std::to_string(owner.record.term)},
             {"fence", std::to_string(owner.version)}});
  m_on_gained(pool, owner.version, owner.record.term);
}

void OwnershipManager::Release(const std::string& pool,
                               std::function<void()> on_done) {
  if (m_owners[pool].record.holder != m_session.GetSelf()) {
    on_done();
    return;
  }
  WriteRelease(pool, [this, pool, on_done = std::move(on_done)] {
    const bool is_released =
        m_owners[pool].record.holder != m_session.GetSelf();
    const base::Duration delay =
        is_released ? base::Duration(0) : base::Duration(kResolvePeriod);
    m_loop.RunAfter(delay, m_lifetime.Guard([this, pool, on_done] {
      Release(pool, on_done);
    }));
  });
}

std::map<std::string, ownership::OwnerRecord> OwnershipManager::ListOwners()
    const {
  std::map<std::string, ownership::OwnerRecord> owners;
  for (const auto& [pool, owner] : m_owners) {
    owners[pool] = owner.record;
  }
  return owners;
}

bool OwnershipManager::HasStrongerCandidate(const std::string& pool) const {
  const auto live = m_session.GetMonitor().GetLiveHosts();
  const auto self = live.find(m_session.GetSelf());
  if (self == live.end()) {
    return false;
  }
  auto owners = ListOwners();
  owners.erase(pool);
  auto others = live;
  others.erase(m_session.GetSelf());
  const auto ranks = ownership::RankCandidates(m_pools, owners, others);
  const auto hosts = ranks.find(pool);
  return hosts != ranks.end() && !hosts->second.empty() &&
         live.at(hosts->second.front()) >= kMinStrengthFactor * self->second;
}

void OwnershipManager::GiveUp(const std::string& pool) {
  if (m_owned.count(pool) == 0) {
    return;
  }
  m_given_up_at[pool] = base::RuntimeClock::now();
  // The store may carry a refused release out late. A claim on the version that
  // it releases keeps it from taking effect afterwards.
  WriteRelease(pool, [this, pool] { ResolveIdlePool(pool); });
}

void OwnershipManager::WriteRelease(const std::string& pool,
                                    std::function<void()> on_end) {
  m_owned.erase(pool);
  m_pending_releases.insert(pool);
  const Owner& owner = m_owners[pool];
  ownership::OwnerRecord record;
  record.term = owner.record.term;
  storage::RowTransaction transaction;
  transaction.expected = {{MakeOwnerKey(pool), owner.version}};
  transaction.writes = {{MakeOwnerKey(pool), EncodeOwner(record)}};
  m_store.Commit(
      std::move(transaction),
      m_lifetime.Guard([this, pool, record, on_end = std::move(on_end)](
                           const storage::RowCommitResult& result) {
        m_pending_releases.erase(pool);
        if (result.status == storage::RowCommitStatus::kCommitted) {
          Owner& released = m_owners[pool];
          if (result.version > released.version) {
            released = Owner{record, result.version};
          }
        }
        ApplyConflict(result);
        on_end();
      }));
}

}  // namespace shallotwick::scheduler
