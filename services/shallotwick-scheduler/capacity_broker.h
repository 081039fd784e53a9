#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "accepted_operations.h"
#include "base/event_loop.h"
#include "host_ledger.h"
#include "hosts/capacity_plan.h"
#include "hosts/host_transfers.h"
#include "hosts/standby_policy.h"
#include "pool_runner.h"

namespace shallotwick::scheduler {

// Moves hosts between pools: publishes the capacity demand of this host's
// pools, carries out their part of the capacity plan, and switches off hosts
// that no pool needs.
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
  // Whether the store takes long for transactions, so that demands are written
  // less often.
  std::function<bool()> m_is_store_slow = [] { return false; };

  void SetStandbyPools(std::set<std::string> pools) {
    m_standby_pools = std::move(pools);
  }
  // Returns the hosts that any owner's record takes from the pool.
  std::set<std::string> ListRecordedTransfers(const std::string& pool) const;
  void RebalanceHosts(base::TimePoint now);
  // Returns whether a pool has a shortage of hosts, or its demand has just
  // grown.
  bool IsAnyPoolShort(base::TimePoint now) const;

 private:
  struct PoolView {
    hosts::CapacityDemand demand;
    double cores_per_host = 0;
    // Cores in use, and cores for which ready tasks wait.
    double running_cores = 0;
    double waiting_cores = 0;
    // Cores on the pool's targets that accept new tasks.
    double usable_cores = 0;
  };

  // The targets of hosts, by host.
  using HostTargets = std::map<std::string, std::string>;
  // All pools other than standby pools.
  using Pools = std::map<std::string, hosts::PoolCapacity>;

  PoolView MeasurePool(const std::string& pool, PoolRunner& runner,
                       base::TimePoint now) const;
  void LogChange(const std::string& pool, const PoolView& view);
  void WriteDemand(const std::string& pool, const hosts::CapacityDemand& demand,
                   base::TimePoint now);
  // Reads the pools from the rows of their owners and the list of hosts.
  Pools ReadPools() const;
  // Returns the transfers of all owners that the list of hosts does not show
  // yet.
  hosts::HostTransfers ReadPendingTransfers() const;
  // Returns the pool that the host is in, or on its way to.
  const std::string& GetPool(const hosts::FleetHost& host) const;
  // Returns the hosts of a standby pool that this owner may activate now.
  std::vector<std::string> FindStandbyHosts(base::TimePoint now) const;
  void ActivateStandbyHosts(const std::string& pool,
                            const hosts::CapacityPlan& plan,
                            std::vector<std::string> standby);
  // Cordons the hosts that the pool is to give up, the least busy ones first.
  void CordonHostsToTransfer(const std::string& pool, PoolRunner& runner,
                             int count);
  void TransferIdleHosts(const std::string& pool, const PoolRunner& runner,
                         const hosts::CapacityPlan& plan, base::TimePoint now);
  void SwitchOffSurplusHosts(const std::string& pool, const PoolRunner& runner,
                             const PoolView& view, const Pools& pools,
                             base::TimePoint now);
  // Tracks which pools' demands grow.
  void TrackDemands(const Pools& pools, base::TimePoint now);
  // Returns how many hosts of this owner's pools may be switched off.
  size_t CountHostsToSwitchOff(const Pools& pools, base::TimePoint now) const;
  bool IsAnyDemandRising(const std::string& pool, base::TimePoint now) const;
  // Returns whether the host runs only short tasks, and may be transferred
  // once these have ended.
  bool IsMovable(const std::string& pool, const PoolRunner& runner,
                 const hosts::FleetHost& host) const;
  std::vector<std::string> FindIdleHosts(const std::string& pool,
                                         const PoolRunner& runner,
                                         base::TimePoint now) const;
  // Orders transfers of hosts that run nothing. `pool` is the pool of this
  // owner that gives or receives them.
  void OrderTransfers(const std::string& pool, hosts::HostTransfers transfers);
  // The versions of the ownerships on which a transfer is based.
  using PoolTerms = std::map<std::string, uint64_t>;

  PoolTerms GetTerms(const std::string& pool,
                     const hosts::HostTransfers& transfers) const;
  bool MayTransfer(const PoolTerms& terms, const hosts::FleetHost& host) const;
  // Removes from the pool's record the transfers that all owners can see in
  // their lists of hosts.
  void RemoveVisibleTransfers(const std::string& pool, base::TimePoint now);
  void SetCordoned(const std::string& pool, const std::string& target,
                   bool cordoned);
  // Cordons a target whose transfer is ordered for long-running tasks too.
  void SetLeaving(const std::string& pool, const std::string& target,
                  bool leaving);
  // Whether this owner has ordered a transfer of the host, or is about to.
  bool IsOrdered(const std::string& host) const;
  // Releases the hosts that no longer are to be transferred, those that may be
  // moving once they turn out not to be.
  void ReleaseHosts(const std::string& pool, const PoolRunner& runner,
                    const HostTargets& to_cordon);
  // `host`: as it was listed when the transfer was ordered.
  void OnTransferred(const std::string& pool, const hosts::FleetHost& host,
                     hosts::HostOperationOutcome outcome);
  void OnTransferResolved(const hosts::FleetHost& host, bool has_target_ended);

  hosts::HostOperations& m_operations;
  HostLedger& m_ledger;
  base::Duration m_move_time;
  std::set<std::string> m_standby_pools;
  std::map<std::string, hosts::CapacityDemand> m_last_logged;
  // Time since which a pool has had more hosts than it demands.
  std::map<std::string, base::TimePoint> m_surplus_since;
  // Hosts cordoned for transfer to another pool, by their current pool.
  std::map<std::string, HostTargets> m_cordoned_for_transfer;
  // Those no longer to be transferred that may be moving, by pool.
  std::map<std::string, HostTargets> m_to_release;
  struct ObservedDemand {
    int wanted = 0;
    base::TimePoint rose_at;
  };

  std::map<std::string, ObservedDemand> m_observed_demands;
  hosts::StandbyPolicy m_standby_policy;
  std::map<std::string, base::TimePoint> m_demand_written_at;
  // The transfers that this owner has ordered for each of its pools, as its
  // record shows them to other owners.
  std::map<std::string, hosts::HostTransfers> m_transfers;
  // Pools whose record is being written.
  std::set<std::string> m_writing_transfers;
  std::map<std::string, base::TimePoint> m_transfer_ended_at;
  AcceptedOperations m_accepted_operations;
  // The transfers of all owners, as read at the begin of the last pass.
  hosts::HostTransfers m_pending_transfers;
  // Time of the list of hosts that the pools know the fleet from.
  base::TimePoint m_fleet_list_time;
  base::Lifetime m_lifetime;
};

}  // namespace shallotwick::scheduler
