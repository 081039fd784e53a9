#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "host_ledger.h"
#include "hosts/capacity_demand.h"
#include "hosts/standby_policy.h"
#include "pool_runner.h"

namespace shallotwick::scheduler {

// Moves hosts between pools: records the capacity demand of this host's pools,
// and transfers hosts that they do not use to pools with a shortage, or
// otherwise to a standby pool.
class CapacityBroker {
 public:
  // `move_time`: time until a moved host can accept work.
  CapacityBroker(hosts::HostOperations& operations, HostLedger& ledger,
                 base::Duration move_time);

  // Returns the fleet-wide time of day in milliseconds since the Unix epoch.
  std::function<int64_t()> m_get_unix_ms = base::WallClockMilliseconds;
  // Returns the pools that this host owns.
  std::function<std::map<std::string, PoolRunner*>()> m_get_pools;
  std::function<bool(const std::string& host)> m_is_reserved;

  void SetStandbyPools(std::set<std::string> pools) {
    m_standby_pools = std::move(pools);
  }
  void RebalanceHosts(base::TimePoint now);
  // Returns whether a pool has a shortage of hosts, or its demand has just
  // grown.
  bool IsAnyPoolShort(base::TimePoint now) const;

 private:
  struct PoolView {
    int timely = 0;
    int wanted = 0;
    int present = 0;
    int busy = 0;
    double cores_per_host = 0;
    // Cores in use, and cores for which ready tasks wait.
    double running_cores = 0;
    double waiting_cores = 0;
    // Cores on the pool's targets that accept new tasks.
    double usable_cores = 0;
  };

  // Demands of all pools other than standby pools.
  using Demands = std::map<std::string, hosts::CapacityDemand>;

  PoolView MeasurePool(const std::string& pool, PoolRunner& runner) const;
  void LogChange(const std::string& pool, const PoolView& view);
  hosts::CapacityDemand ComputeDemand(const std::string& pool,
                                      const PoolView& view) const;
  void WriteDemand(const std::string& pool, const hosts::CapacityDemand& demand,
                   base::TimePoint now);
  // Returns whether standby hosts are being activated.
  bool ActivateStandbyHosts(const std::string& pool,
                            hosts::CapacityDemand demand,
                            const Demands& demands, base::TimePoint now);
  // Cordons hosts that should be transferred to another pool.
  void CordonHostsForOtherPools(const std::string& pool, PoolRunner& runner,
                                const PoolView& view, const Demands& demands);
  Demands ReadDemands() const;
  // Tracks which pools' demands grow.
  void TrackDemands(const Demands& demands, base::TimePoint now);
  // Returns how many hosts of this owner's pools may be switched off.
  size_t CountHostsToSwitchOff(const Demands& demands,
                               base::TimePoint now) const;
  bool IsAnyDemandRising(const std::string& pool, base::TimePoint now) const;
  void ReleaseSurplusHosts(const std::string& pool, PoolRunner& runner,
                           const PoolView& view, const Demands& demands,
                           base::TimePoint now);
  std::vector<std::string> FindIdleHosts(const std::string& pool,
                                         const PoolRunner& runner,
                                         base::TimePoint now) const;
  void TransferHosts(const std::string& pool, std::vector<std::string> idle,
                     const Demands& demands, size_t max_switched_off);
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
  std::map<std::string, PoolView> m_last_logged;
  // Time since which a pool has had more hosts than it demands.
  std::map<std::string, base::TimePoint> m_surplus_since;
  // Hosts cordoned for transfer to another pool, by their current pool.
  std::map<std::string, std::set<std::string>> m_cordoned_for_transfer;
  // Pools of this owner for which standby hosts are being activated.
  std::set<std::string> m_activating;
  struct ObservedDemand {
    int wanted = 0;
    base::TimePoint rose_at;
  };

  std::map<std::string, ObservedDemand> m_observed_demands;
  hosts::StandbyPolicy m_standby_policy;
  std::map<std::string, base::TimePoint> m_demand_written_at;
  // Hosts that were moved, kept until a newer host list shows the move.
  std::map<std::string, base::TimePoint> m_moved;
  base::Lifetime m_lifetime;
};

}  // namespace shallotwick::scheduler
