#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "host_ledger.h"
#include "hosts/capacity_need.h"
#include "hosts/standby_policy.h"
#include "pool_runner.h"

namespace shallotwick::scheduler {

// Moves hosts between pools: writes what this host's pools lack, and gives
// hosts that they don't use to pools that lack some, or else to a pool that is
// switched off.
class CapacityBroker {
 public:
  // `move_time`: until a host that is moved takes work.
  CapacityBroker(hosts::HostOperations& operations, HostLedger& ledger,
                 base::Duration move_time);

  // The time of day that all hosts agree on, in milliseconds since the Unix
  // epoch.
  std::function<int64_t()> m_get_unix_ms = base::WallClockMilliseconds;
  // The pools that this host owns.
  std::function<std::map<std::string, PoolRunner*>()> m_get_pools;
  std::function<bool(const std::string& host)> m_is_reserved;

  void SetStandbyPools(std::set<std::string> pools) {
    m_standby_pools = std::move(pools);
  }
  void Reconsider(base::TimePoint now);
  // Whether a pool lacks hosts, or its need has just grown.
  bool IsAnyPoolShort(base::TimePoint now) const;

 private:
  struct PoolView {
    int timely = 0;
    int wanted = 0;
    int present = 0;
    int busy = 0;
    double cores_per_host = 0;
    // Cores in use, and cores that ready tasks wait for.
    double running_cores = 0;
    double waiting_cores = 0;
    // The pool's cores on targets that take new tasks.
    double usable_cores = 0;
  };

  // Of the pools that are not switched off.
  using Needs = std::map<std::string, hosts::NeedRecord>;

  PoolView Look(const std::string& pool, PoolRunner& runner) const;
  void LogChange(const std::string& pool, const PoolView& view);
  hosts::NeedRecord UpdateNeed(const std::string& pool,
                               const PoolView& view) const;
  void WriteNeed(const std::string& pool, const hosts::NeedRecord& need,
                 base::TimePoint now);
  // Returns whether a call was made.
  bool CallStandbyHosts(const std::string& pool, hosts::NeedRecord need,
                        const Needs& needs, base::TimePoint now);
  // Keeps new work off hosts that another pool should have.
  void YieldHosts(const std::string& pool, PoolRunner& runner,
                  const PoolView& view, const Needs& needs);
  Needs ReadNeeds() const;
  // Notes which pools' needs grow.
  void WatchNeeds(const Needs& needs, base::TimePoint now);
  // How many hosts of this owner's pools may be switched off.
  size_t CountNeedless(const Needs& needs, base::TimePoint now) const;
  bool IsAnyNeedRising(const std::string& pool, base::TimePoint now) const;
  void GiveSurplus(const std::string& pool, PoolRunner& runner,
                   const PoolView& view, const Needs& needs,
                   base::TimePoint now);
  std::vector<std::string> FindIdleHosts(const std::string& pool,
                                         const PoolRunner& runner,
                                         base::TimePoint now) const;
  void Give(const std::string& pool, std::vector<std::string> idle,
            const Needs& needs, size_t most_switched_off);
  void Move(const std::string& from, const std::vector<std::string>& names,
            const std::string& to, const storage::VersionedRow& row,
            const std::string& new_value);
  void SetCordoned(const std::string& pool,
                   const std::vector<std::string>& names, bool cordoned);
  void OnMoved(const std::string& from, const std::string& host,
               const std::string& target, hosts::HostOperationOutcome outcome);

  hosts::HostOperations& m_operations;
  HostLedger& m_ledger;
  base::Duration m_move_time;
  std::set<std::string> m_standby_pools;
  std::map<std::string, PoolView> m_logged;
  // Since when a pool has had more hosts than it wants.
  std::map<std::string, base::TimePoint> m_surplus_since;
  // Hosts that take no new work, as another pool should have them.
  std::map<std::string, std::set<std::string>> m_yielding;
  // Pools of this host that are calling standby hosts.
  std::set<std::string> m_calling;
  struct SeenNeed {
    int wanted = 0;
    base::TimePoint rose;
  };

  std::map<std::string, SeenNeed> m_seen_needs;
  hosts::StandbyPolicy m_standby_policy;
  std::map<std::string, base::TimePoint> m_need_written;
  // Hosts that were moved, until the list shows it.
  std::map<std::string, base::TimePoint> m_moved;
  base::Lifetime m_lifetime;
};

}  // namespace shallotwick::scheduler
