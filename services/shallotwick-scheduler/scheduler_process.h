#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "base/metrics.h"
#include "base/settings.h"
#include "capacity_broker.h"
#include "config_follower.h"
#include "connection_budget.h"
#include "host_ledger.h"
#include "http/connection_pool.h"
#include "http/server.h"
#include "job_api.h"
#include "job_service.h"
#include "job_state_lookup.h"
#include "ownership/fleet_clock.h"
#include "ownership_manager.h"
#include "peer_api.h"
#include "peer_client.h"
#include "platform/host_operations_client.h"
#include "platform/row_store_client.h"
#include "platform/row_store_relay.h"
#include "platform/target_orders_client.h"
#include "pool_runner.h"
#include "relayed_store.h"
#include "route_registry.h"
#include "session_renewer.h"
#include "storage/observed_store.h"
#include "submission_router.h"
#include "table_follower.h"
#include "target_registry.h"
#include "wave_coordinator.h"

namespace shallotwick::scheduler {

// The scheduler process of a host: serves the HTTP interface of jobs and runs
// the pools that this host owns.
class SchedulerProcess {
 public:
  explicit SchedulerProcess(const base::Settings& settings);
  ~SchedulerProcess();

  // Runs until SIGTERM or SIGINT is received and the shutdown has completed.
  void Run();

 private:
  void ConnectToPeers(const base::Settings& settings);
  void RegisterGauges();
  // Hands pools over that overload this host, if a stronger one would claim
  // them.
  void HandOverPools();
  void HandOverPool(const std::string& pool, PoolRunner& runner);
  void GiveUpPool(const std::string& pool);
  // Logs when the targets of this host's pools begin and cease to need more
  // connections than there are.
  void LogConnectionShortage();
  // Lets this host reach the store through its peers, and peers through it.
  void ConnectStoreRelays(const base::Settings& settings);
  // Returns the addresses of the other hosts that were live when the sessions
  // were last read.
  std::vector<std::string> ListPeers() const;
  void RelayToStore(const http::Request& request, const http::Respond& respond);
  void WaitForSignal();
  void OnOperatorRow(const storage::VersionedRow& row);
  void ApplyConfig(const scheduling::ServingConfig& config);
  void ApplyPlacements();
  // Passes the entries of the registry to the pools that this host owns.
  void FollowRegistry();
  void StartPool(const std::string& pool, uint64_t version, int64_t term);
  void RunHostManagementPeriodically();
  void EndUnlistedTargets();
  void RunHostManagementPass();
  void ScheduleHostManagementPass();
  PoolRunner* FindPool(const std::string& pool) const;
  void RemovePool(const std::string& pool);
  bool IsHolderLive(const std::string& holder) const;
  // Returns the state of a job of a pool that this host owns.
  std::optional<scheduling::JobState> FindOwnState(
      const std::string& pool, const std::string& job) const;
  SubmissionRouter::Owner FindOwner(const std::string& pool) const;
  // Asks the owner of the pool, which may be this host.
  void AskOwner(const std::string& pool, const std::string& job,
                JobStateLookup::OnOwnerState on_done);
  // Whether requests that need the store can be served.
  bool IsStoreReachable() const;
  bool IsReady() const;
  // While the store is away, looks often whether it is back: other requests
  // wait long for an answer, or are not sent.
  void ProbeStorePeriodically();
  void Stop();
  void ReleasePools();
  // Whether an order of another holder may still take the host from the pool.
  bool MayLeave(const std::string& pool, const std::string& host);
  void ReleaseAfterOrders(const std::string& pool);
  void OnPoolReleased(const std::string& pool);
  void StopLoopWhenDone();

  base::EventLoop m_loop;
  base::MetricRegistry m_metrics;
  ConnectionBudget m_connection_budget;
  http::ConnectionPool m_store_client;
  http::ConnectionPool m_target_client;
  platform::RowStoreClient m_row_store;
  storage::ObservedStore m_store;
  ownership::FleetClock m_clock;
  platform::TargetOrdersClient m_orders;
  platform::HostOperationsClient m_host_operations;
  SessionRenewer m_session;
  OwnershipManager m_ownership;
  HostLedger m_host_ledger;
  WaveCoordinator m_waves;
  CapacityBroker m_capacity;
  TargetRegistry m_targets;
  TableFollower m_operator_table;
  ConfigFollower m_config;
  TableFollower m_registry;
  RouteRegistry m_routes;
  JobService m_jobs;
  JobStateLookup m_job_states;
  JobApi m_api;
  http::ConnectionPool m_peer_connections;
  // The store through the peer at an address.
  std::map<std::string, platform::RowStoreClient> m_peer_stores;
  RelayedStore m_relayed_store;
  platform::RowStoreRelay m_store_relay;
  PeerClient m_peers;
  PeerApi m_peer_api;
  SubmissionRouter m_submissions;
  base::Duration m_max_lease;
  base::Duration m_lease;
  base::Duration m_max_stop_time;
  base::Duration m_retention;
  base::Duration m_stop_grace;
  // Hosts of a pool that are named in records of orders.
  struct RecordedOrders {
    base::TimePoint listed_at;
    std::set<std::string> hosts;
  };
  std::map<std::string, RecordedOrders> m_recorded_orders;
  std::map<std::string, std::unique_ptr<PoolRunner>> m_pools;
  // While the process stops: the pools that are not released yet.
  std::set<std::string> m_pools_to_release;
  std::optional<std::string> m_pool_being_handed_over;
  // Request time of the host list that was last used to end unresponsive
  // targets.
  base::TimePoint m_applied_list_time;
  bool m_is_host_pass_scheduled = false;
  bool m_is_stopping = false;
  bool m_is_store_known_away = false;
  base::TimePoint m_stop_requested_at;
  asio::signal_set m_signals;
  std::unique_ptr<http::Server> m_job_server;
  std::unique_ptr<http::Server> m_readiness_server;
  std::unique_ptr<http::Server> m_peer_server;
  base::Endpoint m_job_endpoint;
  base::Endpoint m_readiness_endpoint;
};

}  // namespace shallotwick::scheduler
