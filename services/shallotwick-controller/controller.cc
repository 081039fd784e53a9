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

// Transitions in one transaction at the most.
constexpr size_t kLargestBatch = 32;
// While the platform does not answer.
constexpr auto kLongestRetryDelay = std::chrono::seconds(3);
constexpr int kLongestMilliseconds = 86'400'000;
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
  planner.reboot_limit = GetMilliseconds(settings, "reboot-limit-ms");
  planner.forget_delay = GetMilliseconds(settings, "forget-delay-ms");
  return planner;
}

int GetMinuteOfDay() {
  return static_cast<int>(base::WallClockMilliseconds() /
                          kMillisecondsPerMinute % kMinutesPerDay);
}

}  // namespace

std::vector<base::SettingDeclaration> GetSettings() {
  const auto milliseconds = base::CheckInteger(1, kLongestMilliseconds);
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
      m_backoff(m_period, kLongestRetryDelay),
      m_planner_settings(MakePlannerSettings(settings)),
      m_lapse_limit(GetMilliseconds(settings, "member-lapse-ms")),
      m_platform(settings.GetString("platform"),
                 GetMilliseconds(settings, "platform-timeout-ms")),
      m_store_watch(settings.GetString("platform")),
      m_lease(m_platform, m_name, GetMilliseconds(settings, "lease-ms"),
              GetMilliseconds(settings, "lease-ms") / 3),
      m_drains(m_lapse_limit) {
  http::ServerOptions options;
  options.listen = base::ParseEndpoint(settings.GetString("listen"));
  options.threads = 1;
  m_metrics.SetGauge("shallotwick_controller_acting",
                     [this] { return m_acting.load() ? 1.0 : 0.0; });
  m_server = std::make_unique<http::Server>(
      options,
      [this](const http::Request& request, const http::Respond& respond) {
        HandleRequest(request, respond);
      });
  base::Log(base::events::kStarted,
            {{"name", m_name}, {"port", std::to_string(m_server->GetPort())}});
  m_task = std::make_unique<base::PeriodicTask>([this] { return RunRound(); });
}

Controller::~Controller() = default;

void Controller::Stop() {
  base::Log(base::events::kStopping, {{"name", m_name}});
  m_task->Stop();
  m_lease.GiveUp();
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
    const nlohmann::json body = {{"acting", m_acting.load()},
                                 {"store", m_store_watch.IsReachable()}};
    respond(http::MakeJsonResponse(m_store_watch.IsReachable() ? 200 : 503,
                                   body.dump()));
  } else if (path == "/metrics") {
    respond(http::Response{200,
                           {{"Content-Type", "text/plain; version=0.0.4"}},
                           m_metrics.FormatExposition()});
  } else {
    respond(http::MakeProblem(404, "not-found", "No such path."));
  }
}

base::Duration Controller::RunRound() {
  const base::TimePoint now = base::RuntimeClock::now();
  try {
    const bool held = m_lease.Advance(now);
    m_store_watch.ReportAnswer();
    m_acting.store(held);
    if (held) {
      Act(now);
    } else {
      Forget();
    }
  } catch (const storage::Unavailable& error) {
    m_store_watch.ReportFailure(error.what());
    // A lost answer may hide a commit: nothing of the copy is sure any more.
    Forget();
    return m_backoff.NextDelay(base::MakeRandomFraction());
  }
  m_backoff.Reset();
  return base::SpreadPeriod(m_period, base::MakeRandomFraction());
}

void Controller::Forget() { m_mirror.reset(); }

void Controller::Act(base::TimePoint now) {
  m_metrics.GetCounter("shallotwick_controller_rounds_total").Increment();
  LoadIfNeeded();
  FollowDocument();
  if (!m_mirror) {
    return;
  }
  const control::RowSet rows(
      m_platform.Read(storage::ReadRequest{{}, {records::kMemberPrefix}}));
  FollowMembers(rows, now);
  FollowHostList(now);
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

void Controller::FollowDocument() {
  const control::RowSet head(
      m_platform.Read(storage::ReadRequest{{records::kDocumentHeadKey}, {}}));
  const auto record =
      head.Find<control::DocumentHeadRecord>(records::kDocumentHeadKey);
  if (!record || record->version == m_plan.version) {
    return;
  }
  const control::RowSet rows(m_platform.Read(control::MakeDocumentRead()));
  m_plan = document::MakeEffectivePlan(control::BuildDocument(rows));
  const control::ViewServicesRecord services =
      control::MakeViewServices(m_plan);
  // A controller that was slow to read must not bring an older version back.
  if (services.document_version <= m_mirror->GetServices().document_version) {
    return;
  }
  if (!m_mirror->CommitServices(m_platform, m_lease.GetToken(), services)) {
    Forget();
    return;
  }
  base::Log(base::events::kDocumentInForce,
            {{"document_version", std::to_string(m_plan.version)},
             {"view_version", std::to_string(m_mirror->GetHead().version)}});
}

void Controller::FollowMembers(const control::RowSet& rows,
                               base::TimePoint now) {
  std::vector<records::MemberRecord> members;
  for (auto& [name, member] :
       rows.FindAll<records::MemberRecord>(records::kMemberPrefix)) {
    members.push_back(member);
  }
  m_drains.ObserveMembers(members, now);
  for (const auto& acknowledgement : m_distributor.TakeAcknowledgements()) {
    m_drains.ObserveAcknowledgement(acknowledgement);
  }
  RemoveLapsedMembers(rows, now);
  const std::vector<std::string> lapsed = m_drains.FindLapsed(now);
  const std::set<std::string> gone(lapsed.begin(), lapsed.end());
  control::ViewMembersRecord record;
  for (const records::MemberRecord& member : members) {
    if (gone.count(member.gateway) == 0) {
      record.members[member.gateway] =
          routing::MemberRoute{member.gateway, member.link_address};
    }
  }
  if (record == m_mirror->GetMembers()) {
    return;
  }
  if (!m_mirror->CommitMembers(m_platform, m_lease.GetToken(), record)) {
    Forget();
  }
}

// Removes rows as they were seen to stand still: one that is renewed meanwhile
// stays.
void Controller::RemoveLapsedMembers(const control::RowSet& rows,
                                     base::TimePoint now) {
  for (const std::string& gateway : m_drains.FindLapsed(now)) {
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

void Controller::FollowHostList(base::TimePoint now) {
  if (!m_mirror) {
    return;
  }
  m_listed.clear();
  for (storage::ListedHost& host : m_platform.List()) {
    m_listed[host.name] = std::move(host);
  }
  NoteStates(now);
  fleet::FleetInput input;
  input.plan = m_plan;
  input.hosts = m_mirror->GetHosts();
  input.listed = m_listed;
  input.drained = m_drains.FindDrained(input.hosts, now);
  for (const auto& [name, condition] : m_conditions) {
    input.in_state_since[name] = condition.since;
  }
  input.now = now;
  input.minute_of_day = GetMinuteOfDay();
  Carry(fleet::PlanFleet(input, m_planner_settings));
}

void Controller::NoteStates(base::TimePoint now) {
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

void Controller::Carry(const fleet::FleetPlan& plan) {
  for (size_t begin = 0; begin < plan.transitions.size();
       begin += kLargestBatch) {
    const size_t end = std::min(begin + kLargestBatch, plan.transitions.size());
    const std::vector<fleet::Transition> batch(
        plan.transitions.begin() + static_cast<ptrdiff_t>(begin),
        plan.transitions.begin() + static_cast<ptrdiff_t>(end));
    if (!m_mirror->CommitTransitions(m_platform, m_lease.GetToken(), batch)) {
      base::Log(base::events::kTransitionConflict,
                {{"host", batch.front().host}});
      Forget();
      return;
    }
    for (const fleet::Transition& transition : batch) {
      const bool is_kept = transition.after.has_value();
      base::Log(base::events::kHostTransition,
                {{"host", transition.host},
                 {"pool", is_kept ? transition.after->pool : "-"},
                 {"state", is_kept ? records::NameOf(transition.after->state)
                                   : "forgotten"},
                 {"reason", transition.reason}});
    }
  }
  RequestReboots(plan.reboots);
  std::map<std::string, int> shortfalls;
  for (const fleet::Shortfall& shortfall : plan.shortfalls) {
    const std::string place = shortfall.pool + "/" + shortfall.data_centre;
    shortfalls[place] = shortfall.missing;
    if (m_reported_shortfalls.count(place) == 0) {
      base::Log(base::events::kPromiseShort,
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
