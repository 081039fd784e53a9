#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "host_ledger.h"
#include "hosts/maintenance_wave.h"
#include "pool_runner.h"

namespace shallotwick::scheduler {

struct WaveConductorOptions {
  std::string holder;
  // How long a host is away for maintenance.
  base::Duration maintenance_time = std::chrono::seconds(2);
};

// Takes the hosts of this host's pools through the maintenance waves: frees
// them of work, takes them down when the wave has a place and no disruption
// budget is broken, and enters them as done when they are back.
class WaveConductor {
 public:
  WaveConductor(storage::RowStore& store, hosts::HostOperations& operations,
                HostLedger& ledger, const WaveConductorOptions& options);

  // The time of day that all hosts agree on, in milliseconds since the Unix
  // epoch.
  std::function<int64_t()> m_get_unix_ms = base::WallClockMilliseconds;
  // The pool if this host owns it, else null.
  std::function<PoolRunner*(const std::string& pool)> m_find_pool;

  // Whether that holder still acts.
  std::function<bool(const std::string& holder)> m_is_holder_live;

  // Whether a pool lacks hosts at this moment.
  std::function<bool()> m_are_hosts_short = [] { return false; };

  void SetWave(const hosts::MaintenanceWave& wave);
  void Reconsider(base::TimePoint now);
  // Whether the host is about to be maintained, so that it must not be moved.
  bool IsPreparing(const std::string& host) const {
    return m_preparing.count(host) > 0;
  }

 private:
  void Advance(const hosts::MaintenanceWave& wave, base::TimePoint now);
  int CountPlaces(const hosts::MaintenanceWave& wave,
                  const hosts::WaveRecord& record) const;
  // Returns whether it has changed the record or asks for a change.
  bool EnterReturned(const hosts::MaintenanceWave& wave,
                     const storage::VersionedRow& row, hosts::WaveRecord record,
                     base::TimePoint now);
  bool TakeOver(const hosts::MaintenanceWave& wave,
                const hosts::FleetHost& host, const storage::VersionedRow& row,
                const hosts::WaveRecord& record, base::TimePoint now);
  void SettleAskedAgain();
  void Prepare(const hosts::MaintenanceWave& wave,
               const hosts::WaveRecord& record, int places,
               base::TimePoint now);
  bool IsFreeOfWork(const hosts::FleetHost& host, base::TimePoint now) const;
  // `is_first`: no holder before has asked for it.
  void TakeDown(const hosts::MaintenanceWave& wave,
                const std::vector<hosts::FleetHost>& taken, bool is_first,
                const storage::VersionedRow& row, hosts::WaveRecord record);
  void OnTakenDown(const hosts::FleetHost& host, bool is_first,
                   hosts::HostOperationOutcome outcome);
  void ReportStatus(const hosts::MaintenanceWave& wave, bool is_completed);
  void Evacuate(const hosts::FleetHost& host, base::TimePoint now);
  void SetLeaving(const hosts::FleetHost& host, bool leaving);
  void Release(const std::string& host);

  storage::RowStore& m_store;
  hosts::HostOperations& m_operations;
  HostLedger& m_ledger;
  WaveConductorOptions m_options;
  std::map<int64_t, hosts::MaintenanceWave> m_waves;
  // Waves of which this host has written the status: whether as completed.
  std::map<int64_t, bool> m_reported;
  // Hosts that take no new work, since when.
  std::map<std::string, base::TimePoint> m_preparing;
  // Hosts that were taken down here, and when.
  std::map<std::string, base::TimePoint> m_taken_down;
  // Hosts of former holders that were asked for again, as they were then.
  struct AskedAgain {
    hosts::FleetHost host;
    base::TimePoint at;
  };
  std::map<std::string, AskedAgain> m_asked_again;
  std::map<std::string, base::TimePoint> m_missing_since;
  base::Lifetime m_lifetime;
};

}  // namespace shallotwick::scheduler
