#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "accepted_operations.h"
#include "base/event_loop.h"
#include "host_ledger.h"
#include "hosts/maintenance_wave.h"
#include "pool_runner.h"

namespace shallotwick::scheduler {

struct WaveCoordinatorOptions {
  std::string holder;
  // How long a host is down for maintenance.
  base::Duration maintenance_time = std::chrono::seconds(2);
};

// Coordinates the maintenance of the hosts in this owner's pools. Drains a host
// of tasks, starts its maintenance when the wave has a free slot and no
// disruption budget is violated, and records it as done when it is up again.
class WaveCoordinator {
 public:
  WaveCoordinator(storage::RowStore& store, hosts::HostOperations& operations,
                  HostLedger& ledger, const WaveCoordinatorOptions& options);

  // Returns the fleet-wide time of day in milliseconds since the Unix epoch.
  std::function<int64_t()> m_get_unix_ms = base::WallClockMilliseconds;
  // Returns the pool if this host owns it, otherwise null.
  std::function<PoolRunner*(const std::string& pool)> m_find_pool;

  // Returns whether the process named by `holder` takes care of the maintenance
  // that it has started: it is live and owns a pool.
  std::function<bool(const std::string& holder)> m_is_holder_active;

  // Whether a pool currently has a shortage of hosts.
  std::function<bool()> m_are_hosts_short = [] { return false; };

  void SetWave(const hosts::MaintenanceWave& wave);
  // Returns the hosts whose maintenance a record names as running and which the
  // platform is not known to have accepted.
  std::set<std::string> ListUnacceptedMaintenance() const;
  void ProcessWaves(base::TimePoint now);
  // Forgets the hosts that are cordoned in a pool that is lost: if it is gained
  // again, its targets are not cordoned.
  void ForgetPool(const std::string& pool);
  // Whether the host is being prepared for maintenance and so must not be
  // moved.
  bool IsPreparing(const std::string& host) const {
    return m_preparing.count(host) > 0;
  }

 private:
  // Since when a host is cordoned, and the target that is.
  struct Preparation {
    base::TimePoint since;
    std::string pool;
    std::string target;
  };

  void ProcessWave(const hosts::MaintenanceWave& wave, base::TimePoint now);
  int CountFreeSlots(const hosts::MaintenanceWave& wave,
                     const hosts::WaveRecord& record) const;
  // Returns whether it has changed the record or requested an operation that
  // changes it.
  bool UpdateRecord(const hosts::MaintenanceWave& wave,
                    const storage::VersionedRow& row, hosts::WaveRecord record,
                    base::TimePoint now);
  // Each of these returns whether it has changed the record.
  bool RecordAcceptedHosts(int64_t wave, hosts::WaveRecord& record);
  bool RecordReturnedHosts(int64_t wave, hosts::WaveRecord& record,
                           base::TimePoint now);
  bool RecordMissingHosts(const hosts::MaintenanceWave& wave,
                          hosts::WaveRecord& record);
  // Whether this process takes care of the maintenance that `holder` started.
  bool IsInCharge(const std::string& holder) const;
  void ForgetWave(int64_t number);
  bool ResumeAbandonedMaintenance(const hosts::MaintenanceWave& wave,
                                  const hosts::FleetHost& host,
                                  const storage::VersionedRow& row,
                                  const hosts::WaveRecord& record,
                                  base::TimePoint now);
  void OnMaintenanceResolved(const hosts::FleetHost& host,
                             bool has_target_ended);
  void Cordon(const hosts::FleetHost& host, PoolRunner& pool,
              base::TimePoint now);
  void CordonNextHosts(const hosts::MaintenanceWave& wave,
                       const hosts::WaveRecord& record, int free_slots,
                       base::TimePoint now);
  bool IsReadyForMaintenance(const hosts::FleetHost& host,
                             base::TimePoint now) const;
  void StartMaintenance(const hosts::MaintenanceWave& wave,
                        const std::vector<hosts::FleetHost>& selected,
                        const storage::VersionedRow& row,
                        hosts::WaveRecord record);
  void OnMaintenanceResult(int64_t wave, const hosts::FleetHost& host,
                           hosts::HostOperationOutcome outcome);
  void FreeSlot(int64_t wave, const hosts::FleetHost& host,
                hosts::HostOperationOutcome outcome);
  // Frees the slot of a host whose maintenance the platform has rejected, once
  // the list shows that it is not down. Returns whether it has freed one.
  bool FreeRejectedSlots(int64_t wave, const hosts::WaveRecord& record);
  // Returns the version of this host's ownership of the pool.
  uint64_t GetOwnerVersion(const std::string& pool) const;
  void ReportStatus(const hosts::MaintenanceWave& wave, bool is_completed);
  void Evacuate(const hosts::FleetHost& host, base::TimePoint now);
  void SetLeaving(const hosts::FleetHost& host, bool leaving);
  void Release(const std::string& host);
  // Releases the hosts that are cordoned and that no wave needs any longer.
  void ReleaseUnneeded();
  // Returns the hosts that a wave lists as waiting or running.
  std::set<std::string> ListNeededHosts() const;

  storage::RowStore& m_store;
  hosts::HostOperations& m_operations;
  HostLedger& m_ledger;
  WaveCoordinatorOptions m_options;
  std::map<int64_t, hosts::MaintenanceWave> m_waves;
  // Waves whose status this host has written, or found written by another one;
  // the value is whether this host has written it as completed.
  std::map<int64_t, bool> m_reported_status;
  // Hosts cordoned for maintenance.
  std::map<std::string, Preparation> m_preparing;
  // A host is maintained once for each wave that names it.
  using WaveHost = std::pair<int64_t, std::string>;
  // When this process first knew that the platform had accepted a maintenance,
  // which the wave's record may lack.
  std::map<WaveHost, base::TimePoint> m_accepted_at;
  // When the platform has rejected a maintenance.
  std::map<WaveHost, base::TimePoint> m_rejected_at;
  AcceptedOperations m_accepted_operations;
  // The request times of the first and the last of consecutive host lists that
  // lack a host.
  struct Absence {
    base::TimePoint since;
    base::TimePoint until;
  };
  std::map<WaveHost, Absence> m_absences;
  base::Lifetime m_lifetime;
};

}  // namespace shallotwick::scheduler
