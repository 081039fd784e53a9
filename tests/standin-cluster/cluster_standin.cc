#include "standin-cluster/cluster_standin.h"

#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace shallotwick::standin {
namespace {

using nlohmann::json;

constexpr auto kTick = std::chrono::milliseconds(2);
constexpr char kConfig[] = R"({"version":2,"routes":[{"name":"quote",
  "host":"127.0.0.1","prefix":"/quote/","sloMs":600,"priority":0,
  "service":"quotes","attempts":2,"stretch":1.6}],
  "services":[{"name":"quotes","standby":false}],
  "limits":{"maxBodyBytes":262144}})";

http::ServerOptions MakeOptions() {
  http::ServerOptions options;
  options.listen = {"127.0.0.1", 0};
  options.threads = 1;
  return options;
}

int64_t ReadNumber(const http::Request& request, const char* name,
                   int64_t usual) {
  const auto text = http::FindQueryParameter(request.target, name);
  return text ? std::stoll(*text) : usual;
}

std::string ReadText(const http::Request& request, const char* name) {
  return http::FindQueryParameter(request.target, name).value_or("");
}

}  // namespace

ClusterStandin::ClusterStandin(int executors, int64_t run_ms) {
  for (int i = 0; i < executors; ++i) {
    m_executors.push_back(
        std::make_unique<ExecutorModel>("i-" + std::to_string(i), run_ms));
    ExecutorModel& executor = *m_executors.back();
    m_executor_servers.push_back(std::make_unique<http::Server>(
        MakeOptions(), [this, &executor](const http::Request& request,
                                         const http::Respond& respond) {
          HandleExecutor(executor, request, respond);
        }));
  }
  m_store_server = std::make_unique<http::Server>(
      MakeOptions(),
      [this](const http::Request& request, const http::Respond& respond) {
        HandleStore(request, respond);
      });
  m_rows.Put("op", "config", kConfig);
  WriteEntries();
  m_clock = std::thread([this] { RunClock(); });
}

ClusterStandin::~ClusterStandin() {
  m_stopping = true;
  m_clock.join();
  m_store_server->Stop();
  for (const auto& server : m_executor_servers) {
    server->Stop();
  }
}

std::string ClusterStandin::GetAddress() const {
  return "127.0.0.1:" + std::to_string(m_store_server->GetPort());
}

void ClusterStandin::WriteEntries() {
  for (size_t i = 0; i < m_executors.size(); ++i) {
    const json entry = {
        {"service", "quotes"},
        {"addr",
         "127.0.0.1:" + std::to_string(m_executor_servers[i]->GetPort())},
        {"zone", "z"},
        {"state", "ready"},
        {"capacity", {{"cpu", 4'000}, {"memMb", 8'192}}},
        {"labels", {"a", "r1"}},
        {"machine", "m-" + std::to_string(i)},
        {"born", 1}};
    m_rows.Put("servers", m_executors[i]->GetId(), entry.dump());
  }
  // A row of another writer.
  m_rows.Put("servers", "i-broken", "{\"service\":7");
}

void ClusterStandin::HandleStore(const http::Request& request,
                                 const http::Respond& respond) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_is_store_down) {
    respond(http::MakeJsonResponse(503, "{}"));
    return;
  }
  const std::string path = http::GetPath(request.target);
  if (path == "/v1/rows-tx") {
    const auto [status, body] = m_rows.Commit(json::parse(request.body));
    const int nth = m_lose_nth;
    const bool is_lost = nth > 0 && ++m_writes % nth == 0;
    if (!is_lost) {
      respond(http::MakeJsonResponse(status, body.dump()));
    }
    return;
  }
  if (path == "/v1/rows-get") {
    const json body =
        m_rows.Read(ReadText(request, "table"), ReadText(request, "part"),
                    ReadText(request, "from"), ReadText(request, "target"),
                    static_cast<size_t>(ReadNumber(request, "limit", 500)));
    respond(http::MakeJsonResponse(200, body.dump()));
    return;
  }
  if (path == "/v1/rows-feed") {
    const auto after = static_cast<uint64_t>(ReadNumber(request, "after", 0));
    m_waiting.push_back(
        {std::chrono::steady_clock::now() +
             std::chrono::milliseconds(ReadNumber(request, "waitMs", 0)),
         [this, table = ReadText(request, "table"), after,
          respond](bool is_over) {
           const json body = m_rows.ListChanges(table, after);
           if (!is_over && body.at("rows").empty()) {
             return false;
           }
           respond(http::MakeJsonResponse(200, body.dump()));
           return true;
         }});
    return;
  }
  if (path == "/v1/machines") {
    json machines = json::array();
    for (size_t i = 0; i < m_executors.size(); ++i) {
      machines.push_back({{"machine", "m-" + std::to_string(i)},
                          {"pool", "quotes"},
                          {"state", "up"},
                          {"zone", "z"},
                          {"capacity", {{"cpu", 4'000}}},
                          {"id", m_executors[i]->GetId()}});
    }
    respond(http::MakeJsonResponse(
        200, json{{"machines", machines}, {"nextToken", nullptr}}.dump()));
    return;
  }
  respond(http::MakeJsonResponse(404, "{}"));
}

void ClusterStandin::HandleExecutor(ExecutorModel& executor,
                                    const http::Request& request,
                                    const http::Respond& respond) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const std::string path = http::GetPath(request.target);
  const json order = json::parse(request.body, nullptr, false);
  if (path == "/v1/run-start") {
    const auto [status, body] = executor.Start(order);
    respond(http::MakeJsonResponse(status, body.dump()));
  } else if (path == "/v1/run-stop") {
    const auto [status, body] = executor.Stop(order);
    respond(http::MakeJsonResponse(status, body.dump()));
  } else if (path == "/v1/hold") {
    executor.Hold(order);
    m_waiting.push_back(
        {std::chrono::steady_clock::now() +
             std::chrono::milliseconds(order.value("waitMs", int64_t{0})),
         [&executor, order, respond](bool is_over) {
           if (!is_over && !executor.HasEnds()) {
             return false;
           }
           const auto [status, body] = executor.Hold(order);
           respond(http::MakeJsonResponse(status, body.dump()));
           return true;
         }});
  } else {
    respond(http::MakeJsonResponse(200, "{}"));
  }
}

void ClusterStandin::RunClock() {
  while (!m_stopping) {
    std::this_thread::sleep_for(kTick);
    Advance();
  }
}

void ClusterStandin::Advance() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  std::map<std::string, int> running;
  for (const auto& executor : m_executors) {
    executor->Advance();
    for (const std::string& task : executor->ListRunning()) {
      if (++running[task] == 2) {
        m_doubled.push_back(task);
      }
    }
  }
  const auto now = std::chrono::steady_clock::now();
  m_waiting.remove_if([now](const Waiting& waiting) {
    return waiting.try_answer(now >= waiting.until);
  });
}

std::vector<RunEvent> ClusterStandin::GetEvents() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  std::vector<RunEvent> events;
  for (const auto& executor : m_executors) {
    const auto& seen = executor->GetEvents();
    events.insert(events.end(), seen.begin(), seen.end());
  }
  return events;
}

std::vector<std::string> ClusterStandin::GetDoubledTasks() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_doubled;
}

}  // namespace shallotwick::standin
