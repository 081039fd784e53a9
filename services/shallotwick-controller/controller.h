#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/backoff.h"
#include "base/metrics.h"
#include "base/periodic_task.h"
#include "base/settings.h"
#include "control/row_set.h"
#include "control/store_reachability.h"
#include "document/planning_document.h"
#include "fleet/drain_tracker.h"
#include "fleet/fleet_planner.h"
#include "fleet_mirror.h"
#include "http/server.h"
#include "lease_holder.h"
#include "storage/http_platform.h"
#include "view_distributor.h"

namespace shallotwick::controller {

std::vector<base::SettingDeclaration> GetSettings();

// One controller process. Several run at a time; only the one that holds the
// lease makes changes.
class Controller {
 public:
  explicit Controller(const base::Settings& settings);
  ~Controller();

  // Releases the lease and stops all threads.
  void Stop();

 private:
  base::Duration RunPass();
  // One control pass. Runs only while this controller holds the lease.
  void RunControlPass(base::TimePoint now);
  void LoadIfNeeded();
  void ApplyNewDocument();
  // Creates the system's identity if there is none, and names it in all calls.
  void UpdateSystem(const control::RowSet& rows);
  void UpdateMembers(const control::RowSet& rows, base::TimePoint now);
  void ReconcileHosts(base::TimePoint now);
  void RecordHostStates(base::TimePoint now);
  void ExecuteFleetPlan(const fleet::FleetPlan& plan);
  void RequestReboots(const std::vector<std::string>& hosts);
  void RemoveExpiredMembers(const control::RowSet& rows, base::TimePoint now);
  void DiscardMirror();
  void HandleRequest(const http::Request& request,
                     const http::Respond& respond);

  std::string m_name;
  base::Duration m_period;
  base::Backoff m_backoff;
  fleet::PlannerSettings m_planner_settings;
  base::Duration m_member_expiry_limit;
  storage::HttpPlatform m_platform;
  control::StoreReachability m_store_reachability;
  base::MetricRegistry m_metrics;
  LeaseHolder m_lease;
  ViewDistributor m_distributor;
  fleet::DrainTracker m_drains;
  std::optional<FleetMirror> m_mirror;
  document::EffectivePlan m_plan;
  // A host's state and boot, and when the host was first seen with both.
  struct Condition {
    records::HostState state;
    std::string boot_id;
    base::TimePoint since;
  };
  std::map<std::string, Condition> m_conditions;
  std::map<std::string, storage::ListedHost> m_listed;
  std::map<std::string, int> m_reported_shortfalls;
  std::atomic<bool> m_holds_lease{false};
  std::unique_ptr<http::Server> m_server;
  std::unique_ptr<base::PeriodicTask> m_task;
};

}  // namespace shallotwick::controller
