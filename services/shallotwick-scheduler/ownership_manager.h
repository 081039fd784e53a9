#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>

#include "base/event_loop.h"
#include "ownership/pool_assignment.h"
#include "session_keeper.h"
#include "storage/row_store.h"
#include "table_follower.h"

namespace shallotwick::scheduler {

// Takes pools that have no live owner, and says which ones this host owns.
class OwnershipManager {
 public:
  OwnershipManager(base::EventLoop& loop, storage::RowStore& store,
                   SessionKeeper& session);

  // This host owns the pool; the version is that of the row that says so.
  std::function<void(const std::string& pool, uint64_t version, int64_t term)>
      m_on_gained;
  std::function<void(const std::string& pool)> m_on_lost;

  void SetPools(const std::set<std::string>& pools);
  // Takes pools if there are any to take; call after each reading of sessions.
  void Reconsider();
  // Whether this host owns pools, is among the first to take one, or has seen
  // signs that a pool's owner is gone.
  bool MustWatchClosely() const;
  // Stops taking pools.
  void StopClaiming() { m_is_claiming = false; }
  // Gives a pool up.
  void Release(const std::string& pool, std::function<void()> on_end);

 private:
  struct Owner {
    ownership::OwnerRecord record;
    uint64_t version = storage::kNoVersion;
  };

  void OnReset(const std::vector<storage::VersionedRow>& rows);
  void OnOwnerRow(const storage::VersionedRow& row);
  void ClaimBack();
  void Claim(const std::string& pool);
  void OnClaimed(const std::string& pool, const ownership::OwnerRecord& record,
                 const storage::RowCommitResult& result);
  void Gain(const std::string& pool, const Owner& owner);

  storage::RowStore& m_store;
  SessionKeeper& m_session;
  TableFollower m_owners_table;
  std::set<std::string> m_pools;
  std::map<std::string, Owner> m_owners;
  std::map<std::string, base::TimePoint> m_orphaned_since;
  std::set<std::string> m_owned;
  std::set<std::string> m_claiming;
  bool m_is_claiming = true;
  base::Lifetime m_lifetime;
};

}  // namespace shallotwick::scheduler
