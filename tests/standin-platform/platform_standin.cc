#include "standin-platform/platform_standin.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "http/blocking_client.h"
#include "storage/platform_codec.h"

namespace shallotwick::standin {
namespace {

constexpr auto kDuePeriod = std::chrono::milliseconds(2);

}  // namespace

PlatformStandin::PlatformStandin(std::string executor_control,
                                 std::chrono::milliseconds reboot_time)
    : m_executor_control(std::move(executor_control)),
      m_reboot_time(reboot_time),
      m_due([this] { return RunDue(); }) {
  m_hosts.SetOnReboot([this](const std::string& host) { BeginReboot(host); });
}

PlatformStandin::~PlatformStandin() { m_due.Stop(); }

void PlatformStandin::Handle(const http::Request& request,
                             http::Respond respond) {
  const std::vector<std::string> path =
      http::SplitPath(http::GetPath(request.target));
  if (!path.empty() && path[0] == "standin") {
    respond(ServeControl(path, request));
    return;
  }
  PlatformFaults faults;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    faults = m_faults;
    if (faults.mode == "freeze") {
      m_frozen.push_back(std::move(respond));
      return;
    }
  }
  if (faults.mode == "down") {
    Answer(faults, std::move(respond),
           http::MakeProblem(503, "down", "The platform is down."));
    return;
  }
  http::Response response = Serve(request);
  const bool is_commit = path.size() == 2 && path[1] == "commit";
  if (faults.mode == "lose-answers" && is_commit) {
    response = http::MakeProblem(503, "lost", "The answer was lost.");
  }
  Answer(faults, std::move(respond), std::move(response));
}

void PlatformStandin::Answer(const PlatformFaults& faults,
                             http::Respond respond, http::Response response) {
  if (faults.delay.count() == 0) {
    respond(std::move(response));
    return;
  }
  std::lock_guard<std::mutex> lock(m_mutex);
  m_delayed.push_back({base::RuntimeClock::now() + faults.delay,
                       std::move(respond), std::move(response)});
}

http::Response PlatformStandin::Serve(const http::Request& request) {
  const std::vector<std::string> path =
      http::SplitPath(http::GetPath(request.target));
  try {
    if (path.size() == 2 && path[0] == "table") {
      return ServeTable(path[1], request);
    }
    if (path.size() == 2 && path[0] == "objects") {
      return ServeObject(path[1], request);
    }
    if (!path.empty() && path[0] == "hosts") {
      return ServeHosts(path, request);
    }
  } catch (const nlohmann::json::exception& error) {
    return http::MakeProblem(400, "malformed", error.what());
  }
  return http::MakeProblem(404, "not-found", "No such path.");
}

http::Response PlatformStandin::ServeTable(const std::string& path,
                                           const http::Request& request) {
  const nlohmann::json body = nlohmann::json::parse(request.body);
  if (path == "read") {
    const nlohmann::json rows = m_table.Read(body.get<storage::ReadRequest>());
    return http::MakeJsonResponse(200, nlohmann::json({{"rows", rows}}).dump());
  }
  if (path != "commit") {
    return http::MakeProblem(404, "not-found", "No such path.");
  }
  const storage::CommitResult result =
      m_table.Commit(body.get<storage::Transaction>());
  if (result.status == storage::CommitStatus::kCommitted) {
    return http::MakeJsonResponse(
        200, nlohmann::json({{"generation", result.generation}}).dump());
  }
  return http::MakeJsonResponse(
      409,
      nlohmann::json({{"conflicting_keys", result.conflicting_keys}}).dump());
}

http::Response PlatformStandin::ServeHosts(const std::vector<std::string>& path,
                                           const http::Request& request) {
  if (path.size() == 1) {
    const nlohmann::json hosts = m_hosts.List();
    return http::MakeJsonResponse(200,
                                  nlohmann::json({{"hosts", hosts}}).dump());
  }
  if (path.size() == 3 && path[2] == "reboot") {
    const auto boot_id = nlohmann::json::parse(request.body).at("boot_id");
    m_hosts.Reboot(path[1], boot_id.get<std::string>());
    return http::MakeJsonResponse(200, "{}");
  }
  return http::MakeProblem(404, "not-found", "No such path.");
}

http::Response PlatformStandin::ServeObject(const std::string& key,
                                            const http::Request& request) {
  if (request.method == "PUT") {
    m_objects.Put(key, request.body);
    return http::MakeJsonResponse(201, "{}");
  }
  const auto value = m_objects.Get(key);
  if (!value) {
    return http::MakeProblem(404, "not-found", "No such object.");
  }
  return http::Response{
      200, {{"Content-Type", "application/octet-stream"}}, *value};
}

http::Response PlatformStandin::ServeControl(
    const std::vector<std::string>& path, const http::Request& request) {
  if (path.size() == 2 && path[1] == "stats") {
    return http::MakeJsonResponse(
        200, nlohmann::json({{"reads", m_table.CountReads()},
                             {"commits", m_table.CountCommits()},
                             {"bytes", m_table.CountBytes()}})
                 .dump());
  }
  const nlohmann::json body =
      nlohmann::json::parse(request.body, nullptr, false);
  if (body.is_discarded()) {
    return http::MakeProblem(400, "malformed", "The body is not JSON.");
  }
  if (path.size() == 2 && path[1] == "hosts") {
    for (const auto& host : body.at("hosts")) {
      m_hosts.Put(host.get<storage::ListedHost>());
    }
    return http::MakeJsonResponse(200, "{}");
  }
  if (path.size() == 3 && path[1] == "status") {
    const std::string status = body.at("status");
    m_hosts.SetStatus(path[2],
                      status == "leaving" ? storage::ListedStatus::kLeaving
                      : status == "dead"  ? storage::ListedStatus::kDead
                                          : storage::ListedStatus::kLive);
    return http::MakeJsonResponse(200, "{}");
  }
  if (path.size() == 2 && path[1] == "faults") {
    std::vector<http::Respond> frozen;
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      m_faults.mode = body.value("mode", "none");
      m_faults.delay = std::chrono::milliseconds(body.value("delay_ms", 0));
      frozen = std::exchange(m_frozen, {});
    }
    for (const auto& respond : frozen) {
      respond(http::MakeProblem(503, "frozen", "The platform was frozen."));
    }
    return http::MakeJsonResponse(200, "{}");
  }
  return http::MakeProblem(404, "not-found", "No such path.");
}

void PlatformStandin::BeginReboot(const std::string& host) {
  if (!m_executor_control.empty()) {
    http::SendAndWait("http://" + m_executor_control + "/reboot/" + host,
                      http::Request{"POST", "/", {}, ""});
  }
  std::lock_guard<std::mutex> lock(m_mutex);
  m_reboots.emplace_back(base::RuntimeClock::now() + m_reboot_time, host);
}

base::Duration PlatformStandin::RunDue() {
  const base::TimePoint now = base::RuntimeClock::now();
  std::vector<Delayed> due;
  std::vector<std::string> rebooted;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    while (!m_delayed.empty() && m_delayed.front().due <= now) {
      due.push_back(std::move(m_delayed.front()));
      m_delayed.pop_front();
    }
    std::erase_if(m_reboots, [&](const auto& reboot) {
      if (reboot.first > now) {
        return false;
      }
      rebooted.push_back(reboot.second);
      return true;
    });
  }
  for (Delayed& delayed : due) {
    delayed.respond(std::move(delayed.response));
  }
  for (const std::string& host : rebooted) {
    if (!m_executor_control.empty()) {
      http::SendAndWait("http://" + m_executor_control + "/start/" + host,
                        http::Request{"POST", "/", {}, ""});
    }
    m_hosts.FinishReboot(host);
  }
  return kDuePeriod;
}

}  // namespace shallotwick::standin
