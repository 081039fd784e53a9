#include "controller.h"

#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "base/log_catalogue.h"
#include "base/program.h"
#include "base/random_identifier.h"
#include "control/document_records.h"
#include "control/row_set.h"
#include "records/keys.h"

namespace shallotwick::controller {
namespace {

// Maximum number of transitions in one transaction.
constexpr size_t kMaxTransitionsPerTransaction = 32;
// Maximum backoff while the platform does not respond.
constexpr auto kMaxRetryDelay = std::chrono::seconds(3);
constexpr int kMaxMilliseconds = 86'400'000;
constexpr int64_t kMillisecondsPerMinute = 60'000;
constexpr int64_t kMinutesPerDay = 1'440;

std::chrono::milliseconds GetMilliseconds(const base::Settings& settings,
                                          const std::string& name) {
  return std::chrono::milliseconds(settings.GetInteger(name));
}

fleet::PlannerSettings MakePlannerSettings(const base::Settings& settings) {
  fleet::PlannerSettings planner;
  planner.spare_pool = settings.GetString("spare-pool");
  planner.replacement_delay = GetMilliseconds(settings, "replacement-delay-ms");
  planner.reboot_timeout = GetMilliseconds(settings, "reboot-limit-ms");
  planner.removal_delay = GetMilliseconds(settings, "forget-delay-ms");
  return planner;
}

int GetMinuteOfDay() {
  return static_cast<int>(base::WallClockMilliseconds() /
                          kMillisecondsPerMinute % kMinutesPerDay);
}

}  // namespace

std::vector<base::SettingDeclaration> GetSettings() {
  const auto milliseconds = base::CheckInteger(1, kMaxMilliseconds);
  std::vector<base::SettingDeclaration> settings = {
      {"name", "NAME", "name of this controller, different from all others",
       std::nullopt, base::CheckNotEmpty},
      {"listen", "IP:PORT", "address for health checks and metrics",
       "127.0.0.1:0", base::CheckAddress},
      {"platform", "IP:PORT", "address of the platform's services",
       std::nullopt, base::CheckAddress},
      {"platform-timeout-ms", "MILLISECONDS",
       "wait for an answer of the platform", "1000", milliseconds},
      {"period-ms", "MILLISECONDS", "time between two rounds", "250",
       milliseconds},
      {"lease-ms", "MILLISECONDS",
       "time after which a lease that is not renewed may be taken over", "3000",
       milliseconds},
      {"spare-pool", "POOL",
       "pool that new hosts enter and that shortages are filled from", "office",
       base::CheckNotEmpty},
      {"replacement-delay-ms", "MILLISECONDS",
       "a host that has failed for so long is replaced", "120000",
       milliseconds},
      {"reboot-limit-ms", "MILLISECONDS",
       "a host that is not back from its reboot by then has failed", "900000",
       milliseconds},
      {"forget-delay-ms", "MILLISECONDS",
       "a failed host that is not listed for so long is forgotten", "1800000",
       milliseconds},
      {"member-lapse-ms", "MILLISECONDS",
       "a gateway that has not renewed its membership for so long is counted "
       "out; its lease, the time in which it stops sending and the longest "
       "deadline together; never sooner than the limit that the gateway itself "
       "declares",
       "45000", milliseconds},
  };
  const auto log_settings = base::GetLogSettings();
  settings.insert(settings.end(), log_settings.begin(), log_settings.end());
  return settings;
}

Controller::Controller(const base::Settings& settings)
    : m_name(settings.GetString("name")),
      m_period(GetMilliseconds(settings, "period-ms")),
      m_backoff(m_period, kMaxRetryDelay),
      m_planner_settings(MakePlannerSettings(settings)),
      m_member_expiry_limit(GetMilliseconds(settings, "member-lapse-ms")),
      m_platform(settings.GetString("platform"),
                 GetMilliseconds(settings, "platform-timeout-ms")),
      m_store_reachability(settings.GetString("platform")),
      m_lease(m_platform, m_name, GetMilliseconds(settings, "lease-ms"),
              GetMilliseconds(settings, "lease-ms") / 3),
      m_drains(m_member_expiry_limit) {
  http::ServerOptions options;
  options.listen = base::ParseEndpoint(settings.GetString("listen"));
  options.threads = 1;
  m_metrics.SetGauge("shallotwick_controller_acting",
                     [this] { return m_holds_lease.load() ? 1.0 : 0.0; });
  m_server = std::make_unique<http::Server>(
      options,
      [this](const http::Request& request, const http::Respond& respond) {
        HandleRequest(request, respond);
      });
  base::Log(base::events::kStarted,
            {{"name", m_name}, {"port", std::to_string(m_server->GetPort())}});
  m_task = std::make_unique<base::PeriodicTask>([this] { return RunPass(); });
}

Controller::~Controller() = default;

void Controller::Stop() {
  base::Log(base::events::kStopping, {{"name", m_name}});
  m_task->Stop();
  m_lease.ReleaseLease();
  m_distributor.Stop();
  m_server->Stop();
  base::Log(base::events::kStopped, {{"name", m_name}});
}

void Controller::HandleRequest(const http::Request& request,
                               const http::Respond& respond) {
  const std::string path = http::GetPath(request.target);
  if (path == "/healthz") {
    respond(http::MakeJsonResponse(200, R"({"status":"ok"})"));
  } else if (path == "/readyz") {
    const nlohmann::json body = {{"acting", m_holds_lease.load()},
                                 {"store", m_store_reachability.IsReachable()}};
    respond(http::MakeJsonResponse(
        m_store_reachability.IsReachable() ? 200 : 503, body.dump()));
  } else if (path == "/metrics") {
    respond(http::Response{200,
                           {{"Content-Type", "text/plain; version=0.0.4"}},
                           m_metrics.FormatExposition()});
  } else {
    respond(http::MakeProblem(404, "not-found", "No such path."));
  }
}

base::Duration Controller::RunPass() {
  const base::TimePoint now = base::RuntimeClock::now();
  try {
    const bool holds_lease = m_lease.AcquireOrRenew(now);
    m_store_reachability.ReportStoreResponse();
    m_holds_lease.store(holds_lease);
    if (holds_lease) {
      RunControlPass(now);
    } else {
      DiscardMirror();
    }
  } catch (const storage::Unavailable& error) {
    m_store_reachability.ReportFailure(error.what());
    // A commit whose response was lost may have taken effect, so the mirror may
    // be out of date.
    DiscardMirror();
    return m_backoff.NextDelay(base::MakeRandomFraction());
  }
  m_backoff.Reset();
  return base::JitterPeriod(m_period, base::MakeRandomFraction());
}

void Controller::DiscardMirror() { m_mirror.reset(); }

void Controller::RunControlPass(base::TimePoint now) {
  m_metrics.GetCounter("shallotwick_controller_rounds_total").Increment();
  LoadIfNeeded();
  ApplyNewDocument();
  if (!m_mirror) {
    return;
  }
  const control::RowSet rows(m_platform.Read(
      storage::ReadRequest{{records::kSystemKey}, {records::kMemberPrefix}}));
  UpdateSystem(rows);
  UpdateMembers(rows, now);
  ReconcileHosts(now);
  if (!m_mirror) {
    return;
  }
  m_distributor.Distribute(m_mirror->MakeView());
}

void Controller::LoadIfNeeded() {
  if (m_mirror) {
    return;
  }
  m_mirror = FleetMirror::Load(m_platform);
  m_plan = document::EffectivePlan{};
}

void Controller::ApplyNewDocument() {
  const control::RowSet head(
      m_platform.Read(storage::ReadRequest{{records::kDocumentHeadKey}, {}}));
  const auto record =
      head.Find<control::DocumentHeadRecord>(records::kDocumentHeadKey);
  if (!record || record->version == m_plan.version) {
    return;
  }
  const control::RowSet rows(
      m_platform.Read(control::MakeDocumentReadRequest()));
  m_plan = document::MakeEffectivePlan(control::BuildDocument(rows));
  const control::ViewServicesRecord services =
      control::MakeViewServices(m_plan);
  // The document may have been read before another controller published a newer
  // version, which must not be replaced with this older one.
  if (services.document_version <= m_mirror->GetServices().document_version) {
    return;
  }
  if (!m_mirror->CommitServices(m_platform, m_lease.GetToken(), services)) {
    DiscardMirror();
    return;
  }
  base::Log(base::events::kDocumentInForce,
            {{"document_version", std::to_string(m_plan.version)},
             {"view_version", std::to_string(m_mirror->GetHead().version)}});
}

void Controller::UpdateSystem(const control::RowSet& rows) {
  if (const auto record =
          rows.Find<records::SystemRecord>(records::kSystemKey)) {
    m_distributor.SetSystem(record->identity);
    return;
  }
  const records::SystemRecord record{base::MakeRandomIdentifier()};
  storage::Transaction transaction;
  transaction.write_id = base::MakeRandomIdentifier();
  transaction.conditions = {
      storage::Condition::FieldIs(records::kControllerLeaseKey, "token",
                                  m_lease.GetToken()),
      storage::Condition::GenerationIs(records::kSystemKey, storage::kAbsent)};
  transaction.writes = {{records::kSystemKey, nlohmann::json(record).dump()}};
  m_platform.Commit(transaction);
}

void Controller::UpdateMembers(const control::RowSet& rows,
                               base::TimePoint now) {
  std::vector<records::MemberRecord> members;
  for (auto& [name, member] :
       rows.FindAll<records::MemberRecord>(records::kMemberPrefix)) {
    members.push_back(member);
  }
  m_drains.ObserveMembers(members, now);
  for (const auto& acknowledgement : m_distributor.DrainAcknowledgements()) {
    m_drains.ObserveAcknowledgement(acknowledgement);
  }
  RemoveExpiredMembers(rows, now);
  const std::vector<std::string> expired = m_drains.FindExpiredMembers(now);
  const std::set<std::string> expired_names(expired.begin(), expired.end());
  control::ViewMembersRecord record;
  for (const records::MemberRecord& member : members) {
    if (expired_names.count(member.gateway) == 0) {
      record.members[member.gateway] = routing::MemberRoute{
          member.gateway, member.link_address, member.incarnation};
    }
  }
  if (record == m_mirror->GetMembers()) {
    return;
  }
  if (!m_mirror->CommitMembers(m_platform, m_lease.GetToken(), record)) {
    DiscardMirror();
  }
}

// Removes the rows of members whose membership has expired. The generation
// condition leaves a row in place that was renewed after it was read.
void Controller::RemoveExpiredMembers(const control::RowSet& rows,
                                      base::TimePoint now) {
  for (const std::string& gateway : m_drains.FindExpiredMembers(now)) {
    const std::string key = records::MemberKey(gateway);
    storage::Transaction transaction;
    transaction.write_id = base::MakeRandomIdentifier();
    transaction.conditions = {
        storage::Condition::FieldIs(records::kControllerLeaseKey, "token",
                                    m_lease.GetToken()),
        storage::Condition::GenerationIs(key, rows.GetGeneration(key))};
    transaction.writes = {{key, std::nullopt}};
    m_platform.Commit(transaction);
  }
}

void Controller::ReconcileHosts(base::TimePoint now) {
  if (!m_mirror) {
    return;
  }
  m_listed.clear();
  for (storage::ListedHost& host : m_platform.List()) {
    m_listed[host.name] = std::move(host);
  }
  RecordHostStates(now);
  fleet::FleetInput input;
  input.plan = m_plan;
  input.hosts = m_mirror->GetHosts();
  input.listed = m_listed;
  input.drained = m_drains.FindDrainedHosts(input.hosts, now);
  for (const auto& [name, condition] : m_conditions) {
    input.state_entered_at[name] = condition.since;
  }
  input.now = now;
  input.minute_of_day = GetMinuteOfDay();
  ExecuteFleetPlan(fleet::PlanFleet(input, m_planner_settings));
}

void Controller::RecordHostStates(base::TimePoint now) {
  std::erase_if(m_conditions, [this](const auto& entry) {
    return m_mirror->GetHosts().count(entry.first) == 0;
  });
  for (const auto& [name, host] : m_mirror->GetHosts()) {
    const auto known = m_conditions.find(name);
    const bool is_same = known != m_conditions.end() &&
                         known->second.state == host.state &&
                         known->second.boot_id == host.boot_id;
    if (!is_same) {
      m_conditions[name] = Condition{host.state, host.boot_id, now};
    }
  }
}

void Controller::ExecuteFleetPlan(const fleet::FleetPlan& plan) {
  for (size_t begin = 0; begin < plan.transitions.size();
       begin += kMaxTransitionsPerTransaction) {
    const size_t end = std::min(begin + kMaxTransitionsPerTransaction,
                                plan.transitions.size());
    const std::vector<fleet::Transition> batch(
        plan.transitions.begin() + static_cast<ptrdiff_t>(begin),
        plan.transitions.begin() + static_cast<ptrdiff_t>(end));
    if (!m_mirror->CommitTransitions(m_platform, m_lease.GetToken(), batch)) {
      base::Log(base::events::kTransitionConflict,
                {{"host", batch.front().host}});
      DiscardMirror();
      return;
    }
    for (const fleet::Transition& transition : batch) {
      const bool is_retained = transition.after.has_value();
      base::Log(
          base::events::kHostTransition,
          {{"host", transition.host},
           {"pool", is_retained ? transition.after->pool : "-"},
           {"state", is_retained ? records::NameOf(transition.after->state)
                                 : "forgotten"},
           {"reason", transition.reason}});
    }
  }
  RequestReboots(plan.reboots);
  std::map<std::string, int> shortfalls;
  for (const fleet::Shortfall& shortfall : plan.shortfalls) {
    const std::string pool_and_data_centre =
        shortfall.pool + "/" + shortfall.data_centre;
    shortfalls[pool_and_data_centre] = shortfall.missing;
    if (m_reported_shortfalls.count(pool_and_data_centre) == 0) {
      base::Log(base::events::kPromiseUnmet,
                {{"pool", shortfall.pool},
                 {"data_centre", shortfall.data_centre},
                 {"missing", std::to_string(shortfall.missing)},
                 {"remedy", shortfall.remedy}});
    }
  }
  m_reported_shortfalls = std::move(shortfalls);
}

void Controller::RequestReboots(const std::vector<std::string>& hosts) {
  for (const std::string& host : hosts) {
    const records::HostRecord& record = m_mirror->GetHosts().at(host);
    if (record.state != records::HostState::kRebooting) {
      continue;
    }
    try {
      m_platform.Reboot(host, record.boot_id);
      base::Log(base::events::kRebootRequested,
                {{"host", host}, {"boot_id", record.boot_id}});
    } catch (const storage::Unavailable& error) {
      base::Log(base::events::kRebootFailed,
                {{"host", host}, {"error", error.what()}});
    }
  }
}

}  // namespace shallotwick::controller
