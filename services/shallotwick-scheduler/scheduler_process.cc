#include "scheduler_process.h"

#include <csignal>
#include <stdexcept>
#include <utility>

#include "base/log.h"
#include "base/log_catalogue.h"
#include "base/program.h"
#include "base/random_identifier.h"
#include "job_tables.h"
#include "platform/names.h"
#include "platform/operator_codec.h"
#include "scheduler_settings.h"

namespace shallotwick::scheduler {
namespace {

// Covers long polls of the tables and concurrent requests.
constexpr int kStoreConnections = 32;
// One connection for the pending report request and a few for orders; each
// further connection to a target has a cost.
constexpr int kConnectionsPerTarget = 4;
constexpr auto kStoreProbePeriod = std::chrono::milliseconds(250);
// A peer answers this much later than the store answers the peer.
constexpr auto kRelayTimeMargin = std::chrono::milliseconds(200);
// Requests to a peer are few and answered from memory.
constexpr int kConnectionsPerPeer = 2;
// Time for which registry changes are batched; a draining target must be known
// within the platform's drain time.
constexpr auto kRegistryBatchDelay = std::chrono::milliseconds(300);
// The lease is renewed about every second; a longer one only delays the tasks
// of an unresponsive target.
constexpr auto kRequestedLease = std::chrono::milliseconds(5'000);
// The balancer removes a host after two failed probes, sent once per second.
constexpr auto kBalancerRemovalTime = std::chrono::milliseconds(2'600);
// Added to the interval that the platform requires between operations of two
// holders.
constexpr auto kHolderIntervalMargin = std::chrono::milliseconds(400);
// From the end of a call's time-out until its end is known.
constexpr auto kCallTimeMargin = std::chrono::milliseconds(100);
// The platform carries an order out within this time after the time-out of its
// call, if at all.
constexpr auto kLateOrderTime = std::chrono::milliseconds(500);
// Records of orders for hosts are read again after this time.
constexpr auto kRecordedOrdersPeriod = std::chrono::milliseconds(100);
constexpr auto kHostManagementPeriod = std::chrono::milliseconds(100);
// Time for which host changes are batched before a management pass.
constexpr auto kHostManagementDelay = std::chrono::milliseconds(15);
// Job states are retained longer than required, since clocks may be off and
// requests may be delayed.
constexpr auto kRetentionMargin = std::chrono::seconds(60);
// An order is answered or given up by then, and a commit carried out.
constexpr auto kMaxHandoverTime = std::chrono::milliseconds(1'500);
constexpr auto kStopCheckPeriod = std::chrono::milliseconds(50);
// Reserved from the platform's stop grace period, so that the process exits
// before it is killed.
constexpr auto kStopTimeMargin = std::chrono::milliseconds(800);

base::Duration GetMilliseconds(const base::Settings& settings,
                               const std::string& name) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(settings.GetNumber(name)));
}

std::chrono::milliseconds GetTimeout(const base::Settings& settings,
                                     const std::string& name) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      GetMilliseconds(settings, name));
}

base::Duration GetSeconds(const base::Settings& settings,
                          const std::string& name) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(settings.GetNumber(name)));
}

http::ServerOptions MakeServerOptions(const std::string& address) {
  http::ServerOptions options;
  options.listen = base::ParseEndpoint(address);
  options.threads = 1;
  return options;
}

}  // namespace

SchedulerProcess::SchedulerProcess(const base::Settings& settings)
    : m_connection_budget(ConnectionBudget::ReadMaxOpenFiles()),
      m_store_client(m_loop.GetContext(), kStoreConnections),
      m_target_client(m_loop.GetContext(), kConnectionsPerTarget),
      m_row_store(m_store_client, settings.GetString("platform"),
                  GetTimeout(settings, "platform-timeout-ms")),
      m_store(m_row_store),
      m_orders(m_target_client, GetTimeout(settings, "order-timeout-ms")),
      m_host_operations(m_store_client, settings.GetString("hosts"),
                        GetTimeout(settings, "platform-timeout-ms")),
      m_session(m_loop, m_store,
                {settings.GetString("name"), base::MakeRandomIdentifier()},
                settings.GetNumber("processor-share") *
                    static_cast<double>(settings.GetInteger("processors"))),
      m_ownership(m_loop, m_store, m_session),
      m_host_ledger(
          m_loop, m_store, m_host_operations,
          ownership::FormatHolder(m_session.GetSelf()),
          GetMilliseconds(settings, "holder-pause-ms") + kHolderIntervalMargin),
      m_waves(m_store, m_host_operations, m_host_ledger,
              {ownership::FormatHolder(m_session.GetSelf()),
               GetSeconds(settings, "maintenance-s")}),
      m_capacity(m_host_operations, m_host_ledger,
                 GetSeconds(settings, "move-s")),
      m_targets(m_metrics),
      m_operator_table(m_loop, m_store,
                       {platform::kOperatorTable,
                        {platform::kSharedPartition},
                        base::Duration(0),
                        base::Duration(0),
                        kShortFeedWait}),
      m_config(m_loop, m_store),
      m_registry(m_loop, m_store,
                 {platform::kRegistryTable,
                  {platform::kSharedPartition},
                  kRegistryBatchDelay,
                  base::Duration(0),
                  kShortFeedWait}),
      m_routes(m_loop, m_store),
      m_jobs(m_loop, m_store),
      m_job_states(m_loop, m_jobs),
      m_api(m_jobs, m_job_states, m_metrics),
      m_peer_connections(m_loop.GetContext(), kConnectionsPerPeer),
      m_relayed_store(m_loop, m_store),
      m_store_relay(m_store_client, settings.GetString("platform"),
                    GetTimeout(settings, "platform-timeout-ms")),
      m_peers(m_peer_connections),
      m_submissions(m_loop, m_store, m_jobs, m_peers),
      m_max_lease(GetMilliseconds(settings, "longest-lease-ms")),
      m_lease(std::min(base::Duration(kRequestedLease), m_max_lease)),
      m_max_stop_time(GetMilliseconds(settings, "longest-stop-ms")),
      m_retention(GetSeconds(settings, "retention-s") + kRetentionMargin),
      m_stop_grace(GetSeconds(settings, "stop-grace-s")),
      m_signals(m_loop.GetContext(), SIGTERM, SIGINT, SIGHUP) {
  m_row_store.m_on_clock = [this](int64_t store_ms) {
    m_clock.ObserveStoreClock(store_ms, base::RuntimeClock::now());
  };
  m_row_store.m_on_traffic = [this](const char* call, const std::string& table,
                                    size_t bytes) {
    m_metrics
        .GetCounter("shallotwick_store_bytes_total",
                    {{"call", call}, {"table", table}})
        .Increment(bytes);
  };
  m_session.m_on_sessions_read = [this] {
    m_clock.ObserveOffsets(m_session.GetMonitor().GetClockOffsets(),
                           base::RuntimeClock::now());
    m_ownership.ClaimOrphanedPools();
  };
  m_session.m_must_watch_closely = [this] {
    return m_ownership.MustWatchClosely();
  };
  m_session.m_get_clock_offset = [this]() -> std::optional<int64_t> {
    const auto store_ms = m_clock.GetStoreMs(base::RuntimeClock::now());
    if (!store_ms) {
      return std::nullopt;
    }
    return base::WallClockMilliseconds() - *store_ms;
  };
  m_host_ledger.m_get_store_ms = [this] {
    return m_clock.GetStoreMs(base::RuntimeClock::now());
  };
  m_host_ledger.m_may_order = [this] {
    return !m_is_stopping &&
           m_session.IsSessionValid(base::RuntimeClock::now());
  };
  m_host_ledger.m_max_call_time =
      GetMilliseconds(settings, "platform-timeout-ms") + kCallTimeMargin;
  m_jobs.m_get_store_ms = m_host_ledger.m_get_store_ms;
  m_jobs.m_find_fence = [this](const std::string& service,
                               const std::string& route) {
    return m_routes.FindFence(service, route);
  };
  m_jobs.m_on_fenced = [this] { m_routes.Refresh(); };
  m_api.m_list_services = [this](const scheduling::Route& route) {
    return m_routes.ListServices(route);
  };
  m_routes.m_on_change = [this] { ApplyPlacements(); };
  const auto get_unix_ms = [this] {
    return m_clock.GetUnixMs(base::RuntimeClock::now(),
                             base::WallClockMilliseconds());
  };
  m_waves.m_get_unix_ms = get_unix_ms;
  m_capacity.m_get_unix_ms = get_unix_ms;
  m_api.m_get_unix_ms = get_unix_ms;
  m_session.m_on_replaced = [this] {
    base::Log(base::events::kSessionReplaced);
    m_loop.Stop();
  };
  m_ownership.m_on_gained = [this](const std::string& pool, uint64_t version,
                                   int64_t term) {
    StartPool(pool, version, term);
  };
  m_ownership.m_on_lost = [this](const std::string& pool) {
    base::Log(
        base::events::kPoolLost,
        {{"pool", pool}, {"reason", "another host has become the owner"}});
    RemovePool(pool);
  };
  m_ownership.m_is_running = [this](const std::string& pool) {
    const auto found = m_pools.find(pool);
    return m_pool_being_handed_over == pool ||
           (found != m_pools.end() && !found->second->HasEnded());
  };
  m_host_ledger.m_on_change = [this] { ScheduleHostManagementPass(); };
  m_waves.m_find_pool = [this](const std::string& pool) {
    return FindPool(pool);
  };
  m_host_ledger.m_is_holder_live = [this](const std::string& holder) {
    return IsHolderLive(holder);
  };
  m_waves.m_is_holder_active = [this](const std::string& holder) {
    const auto incarnation = ownership::ParseHolder(holder);
    return incarnation && m_session.GetMonitor().IsLive(*incarnation) &&
           m_ownership.IsOwner(*incarnation);
  };
  m_waves.m_are_hosts_short = [this] {
    return m_capacity.IsAnyPoolShort(base::RuntimeClock::now());
  };
  m_capacity.m_get_pools = [this] {
    std::map<std::string, PoolRunner*> pools;
    for (const auto& [pool, runner] : m_pools) {
      if (runner->IsLoaded()) {
        pools[pool] = runner.get();
      }
    }
    return pools;
  };
  m_capacity.m_is_reserved = [this](const std::string& host) {
    return m_waves.IsPreparing(host);
  };
  m_operator_table.m_on_reset =
      [this](const std::vector<storage::VersionedRow>& rows) {
        for (const storage::VersionedRow& row : rows) {
          OnOperatorRow(row);
        }
      };
  m_operator_table.m_on_change = [this](const storage::VersionedRow& row) {
    OnOperatorRow(row);
  };
  m_target_client.SetConnectionLimit(
      m_connection_budget.GetTargetConnections());
  RegisterGauges();
  FollowRegistry();
  m_config.m_on_config = [this](const scheduling::ServingConfig& config) {
    ApplyConfig(config);
  };
  m_api.m_get_config = [this] { return m_config.GetConfig(); };
  m_api.m_get_config_age = [this] { return m_config.GetAge(); };
  m_api.m_admission_policy = MakeAdmissionPolicy(settings);
  m_store.m_on_return = [this] { m_session.RenewNow(); };
  m_api.m_is_store_reachable = [this] { return IsStoreReachable(); };
  m_api.m_get_outage_age = [this] {
    return m_store.GetHealth().GetOutageAge(base::RuntimeClock::now());
  };
  const auto is_store_slow = [this] { return m_store.GetHealth().IsSlow(); };
  m_session.m_is_store_slow = is_store_slow;
  m_capacity.m_is_store_slow = is_store_slow;
  m_job_states.m_is_store_slow = is_store_slow;
  m_job_states.m_is_store_reachable = m_api.m_is_store_reachable;
  m_row_store.m_get_timeout =
      [this, min = GetTimeout(settings, "platform-timeout-ms")] {
        return m_store.GetHealth().GetTimeout(min);
      };
  m_job_server = std::make_unique<http::Server>(
      MakeServerOptions(settings.GetString("listen")),
      [this](http::Request request, http::Respond respond) {
        m_loop.Post(
            [this, request = std::move(request), respond = std::move(respond)] {
              m_api.Handle(request, respond);
            });
      });
  m_readiness_server = std::make_unique<http::Server>(
      MakeServerOptions(settings.GetString("ready-listen")),
      [this](const http::Request& request, http::Respond respond) {
        m_loop.Post([this, path = http::GetPath(request.target),
                     respond = std::move(respond)] {
          if (path == "/metrics") {
            http::Response response;
            response.body = m_metrics.FormatExposition();
            respond(response);
            return;
          }
          respond(http::MakeJsonResponse(IsReady() ? 200 : 503, "{}"));
        });
      });
  ConnectToPeers(settings);
  m_job_endpoint = base::ParseEndpoint(settings.GetString("listen"));
  m_job_endpoint.port = m_job_server->GetPort();
  m_readiness_endpoint =
      base::ParseEndpoint(settings.GetString("ready-listen"));
  m_readiness_endpoint.port = m_readiness_server->GetPort();
}

void SchedulerProcess::RegisterGauges() {
  m_metrics.SetGauge("shallotwick_orders_in_flight", [this] {
    double orders = 0;
    for (const auto& [pool, runner] : m_pools) {
      orders += runner->GetOrdersInFlight();
    }
    return orders;
  });
  m_metrics.SetGauge("shallotwick_target_connections", [this] {
    return static_cast<double>(m_target_client.CountOpenConnections());
  });
  m_metrics.SetGauge("shallotwick_orders_without_connection", [this] {
    return static_cast<double>(m_target_client.CountWaitingRequests());
  });
  m_metrics.SetGauge("shallotwick_target_connection_limit", [this] {
    return static_cast<double>(m_connection_budget.GetTargetConnections());
  });
  m_metrics.SetGauge("shallotwick_open_file_limit", [this] {
    return static_cast<double>(m_connection_budget.GetMaxOpenFiles());
  });
  m_metrics.SetGauge("shallotwick_open_files", [] {
    return static_cast<double>(ConnectionBudget::CountOpenFiles());
  });
}

void SchedulerProcess::LogConnectionShortage() {
  size_t targets = 0;
  for (const auto& [pool, runner] : m_pools) {
    targets += runner->GetScheduler().GetTargets().size();
  }
  if (!m_connection_budget.UpdateTargets(targets)) {
    return;
  }
  base::Log(base::events::kConnectionsShort,
            {{"short", m_connection_budget.IsShort() ? "true" : "false"},
             {"targets", std::to_string(targets)},
             {"connections",
              std::to_string(m_connection_budget.GetTargetConnections())},
             {"open_file_limit",
              std::to_string(m_connection_budget.GetMaxOpenFiles())}});
}

// Joins what hosts do for each other: the owner of a pool tells states of its
// jobs and stores jobs for callers of other hosts.
void SchedulerProcess::ConnectToPeers(const base::Settings& settings) {
  m_job_states.m_ask_owner = [this](const std::string& pool,
                                    const std::string& job,
                                    JobStateLookup::OnOwnerState on_done) {
    AskOwner(pool, job, std::move(on_done));
  };
  m_submissions.m_get_health = [this]() -> const storage::StoreHealth& {
    return m_store.GetHealth();
  };
  m_submissions.m_find_owner = [this](const std::string& pool) {
    return FindOwner(pool);
  };
  m_api.m_can_submit = [this](const std::string& pool) {
    return m_submissions.CanSubmit(pool);
  };
  m_api.m_submit = [this](const std::string& pool,
                          const scheduling::JobSpec& job,
                          JobService::OnOutcome on_done) {
    m_submissions.Submit(pool, job, std::move(on_done));
  };
  m_peer_api.m_submit = [this](const std::string& pool,
                               const scheduling::JobSpec& job,
                               JobService::OnOutcome on_done) {
    m_submissions.SubmitForPeer(pool, job, std::move(on_done));
  };
  m_peer_api.m_find_state = [this](const std::string& pool,
                                   const std::string& job) {
    return FindOwnState(pool, job);
  };
  ConnectStoreRelays(settings);
  m_peer_server = std::make_unique<http::Server>(
      MakeServerOptions(settings.GetString("peer-listen")),
      [this](http::Request request, http::Respond respond) {
        m_loop.Post(
            [this, request = std::move(request), respond = std::move(respond)] {
              if (platform::RowStoreRelay::IsRelayed(request.target)) {
                RelayToStore(request, respond);
              } else {
                m_peer_api.Handle(request, respond);
              }
            });
      });
  base::Endpoint peer_endpoint =
      base::ParseEndpoint(settings.GetString("peer-listen"));
  peer_endpoint.port = m_peer_server->GetPort();
  m_session.m_peer_address = base::FormatEndpoint(peer_endpoint);
}

void SchedulerProcess::ConnectStoreRelays(const base::Settings& settings) {
  m_relayed_store.m_is_store_away = [this] { return !IsStoreReachable(); };
  m_relayed_store.m_list_peers = [this] { return ListPeers(); };
  m_relayed_store.m_get_store =
      [this, timeout = GetTimeout(settings, "platform-timeout-ms")](
          const std::string& address) -> storage::RowStore& {
    return m_peer_stores
        .try_emplace(address, m_peer_connections, address,
                     timeout + kRelayTimeMargin, platform::kRelayPath)
        .first->second;
  };
}

std::vector<std::string> SchedulerProcess::ListPeers() const {
  std::vector<std::string> addresses;
  for (const auto& [host, cores] : m_session.GetMonitor().GetLiveHosts()) {
    std::string address = m_session.GetMonitor().GetPeerAddress(host);
    if (!(host == m_session.GetSelf()) && !address.empty()) {
      addresses.push_back(std::move(address));
    }
  }
  return addresses;
}

// A request is passed on once, so that it does not go round among hosts that
// are all turned away.
void SchedulerProcess::RelayToStore(const http::Request& request,
                                    const http::Respond& respond) {
  if (!IsStoreReachable()) {
    respond(http::MakeProblem(kRefusedStatus, "store-unreachable",
                              "The store turns this host away too."));
    return;
  }
  m_store_relay.Handle(request, respond);
}

void SchedulerProcess::FollowRegistry() {
  m_targets.m_is_service_known = [this](const std::string& service) {
    return m_ownership.GetPools().count(service) > 0;
  };
  m_targets.m_on_changed = [this](const scheduling::TargetEntry& entry) {
    const auto runner = m_pools.find(entry.service);
    if (runner != m_pools.end()) {
      runner->second->OnTargetChanged(entry);
    }
  };
  m_targets.m_on_removed = [this](const std::string& service,
                                  const std::string& id) {
    const auto runner = m_pools.find(service);
    if (runner != m_pools.end()) {
      runner->second->OnTargetRemoved(id);
    }
  };
  m_registry.m_on_reset =
      [this](const std::vector<storage::VersionedRow>& rows) {
        m_targets.OnReset(rows);
        for (const auto& [pool, runner] : m_pools) {
          runner->SetTargets(m_targets.ListTargets(pool));
        }
      };
  m_registry.m_on_change = [this](const storage::VersionedRow& row) {
    m_targets.OnRow(row);
  };
}

SchedulerProcess::~SchedulerProcess() = default;

void SchedulerProcess::Run() {
  base::Log(base::events::kStarted,
            {{"host", m_session.GetSelf().host},
             {"incarnation", m_session.GetSelf().boot},
             {"http", base::FormatEndpoint(m_job_endpoint)},
             {"ready", base::FormatEndpoint(m_readiness_endpoint)}});
  WaitForSignal();
  m_session.Start();
  m_operator_table.Start();
  RunHostManagementPeriodically();
  ProbeStorePeriodically();
  m_loop.Run();
  m_job_server->Stop();
  m_readiness_server->Stop();
  m_peer_server->Stop();
  base::Log(base::events::kStopped);
}

void SchedulerProcess::WaitForSignal() {
  m_signals.async_wait([this](const std::error_code& error, int signal) {
    if (error) {
      return;
    }
    // All settings come from the command line, so SIGHUP has nothing to reload.
    if (signal != SIGHUP) {
      Stop();
    }
    WaitForSignal();
  });
}

bool SchedulerProcess::IsHolderLive(const std::string& holder) const {
  const auto incarnation = ownership::ParseHolder(holder);
  return incarnation && m_session.GetMonitor().IsLive(*incarnation);
}

std::optional<scheduling::JobState> SchedulerProcess::FindOwnState(
    const std::string& pool, const std::string& job) const {
  const PoolRunner* runner = FindPool(pool);
  return runner == nullptr ? std::nullopt : runner->FindState(job);
}

void SchedulerProcess::AskOwner(const std::string& pool, const std::string& job,
                                JobStateLookup::OnOwnerState on_done) {
  const SubmissionRouter::Owner owner = FindOwner(pool);
  if (owner.is_self) {
    on_done(FindOwnState(pool, job));
  } else if (owner.address.empty()) {
    on_done(std::nullopt);
  } else {
    m_peers.AskState(owner.address, pool, job, std::move(on_done));
  }
}

SubmissionRouter::Owner SchedulerProcess::FindOwner(
    const std::string& pool) const {
  const auto owner = m_ownership.FindOwner(pool);
  if (!owner) {
    return {};
  }
  return {*owner == m_session.GetSelf(),
          m_session.GetMonitor().GetPeerAddress(*owner)};
}

bool SchedulerProcess::IsReady() const {
  return !m_is_stopping && m_routes.IsLoaded() && IsStoreReachable() &&
         m_api.CanAdmitCalls();
}

bool SchedulerProcess::IsStoreReachable() const {
  return m_session.HasSession() &&
         !m_store.GetHealth().IsAway(base::RuntimeClock::now());
}

void SchedulerProcess::ProbeStorePeriodically() {
  const bool is_away = m_session.HasSession() && !IsStoreReachable();
  if (is_away) {
    storage::RowRange range;
    range.table = kSessionTable;
    range.part = kSinglePartition;
    range.limit = 1;
    m_store.Read(range, [](const storage::RowReadResult& /*result*/) {});
  }
  if (is_away != m_is_store_known_away) {
    m_is_store_known_away = is_away;
    base::Log(is_away ? base::events::kStoreUnreachable
                      : base::events::kStoreReachable);
  }
  m_loop.RunAfter(kStoreProbePeriod, [this] { ProbeStorePeriodically(); });
}

void SchedulerProcess::OnOperatorRow(const storage::VersionedRow& row) {
  if (row.is_removed) {
    return;
  }
  if (row.key.key == platform::kConfigKey) {
    m_config.OnRow(row);
    return;
  }
  const std::string prefix = platform::kWaveKeyPrefix;
  if (row.key.key.compare(0, prefix.size(), prefix) == 0) {
    try {
      const hosts::MaintenanceWave wave = platform::DecodeWave(row.value);
      if (row.key.key != prefix + std::to_string(wave.number)) {
        throw std::runtime_error("the number is not that of the key");
      }
      m_waves.SetWave(wave);
    } catch (const std::runtime_error& error) {
      base::Log(base::events::kStoreContentInvalid,
                {{"row", row.key.key}, {"fault", error.what()}});
    }
  }
}

void SchedulerProcess::RunHostManagementPeriodically() {
  LogConnectionShortage();
  RunHostManagementPass();
  m_loop.RunAfter(kHostManagementPeriod,
                  [this] { RunHostManagementPeriodically(); });
}

// Changes arrive in batches of many rows, and each pass iterates over all jobs.
void SchedulerProcess::ScheduleHostManagementPass() {
  if (std::exchange(m_is_host_pass_scheduled, true)) {
    return;
  }
  m_loop.RunAfter(kHostManagementDelay, [this] {
    m_is_host_pass_scheduled = false;
    RunHostManagementPass();
  });
}

void SchedulerProcess::EndUnlistedTargets() {
  const auto requested_at = m_host_ledger.GetListTime();
  if (!m_host_ledger.IsLoaded() || requested_at == m_applied_list_time) {
    return;
  }
  m_applied_list_time = requested_at;
  const HostListing listing = m_host_ledger.GetListing();
  for (const auto& [pool, runner] : m_pools) {
    runner->EndUnlistedTargets(listing);
  }
}

void SchedulerProcess::RunHostManagementPass() {
  const auto now = base::RuntimeClock::now();
  const bool can_act =
      !m_is_stopping && !m_pools.empty() && m_session.IsSessionValid(now);
  if (can_act) {
    EndUnlistedTargets();
    m_waves.ProcessWaves(now);
    m_capacity.RebalanceHosts(now);
    HandOverPools();
  }
}

PoolRunner* SchedulerProcess::FindPool(const std::string& pool) const {
  const auto found = m_pools.find(pool);
  const bool is_found = found != m_pools.end() && found->second->IsLoaded();
  return is_found ? found->second.get() : nullptr;
}

void SchedulerProcess::ApplyConfig(const scheduling::ServingConfig& config) {
  m_routes.SetConfig(config);
  m_ownership.SetPools(config.services);
  m_capacity.SetStandbyPools(config.standby_services);
  for (const auto& [pool, runner] : m_pools) {
    runner->SetConfig(config);
  }
}

// A former service may have left the configuration and have jobs.
void SchedulerProcess::ApplyPlacements() {
  std::set<std::string> pools = m_routes.ListAllFormerServices();
  pools.insert(m_config.GetConfig()->services.begin(),
               m_config.GetConfig()->services.end());
  m_ownership.SetPools(pools);
  for (const auto& [pool, runner] : m_pools) {
    runner->SetMovedRoutes(m_routes.ListMovedRoutes(pool));
  }
}

void SchedulerProcess::StartPool(const std::string& pool, uint64_t version,
                                 int64_t term) {
  PoolRunnerOptions options;
  options.service = pool;
  options.owner_version = version;
  options.term = term;
  options.lease = m_lease;
  options.max_lease = m_max_lease;
  options.max_stop_time = m_max_stop_time;
  options.retention = m_retention;
  auto runner = std::make_unique<PoolRunner>(m_loop, m_relayed_store, m_orders,
                                             m_metrics, options);
  runner->m_is_session_valid = [this] {
    return m_session.IsSessionValid(base::RuntimeClock::now());
  };
  runner->m_get_lapse_count = [this] { return m_session.GetLapseCount(); };
  runner->m_get_lease_limit = [this] {
    return m_session.GetValidUntil() + m_lease;
  };
  runner->m_get_unix_ms = m_api.m_get_unix_ms;
  runner->m_get_store_ms = m_host_ledger.m_get_store_ms;
  runner->m_may_host_be_leaving =
      [this, pool,
       until = base::RuntimeClock::now() + m_host_ledger.m_max_call_time +
               kLateOrderTime](const std::string& host) {
        return base::RuntimeClock::now() < until && MayLeave(pool, host);
      };
  runner->m_on_lost = [this, pool] {
    RemovePool(pool);
    m_ownership.OnRunnerEnded(pool);
  };
  runner->m_on_load_failed = [this, pool] { GiveUpPool(pool); };
  runner->m_on_placement_changed = [this] { m_routes.Refresh(); };
  runner->SetConfig(*m_config.GetConfig());
  runner->SetMovedRoutes(m_routes.ListMovedRoutes(pool));
  runner->m_targets_at_start = m_targets.ListTargets(pool);
  runner->Start();
  if (m_pools.empty()) {
    m_registry.Start();
    m_host_ledger.Start();
  }
  m_pools[pool] = std::move(runner);
}

bool SchedulerProcess::MayLeave(const std::string& pool,
                                const std::string& host) {
  if (!m_host_ledger.AreRowsLoaded()) {
    return true;
  }
  if (!m_host_ledger.MayBeOrderedByOther(host)) {
    return false;
  }
  const auto now = base::RuntimeClock::now();
  RecordedOrders& orders = m_recorded_orders[pool];
  if (now >= orders.listed_at + kRecordedOrdersPeriod) {
    orders.listed_at = now;
    orders.hosts = m_capacity.ListRecordedTransfers(pool);
    orders.hosts.merge(m_waves.ListUnacceptedMaintenance());
  }
  return orders.hosts.count(host) > 0;
}

void SchedulerProcess::GiveUpPool(const std::string& pool) {
  RemovePool(pool);
  m_ownership.GiveUp(pool);
}

void SchedulerProcess::HandOverPools() {
  if (!IsStoreReachable() || m_store.GetHealth().IsSlow() ||
      m_pool_being_handed_over) {
    return;
  }
  for (const auto& [pool, runner] : m_pools) {
    if (runner->IsOverloaded() && m_ownership.HasStrongerCandidate(pool)) {
      HandOverPool(pool, *runner);
      return;
    }
  }
}

void SchedulerProcess::HandOverPool(const std::string& pool,
                                    PoolRunner& runner) {
  base::Log(base::events::kPoolHandedOver, {{"pool", pool}});
  m_pool_being_handed_over = pool;
  runner.Quiesce([this, pool] {
    m_loop.Post([this, pool] {
      if (m_pool_being_handed_over != pool) {
        return;
      }
      m_pool_being_handed_over.reset();
      if (m_is_stopping) {
        ReleaseAfterOrders(pool);
      } else {
        GiveUpPool(pool);
      }
    });
  });
  // Without orders, leases end.
  m_loop.RunAfter(kMaxHandoverTime, [this, pool] {
    if (m_pool_being_handed_over != pool || m_is_stopping) {
      return;
    }
    const auto found = m_pools.find(pool);
    if (found != m_pools.end() && found->second->HasEnded()) {
      // The pool is about to be given up.
      return;
    }
    m_pool_being_handed_over.reset();
    if (found != m_pools.end()) {
      found->second->Resume();
    }
  });
}

// Only hosts that own pools need the registry and the host list.
void SchedulerProcess::RemovePool(const std::string& pool) {
  if (m_pool_being_handed_over == pool) {
    m_pool_being_handed_over.reset();
  }
  m_pools.erase(pool);
  m_waves.ForgetPool(pool);
  OnPoolReleased(pool);
  if (m_pools.empty()) {
    m_registry.Stop();
    m_host_ledger.Stop();
    m_targets.Clear();
  }
}

void SchedulerProcess::Stop() {
  if (m_is_stopping) {
    return;
  }
  base::Log(base::events::kStopping);
  m_is_stopping = true;
  m_stop_requested_at = base::RuntimeClock::now();
  m_job_server->CloseConnectionsAfterAnswers();
  m_ownership.StopClaiming();
  m_host_ledger.StopOrders();
  ReleasePools();
}

void SchedulerProcess::ReleasePools() {
  if (m_pools.empty()) {
    m_session.Release();
    StopLoopWhenDone();
    return;
  }
  for (const auto& [pool, runner] : m_pools) {
    m_pools_to_release.insert(pool);
  }
  for (const auto& [pool, runner] : m_pools) {
    runner->Quiesce([this, pool = pool] { ReleaseAfterOrders(pool); });
  }
  StopLoopWhenDone();
}

// A call under way for a host of the pool may still take effect.
void SchedulerProcess::ReleaseAfterOrders(const std::string& pool) {
  m_host_ledger.RunWhenStopped([this, pool] {
    base::Log(base::events::kPoolReleased, {{"pool", pool}});
    m_ownership.Release(pool, [this, pool] { OnPoolReleased(pool); });
  });
}

void SchedulerProcess::OnPoolReleased(const std::string& pool) {
  if (m_pools_to_release.erase(pool) > 0 && m_pools_to_release.empty()) {
    m_session.Release();
  }
}

void SchedulerProcess::StopLoopWhenDone() {
  const auto now = base::RuntimeClock::now();
  const bool is_done = now >= m_stop_requested_at + kBalancerRemovalTime &&
                       m_pools_to_release.empty() &&
                       m_job_server->GetUnansweredCount() == 0;
  if (is_done || now >= m_stop_requested_at + m_stop_grace - kStopTimeMargin) {
    m_loop.Stop();
    return;
  }
  m_loop.RunAfter(kStopCheckPeriod, [this] { StopLoopWhenDone(); });
}

}  // namespace shallotwick::scheduler
