#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "base/runtime_clock.h"
#include "scheduling/target_messages.h"
#include "storage/row_store.h"

namespace shallotwick::scheduler {

// The targets that the platform's registry names. Entries that name no target
// to use are left out, logged once for each version and counted.
class TargetRegistry {
 public:
  explicit TargetRegistry(base::MetricRegistry& metrics) : m_metrics(metrics) {}

  // Returns whether a configuration names the service.
  std::function<bool(const std::string& service)> m_is_service_known =
      [](const std::string&) { return true; };
  // Called by OnRow for a target of a service, new or changed.
  std::function<void(const scheduling::TargetEntry& entry)> m_on_changed;
  // Called by OnRow if the registry no longer names the target for the service.
  // Its runs may go on.
  std::function<void(const std::string& service, const std::string& id)>
      m_on_removed;

  // Replaces all entries.
  void OnReset(const std::vector<storage::VersionedRow>& rows);
  void OnRow(const storage::VersionedRow& row);
  void Clear();

  // Returns the targets of a service by their identifiers.
  std::map<std::string, scheduling::TargetEntry> ListTargets(
      const std::string& service) const;

 private:
  // Returns whether `entry` has been set to the target that the row names.
  bool Read(const storage::VersionedRow& row, scheduling::TargetEntry& entry);
  void Refuse(const storage::VersionedRow& row, const std::string& reason);
  bool MayLog();

  base::MetricRegistry& m_metrics;
  std::map<std::string, scheduling::TargetEntry> m_targets;
  // The last versions of refused entries, by key.
  std::map<std::string, uint64_t> m_refused;
  base::TimePoint m_log_period_start;
  int m_logged_in_period = 0;
};

}  // namespace shallotwick::scheduler
