#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>

#include "base/event_loop.h"
#include "ownership/pool_assignment.h"
#include "session_renewer.h"
#include "storage/row_store.h"
#include "table_follower.h"

namespace shallotwick::scheduler {

// Claims pools without a live owner and tracks which pools this host owns.
class OwnershipManager {
 public:
  OwnershipManager(base::EventLoop& loop, storage::RowStore& store,
                   SessionRenewer& session);

  // Called when this host has become the pool's owner; `version` is that of the
  // row that records the ownership.
  std::function<void(const std::string& pool, uint64_t version, int64_t term)>
      m_on_gained;
  std::function<void(const std::string& pool)> m_on_lost;
  // Whether this host runs a pool that it has gained.
  std::function<bool(const std::string& pool)> m_is_running =
      [](const std::string&) { return true; };

  void SetPools(const std::set<std::string>& pools);
  // Returns the pools that a configuration has named so far.
  const std::set<std::string>& GetPools() const { return m_pools; }
  // Claims pools without a live owner; called after each read of the sessions.
  void ClaimOrphanedPools();
  // Whether this host owns pools, ranks among the first hosts to claim one, or
  // suspects that the owner of a pool is gone.
  bool MustWatchClosely() const;
  // Returns the owner of the pool according to its row as last read.
  std::optional<ownership::Incarnation> FindOwner(
      const std::string& pool) const;
  // Returns whether the host owns a pool according to the rows as last read.
  bool IsOwner(const ownership::Incarnation& incarnation) const;
  // Stops claiming pools. Those that are gained nevertheless are released.
  void StopClaiming() { m_is_claiming = false; }
  // Releases the ownership of a pool; repeated until the store has answered.
  void Release(const std::string& pool, std::function<void()> on_done);
  // Returns whether a host with far more processor time than this one would be
  // the first to claim the pool if this host released it.
  bool HasStrongerCandidate(const std::string& pool) const;
  // Releases a pool that this host owns and cannot load or run well. Other
  // hosts claim it first. If the release fails, the host claims the pool anew.
  void GiveUp(const std::string& pool);
  // This host runs a pool no more. Unless another host owns the pool by now,
  // this one claims it anew.
  void OnRunnerEnded(const std::string& pool);

 private:
  struct Owner {
    ownership::OwnerRecord record;
    uint64_t version = storage::kNoVersion;
  };

  void OnReset(const std::vector<storage::VersionedRow>& rows);
  void OnOwnerRow(const storage::VersionedRow& row);
  void ReclaimOwnPools();
  // Claims, runs or releases a pool that this host owns but does not run.
  void ResolveIdlePool(const std::string& pool);
  void ResolveIdlePoolAfterDelay(const std::string& pool);
  std::map<std::string, ownership::OwnerRecord> ListOwners() const;
  // Returns how many turns this host waits before it claims a pool, if it may.
  std::optional<ptrdiff_t> CountTurnsBeforeClaim(
      const std::string& pool,
      const std::vector<ownership::Incarnation>& hosts) const;
  // Calls back unless a release of the pool is under way.
  void WriteRelease(const std::string& pool, std::function<void()> on_end);
  void OnReleaseAnswered(const std::string& pool,
                         const storage::RowCommitResult& result);
  void Claim(const std::string& pool);
  void OnClaimed(const std::string& pool, const ownership::OwnerRecord& record,
                 const storage::RowCommitResult& result);
  // Takes over the owner row that a conflict shows.
  void ApplyConflict(const storage::RowCommitResult& result);
  void RecordGainedPool(const std::string& pool, const Owner& owner);

  base::EventLoop& m_loop;
  storage::RowStore& m_store;
  SessionRenewer& m_session;
  TableFollower m_owners_table;
  std::set<std::string> m_pools;
  std::map<std::string, Owner> m_owners;
  std::map<std::string, base::TimePoint> m_orphaned_since;
  // The pools that this host owns and runs.
  std::set<std::string> m_owned;
  // The version under which this host has last run each pool. Targets may have
  // seen any fencing token of it, and its run numbers may be used up.
  std::map<std::string, uint64_t> m_used_versions;
  // When this host gave up pools.
  std::map<std::string, base::TimePoint> m_given_up_at;
  std::set<std::string> m_pending_claims;
  std::set<std::string> m_pending_releases;
  bool m_is_claiming = true;
  base::Lifetime m_lifetime;
};

}  // namespace shallotwick::scheduler
