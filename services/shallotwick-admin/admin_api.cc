#include "admin_api.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

#include "base/log_catalogue.h"
#include "base/random_identifier.h"
#include "control/row_set.h"
#include "control/view_records.h"
#include "document/section_parser.h"
#include "records/control_records.h"
#include "records/host_record.h"
#include "records/keys.h"

namespace shallotwick::admin {
namespace {

constexpr int kHistoryPage = 100;

// Reads If-Match: the revision that an edit started from, quoted or not.
std::optional<uint64_t> ReadBaseRevision(const http::Request& request) {
  std::string text = http::FindHeader(request.headers, "If-Match").value_or("");
  std::erase(text, '"');
  uint64_t revision = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, revision);
  if (text.empty() || error != std::errc() || rest != end) {
    return std::nullopt;
  }
  return revision;
}

int StatusOf(document::SubmissionVerdict verdict) {
  switch (verdict) {
    case document::SubmissionVerdict::kAccepted:
    case document::SubmissionVerdict::kUnchanged:
      return 200;
    case document::SubmissionVerdict::kDisputed:
      return 202;
    case document::SubmissionVerdict::kStale:
      return 412;
    case document::SubmissionVerdict::kRejected:
      return 422;
  }
  return 500;
}

base::LogEvent EventOf(document::SubmissionVerdict verdict) {
  switch (verdict) {
    case document::SubmissionVerdict::kAccepted:
    case document::SubmissionVerdict::kUnchanged:
      return base::events::kSubmissionAccepted;
    case document::SubmissionVerdict::kDisputed:
      return base::events::kSubmissionDisputed;
    case document::SubmissionVerdict::kStale:
    case document::SubmissionVerdict::kRejected:
      break;
  }
  return base::events::kSubmissionRejected;
}

http::Response MakeMethodProblem() {
  return http::MakeProblem(405, "method-not-allowed",
                           "This path does not take that method.");
}

http::Response MakeUnauthorized() {
  return http::MakeProblem(
      403, "not-an-owner",
      "Only the section's own team may do this, with its bearer token.");
}

}  // namespace

AdminApi::AdminApi(storage::TableService& table,
                   control::StoreReachability& store_reachability,
                   const AdminApiOptions& options)
    : m_table(table),
      m_store_reachability(store_reachability),
      m_documents(table, options.arbiter, options.reserve_per_data_centre),
      m_tokens(TeamTokens::Parse(options.team_tokens)) {}

http::Response AdminApi::Handle(const http::Request& request) {
  const Path path = http::SplitPath(http::GetPath(request.target));
  if (path == Path{"healthz"}) {
    return http::MakeJsonResponse(200, R"({"status":"ok"})");
  }
  if (path == Path{"metrics"}) {
    return http::Response{200,
                          {{"Content-Type", "text/plain; version=0.0.4"}},
                          m_metrics.FormatExposition()};
  }
  try {
    http::Response response = Route(request, path);
    m_store_reachability.ReportStoreResponse();
    return response;
  } catch (const storage::Unavailable& error) {
    m_store_reachability.ReportFailure(error.what());
    m_metrics.GetCounter("shallotwick_admin_store_failures_total").Increment();
    return http::MakeProblem(
        503, "store-unavailable",
        "The table service does not answer. An edit may have been taken: look "
        "at the section before you send it again.");
  }
}

http::Response AdminApi::Route(const http::Request& request, const Path& path) {
  const bool is_get = request.method == "GET";
  if (path == Path{"readyz"}) {
    m_table.Read({{records::kDocumentHeadKey}, {}});
    return http::MakeJsonResponse(200, R"({"ready":true})");
  }
  if (path.size() < 2 || path[0] != "v1") {
    return http::MakeProblem(404, "not-found", "No such path.");
  }
  const std::string& collection = path[1];
  if (collection == "sections" && path.size() == 3) {
    if (request.method == "PUT") {
      return SubmitSection(path[2], request);
    }
    return is_get ? ShowSection(path[2]) : MakeMethodProblem();
  }
  if (collection == "sections" && path.size() == 4 && path[3] == "check") {
    return request.method == "POST" ? CheckSection(path[2], request)
                                    : MakeMethodProblem();
  }
  if (collection == "disputes" && path.size() == 3) {
    return request.method == "DELETE" ? WithdrawDispute(path[2], request)
                                      : MakeMethodProblem();
  }
  if (path.size() != 2) {
    return http::MakeProblem(404, "not-found", "No such path.");
  }
  if (!is_get) {
    return MakeMethodProblem();
  }
  if (collection == "document") {
    return ShowDocument();
  }
  if (collection == "disputes") {
    return ShowDisputes();
  }
  if (collection == "history") {
    return ShowHistory(request);
  }
  if (collection == "gateways") {
    return ShowGateways();
  }
  if (collection == "hosts") {
    return ShowHosts(request);
  }
  if (collection == "pools") {
    return ShowPools();
  }
  if (collection == "waves") {
    return ShowWaves();
  }
  return http::MakeProblem(404, "not-found", "No such path.");
}

http::Response AdminApi::ShowDocument() {
  const document::PlanningDocument planning = m_documents.Load();
  nlohmann::json sections = nlohmann::json::array();
  for (const auto& [team, section] : planning.sections) {
    sections.push_back({{"team", team},
                        {"revision", section.revision},
                        {"author", section.author}});
  }
  const nlohmann::json body = {{"version", planning.version},
                               {"sections", sections},
                               {"disputes", planning.disputes.size()}};
  return http::MakeJsonResponse(200, body.dump());
}

http::Response AdminApi::ShowSection(const std::string& team) {
  const document::PlanningDocument planning = m_documents.Load();
  const auto found = planning.sections.find(team);
  if (found == planning.sections.end()) {
    return http::MakeProblem(
        404, "no-such-section",
        "The section does not exist yet; submit it with If-Match: 0.");
  }
  const document::AcceptedSection& section = found->second;
  nlohmann::json body = {{"team", team},
                         {"revision", section.revision},
                         {"author", section.author},
                         {"text", section.text}};
  for (const auto& [id, dispute] : planning.disputes) {
    if (dispute.team == team) {
      body["dispute"] = dispute;
    }
  }
  http::Response response = http::MakeJsonResponse(200, body.dump());
  response.headers.emplace_back("ETag",
                                "\"" + std::to_string(section.revision) + "\"");
  return response;
}

http::Response AdminApi::SubmitSection(const std::string& team,
                                       const http::Request& request) {
  if (!document::IsValidName(team) || !m_tokens.Allows(team, request)) {
    CountVerdict("not-an-owner");
    return MakeUnauthorized();
  }
  const auto base_revision = ReadBaseRevision(request);
  if (!base_revision) {
    CountVerdict("no-base-revision");
    return http::MakeProblem(428, "base-revision-missing",
                             "Send If-Match with the revision that the edit "
                             "started from, 0 for a new section.");
  }
  document::Submission submission;
  submission.team = team;
  submission.author =
      http::FindHeader(request.headers, "Shallotwick-Author").value_or(team);
  submission.text = request.body;
  submission.base_revision = *base_revision;
  submission.dispute_id = "d-" + base::MakeRandomIdentifier().substr(0, 8);
  const auto result = m_documents.Submit(submission);
  if (!result) {
    CountVerdict("busy");
    return http::MakeProblem(503, "busy",
                             "Too many edits at once; nothing was taken. Send "
                             "it again.");
  }
  CountVerdict(document::NameOf(result->verdict));
  base::Log(EventOf(result->verdict),
            {{"team", team},
             {"author", submission.author},
             {"verdict", document::NameOf(result->verdict)},
             {"version", std::to_string(result->document.version)}});
  return DescribeResult(team, *result);
}

http::Response AdminApi::CheckSection(const std::string& team,
                                      const http::Request& request) {
  if (!m_tokens.Allows(team, request)) {
    return MakeUnauthorized();
  }
  document::Submission submission;
  submission.team = team;
  submission.text = request.body;
  const document::PlanningDocument planning = m_documents.Load();
  const auto found = planning.sections.find(team);
  submission.base_revision =
      found == planning.sections.end() ? 0 : found->second.revision;
  submission.dispute_id = "d-check";
  return DescribeResult(team, m_documents.Check(submission));
}

http::Response AdminApi::DescribeResult(
    const std::string& team, const document::SubmissionResult& result) {
  const document::PlanningDocument& planning = result.document;
  nlohmann::json body = {{"verdict", document::NameOf(result.verdict)},
                         {"version", planning.version},
                         {"findings", result.findings}};
  const auto section = planning.sections.find(team);
  if (section != planning.sections.end()) {
    body["revision"] = section->second.revision;
    if (result.verdict == document::SubmissionVerdict::kStale) {
      body["text"] = section->second.text;
    }
  }
  for (const auto& [id, dispute] : planning.disputes) {
    if (dispute.team == team) {
      body["dispute"] = {{"id", id}, {"digest", dispute.digest}};
    }
  }
  return http::MakeJsonResponse(StatusOf(result.verdict), body.dump());
}

http::Response AdminApi::ShowDisputes() {
  const document::PlanningDocument planning = m_documents.Load();
  nlohmann::json disputes = nlohmann::json::array();
  for (const auto& [id, dispute] : planning.disputes) {
    disputes.push_back(dispute);
  }
  return http::MakeJsonResponse(
      200, nlohmann::json({{"disputes", disputes}}).dump());
}

http::Response AdminApi::WithdrawDispute(const std::string& dispute,
                                         const http::Request& request) {
  const document::PlanningDocument planning = m_documents.Load();
  const auto found = planning.disputes.find(dispute);
  // Whether there is such a dispute is told to its owner only.
  if (found == planning.disputes.end() ||
      !m_tokens.Allows(found->second.team, request)) {
    return MakeUnauthorized();
  }
  switch (m_documents.Withdraw(found->second.team, dispute)) {
    case DocumentStore::WithdrawResult::kWithdrawn:
      return http::MakeJsonResponse(200, R"({"withdrawn":true})");
    case DocumentStore::WithdrawResult::kNotFound:
      return http::MakeProblem(404, "no-such-dispute",
                               "It has ended meanwhile.");
    case DocumentStore::WithdrawResult::kBusy:
      break;
  }
  return http::MakeProblem(503, "busy", "Too many edits at once; try again.");
}

http::Response AdminApi::ShowHistory(const http::Request& request) {
  uint64_t from = 1;
  const std::string text =
      http::FindQueryParameter(request.target, "from").value_or("1");
  std::from_chars(text.data(), text.data() + text.size(), from);
  nlohmann::json body = {
      {"history", m_documents.ReadHistory(from, kHistoryPage)}};
  return http::MakeJsonResponse(200, body.dump());
}

http::Response AdminApi::ShowGateways() {
  const control::RowSet rows(
      m_table.Read({{records::kDocumentHeadKey, records::kViewHeadKey},
                    {records::kMemberPrefix}}));
  const auto document_head =
      rows.Find<control::DocumentHeadRecord>(records::kDocumentHeadKey)
          .value_or(control::DocumentHeadRecord{});
  const auto view_head =
      rows.Find<records::ViewHeadRecord>(records::kViewHeadKey)
          .value_or(records::ViewHeadRecord{});
  nlohmann::json gateways = nlohmann::json::array();
  for (const auto& [name, member] :
       rows.FindAll<records::MemberRecord>(records::kMemberPrefix)) {
    gateways.push_back(
        {{"gateway", name},
         {"data_centre", member.data_centre},
         {"address", member.http_address},
         {"ready", member.ready},
         {"view_version", member.view_version},
         {"document_version", member.document_version},
         {"in_force", member.document_version >= document_head.version}});
  }
  const nlohmann::json body = {{"document_version", document_head.version},
                               {"view_version", view_head.version},
                               {"gateways", gateways}};
  return http::MakeJsonResponse(200, body.dump());
}

http::Response AdminApi::ShowHosts(const http::Request& request) {
  const control::RowSet rows(m_table.Read({{}, {records::kHostPrefix}}));
  const auto pool = http::FindQueryParameter(request.target, "pool");
  nlohmann::json hosts = nlohmann::json::array();
  for (const auto& [name, host] :
       rows.FindAll<records::HostRecord>(records::kHostPrefix)) {
    if (!pool || *pool == host.pool) {
      hosts.push_back(host);
    }
  }
  return http::MakeJsonResponse(200, nlohmann::json({{"hosts", hosts}}).dump());
}

http::Response AdminApi::ShowPools() {
  storage::ReadRequest read = control::MakeDocumentReadRequest();
  read.prefixes.push_back(records::kHostPrefix);
  const control::RowSet rows(m_table.Read(read));
  const document::EffectivePlan plan =
      document::MakeEffectivePlan(control::BuildDocument(rows));
  std::map<std::string, std::map<std::string, int>> serving;
  std::map<std::string, int> unavailable;
  for (const auto& [name, host] :
       rows.FindAll<records::HostRecord>(records::kHostPrefix)) {
    if (host.state == records::HostState::kServing) {
      ++serving[host.pool][host.data_centre];
    } else {
      ++unavailable[host.pool];
    }
  }
  nlohmann::json pools = nlohmann::json::array();
  for (const document::PoolPlan& pool : plan.pools) {
    nlohmann::json places = nlohmann::json::array();
    for (const auto& [data_centre, promised] : pool.promise) {
      const int there = serving[pool.name][data_centre];
      places.push_back({{"data_centre", data_centre},
                        {"promised", promised},
                        {"serving", there},
                        {"short", std::max(0, promised - there)}});
    }
    pools.push_back({{"pool", pool.name},
                     {"budget", pool.budget},
                     {"unavailable", unavailable[pool.name]},
                     {"data_centres", places}});
  }
  return http::MakeJsonResponse(200, nlohmann::json({{"pools", pools}}).dump());
}

http::Response AdminApi::ShowWaves() {
  storage::ReadRequest read = control::MakeDocumentReadRequest();
  read.prefixes.push_back(records::kHostPrefix);
  const control::RowSet rows(m_table.Read(read));
  const document::EffectivePlan plan =
      document::MakeEffectivePlan(control::BuildDocument(rows));
  const auto hosts = rows.FindAll<records::HostRecord>(records::kHostPrefix);
  nlohmann::json waves = nlohmann::json::array();
  for (const document::WavePlan& wave : plan.waves) {
    int done = 0;
    int running = 0;
    int left = 0;
    for (const auto& [name, host] : hosts) {
      const bool is_covered = std::find(wave.pools.begin(), wave.pools.end(),
                                        host.pool) != wave.pools.end();
      if (host.wave == wave.name) {
        ++running;
      } else if (host.maintained_by == wave.name) {
        ++done;
      } else if (is_covered) {
        ++left;
      }
    }
    waves.push_back({{"wave", wave.name},
                     {"pools", wave.pools},
                     {"done", done},
                     {"in_maintenance", running},
                     {"left", left}});
  }
  return http::MakeJsonResponse(200, nlohmann::json({{"waves", waves}}).dump());
}

void AdminApi::CountVerdict(const std::string& verdict) {
  m_metrics
      .GetCounter("shallotwick_admin_submissions_total", {{"verdict", verdict}})
      .Increment();
}

}  // namespace shallotwick::admin
