#include "stage.h"

#include <algorithm>
#include <optional>

#include "base/settings.h"
#include "http/message.h"

namespace shallotwick::review {
namespace {

using nlohmann::json;

constexpr auto kTick = std::chrono::milliseconds(1);
constexpr auto kHeartbeat = std::chrono::milliseconds(1'500);
// A task that lasts is at work after this time.
constexpr auto kStartup = std::chrono::milliseconds(300);
constexpr size_t kMaxListedEnds = 500;
constexpr size_t kMaxRows = 500;
constexpr int64_t kMaxWaitMs = 2'000;
constexpr int64_t kMaxFeedWaitMs = 30'000;

http::ServerOptions OnLoopback() {
  http::ServerOptions options;
  options.listen = base::ParseEndpoint("127.0.0.1:0");
  options.threads = 1;
  return options;
}

std::string FormatAddress(const http::Server& server) {
  return "127.0.0.1:" + std::to_string(server.GetPort());
}

int64_t GetUnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

int64_t ToMs(Clock::duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

std::string GetQuery(const http::Request& request, const char* name) {
  return http::FindQueryParameter(request.target, name).value_or("");
}

// The specification of a task says how many milliseconds it works.
std::chrono::milliseconds ReadWork(const json& order) {
  return std::chrono::milliseconds(
      std::stoll(order.value("spec", std::string("0"))));
}

}  // namespace

Stage::Stage(StageOptions options) : m_options(std::move(options)) {
  for (size_t i = 0; i < m_options.machines; ++i) {
    m_store_servers.push_back(std::make_unique<http::Server>(
        OnLoopback(),
        [this, i](const http::Request& request, const http::Respond& respond) {
          HandleStore(i, request, respond);
        }));
  }
  m_cloud_server = std::make_unique<http::Server>(
      OnLoopback(),
      [this](const http::Request& request, const http::Respond& respond) {
        HandleCloud(request, respond);
      });
  for (size_t i = 0; i < m_options.executors.size(); ++i) {
    auto executor = std::make_unique<Executor>();
    executor->setup = m_options.executors[i];
    executor->id = "x-" + std::to_string(i);
    executor->machine = "m-" + std::to_string(i);
    executor->born_ms = GetUnixMs();
    executor->booted = Clock::now();
    executor->server = std::make_unique<http::Server>(
        OnLoopback(),
        [this, i](const http::Request& request, const http::Respond& respond) {
          HandleExecutor(i, request, respond);
        });
    m_executors.push_back(std::move(executor));
  }
  m_clock = std::thread([this] { RunClock(); });
}

Stage::~Stage() {
  {
    const std::lock_guard lock(m_mutex);
    m_is_stopping = true;
  }
  m_clock.join();
  for (const auto& server : m_store_servers) {
    server->Stop();
  }
  m_cloud_server->Stop();
  for (const auto& executor : m_executors) {
    executor->server->Stop();
  }
}

std::string Stage::GetStoreAddress(size_t machine) const {
  return FormatAddress(*m_store_servers.at(machine));
}

void Stage::SetTurnedAway(size_t machine, bool is_turned_away) {
  const std::lock_guard lock(m_mutex);
  if (is_turned_away) {
    m_turned_away.insert(machine);
  } else {
    m_turned_away.erase(machine);
  }
}

std::string Stage::GetCloudAddress() const {
  return FormatAddress(*m_cloud_server);
}

void Stage::PutConfig(const json& config) {
  const std::lock_guard lock(m_mutex);
  m_rows.Put("op", "config", config.dump());
  ++m_changes;
}

void Stage::DeclareGang(const std::string& step, size_t members) {
  const std::lock_guard lock(m_mutex);
  m_gangs[step] = members;
}

std::vector<Event> Stage::GetEvents() const {
  const std::lock_guard lock(m_mutex);
  return m_events;
}

std::vector<std::string> Stage::ListRunning(const std::string& id) const {
  const std::lock_guard lock(m_mutex);
  std::vector<std::string> tasks;
  for (const auto& executor : m_executors) {
    for (auto run = executor->runs.lower_bound({id + ".", 0});
         run != executor->runs.end() && run->first.first.rfind(id, 0) == 0;
         ++run) {
      tasks.push_back(run->first.first + " on " + executor->id);
    }
  }
  return tasks;
}

size_t Stage::CountRunning(const std::string& id) const {
  return ListRunning(id).size();
}

void Stage::DeclareCpu(const std::string& id, int64_t cpu_milli) {
  const std::lock_guard lock(m_mutex);
  m_cpu_milli[id] = cpu_milli;
}

std::pair<int64_t, int64_t> Stage::MeasureCpu(
    const std::string& service) const {
  const std::lock_guard lock(m_mutex);
  int64_t in_use = 0;
  int64_t all = 0;
  for (const auto& executor : m_executors) {
    if (executor->setup.service != service) {
      continue;
    }
    all += executor->setup.cpu_milli;
    for (const auto& [key, run] : executor->runs) {
      const auto found =
          m_cpu_milli.find(key.first.substr(0, key.first.find('.')));
      in_use += found == m_cpu_milli.end() ? 0 : found->second;
    }
  }
  return {in_use, all};
}

void Stage::AnswerAfter(std::chrono::milliseconds delay,
                        const http::Respond& respond, int status,
                        std::string body) {
  m_answers.emplace(Clock::now() + delay,
                    [respond, status, body = std::move(body)] {
                      respond(http::MakeJsonResponse(status, body));
                    });
}

void Stage::HandleStore(size_t machine, const http::Request& request,
                        const http::Respond& respond) {
  const std::lock_guard lock(m_mutex);
  const std::string path = http::GetPath(request.target);
  const auto answer = [this, respond](int status, json body) {
    body["nowMs"] = ToMs(Clock::now().time_since_epoch());
    AnswerAfter(m_options.store_time, respond, status, body.dump());
  };
  if (m_turned_away.count(machine) > 0) {
    answer(503, json::object());
    return;
  }
  if (path == "/v1/rows-tx") {
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
      answer(400, json::object());
      return;
    }
    const auto [status, result] = m_rows.Commit(body);
    ++m_changes;
    answer(status, result);
    return;
  }
  if (path == "/v1/rows-get") {
    const std::string limit = GetQuery(request, "limit");
    answer(200,
           m_rows.Read(GetQuery(request, "table"), GetQuery(request, "part"),
                       GetQuery(request, "from"), GetQuery(request, "target"),
                       limit.empty()
                           ? kMaxRows
                           : std::min<size_t>(std::stoul(limit), kMaxRows)));
    return;
  }
  if (path == "/v1/rows-feed") {
    const std::string wait = GetQuery(request, "waitMs");
    const auto until =
        Clock::now() + std::chrono::milliseconds(
                           std::min(wait.empty() ? 0 : std::stoll(wait),
                                    static_cast<long long>(kMaxFeedWaitMs)));
    m_waiting.push_back(
        {until, [this, answer, table = GetQuery(request, "table"),
                 after = std::stoull(GetQuery(request, "after")),
                 seen = std::optional<uint64_t>()](bool is_over) mutable {
           if (!is_over && seen == m_changes) {
             return false;
           }
           seen = m_changes;
           json body = m_rows.ListChanges(table, after);
           if (body["rows"].empty() && !is_over) {
             return false;
           }
           answer(200, std::move(body));
           return true;
         }});
    return;
  }
  answer(404, json::object());
}

void Stage::HandleCloud(const http::Request& request,
                        const http::Respond& respond) {
  const std::lock_guard lock(m_mutex);
  if (http::GetPath(request.target) != "/v1/machines") {
    // No machine may change its pool here.
    AnswerAfter(m_options.store_time, respond, 400, "{}");
    return;
  }
  json machines = json::array();
  for (const auto& executor : m_executors) {
    json row = {{"machine", executor->machine},
                {"pool", executor->setup.service},
                {"state", "up"},
                {"id", executor->id},
                {"zone", "z1"},
                {"labels", {executor->setup.kind, "r1"}},
                {"capacity",
                 {{"cpu", executor->setup.cpu_milli},
                  {"memMb", executor->setup.memory_mb},
                  {"gpu", 0}}}};
    machines.push_back(row);
  }
  AnswerAfter(m_options.store_time, respond, 200,
              json{{"machines", machines}}.dump());
}

int64_t Stage::GetClockMs(const Executor& executor) const {
  return 1'000 + ToMs(Clock::now() - executor.booted);
}

std::string Stage::GetStep(const std::string& task) {
  return task.substr(0, task.rfind('.'));
}

void Stage::Record(const Executor& executor, const RunKey& key,
                   const std::string& what) {
  m_events.push_back({Clock::now(), what, executor.id, executor.setup.service,
                      key.first, key.second});
}

void Stage::Extend(Executor& executor, const json& order) {
  if (!order.contains("untilMs")) {
    return;
  }
  const auto now = Clock::now();
  const auto left =
      std::min(std::chrono::milliseconds(order["untilMs"].get<int64_t>() -
                                         GetClockMs(executor)),
               m_options.longest_lease);
  executor.lease_until = std::max(executor.lease_until, now + left);
}

std::pair<int, json> Stage::Start(Executor& executor, const json& order) {
  const RunKey key{order.at("task").get<std::string>(),
                   order.at("run").get<int64_t>()};
  Extend(executor, order);
  if (executor.lease_until <= Clock::now()) {
    return {409, {{"reason", "late"}}};
  }
  if (executor.runs.count(key) > 0) {
    return {200, json::object()};
  }
  const auto ended = executor.highest_ended.find(key.first);
  if (ended != executor.highest_ended.end() && key.second <= ended->second) {
    return {409, {{"reason", "old"}}};
  }
  Run& run = executor.runs[key];
  run.started = Clock::now();
  run.work = ReadWork(order);
  run.waits_for_gang = m_gangs.count(GetStep(key.first)) > 0;
  run.ends = run.work.count() > 0 && !run.waits_for_gang
                 ? run.started + run.work
                 : Clock::time_point::max();
  executor.next_due = std::min(executor.next_due, GetDue(run));
  Record(executor, key, "start");
  if (run.waits_for_gang) {
    CheckGang(key);
  }
  return {200, json::object()};
}

std::pair<int, json> Stage::Stop(Executor& executor, const json& order) {
  const RunKey key{order.at("task").get<std::string>(),
                   order.at("run").get<int64_t>()};
  int64_t& highest = executor.highest_ended[key.first];
  highest = std::max(highest, key.second);
  if (executor.runs.count(key) > 0) {
    End(executor, key, "stopped");
  }
  return {200, json::object()};
}

// A gang works from the moment when all its members are present.
void Stage::CheckGang(const RunKey& key) {
  const std::string step = GetStep(key.first);
  std::vector<Run*> members;
  for (const auto& executor : m_executors) {
    for (auto& [other, run] : executor->runs) {
      if (other.second == key.second && GetStep(other.first) == step) {
        members.push_back(&run);
      }
    }
  }
  if (members.size() < m_gangs.at(step)) {
    return;
  }
  for (Run* run : members) {
    run->waits_for_gang = false;
    if (run->work.count() > 0) {
      run->ends = Clock::now() + run->work;
    }
  }
  for (const auto& executor : m_executors) {
    executor->next_due = {};
  }
}

Clock::time_point Stage::GetDue(const Run& run) const {
  return run.waits_for_gang ? run.started + m_options.gang_time : run.ends;
}

void Stage::EndGang(const RunKey& ended, const std::string& how) {
  const std::string step = GetStep(ended.first);
  for (const auto& executor : m_executors) {
    std::vector<RunKey> members;
    for (const auto& [key, run] : executor->runs) {
      // Who still waits for the others doesn't know that one has left.
      if (key.second == ended.second && GetStep(key.first) == step &&
          !run.waits_for_gang) {
        members.push_back(key);
      }
    }
    for (const RunKey& key : members) {
      End(*executor, key, how);
    }
  }
}

void Stage::End(Executor& executor, const RunKey& key, const std::string& how) {
  const auto found = executor.runs.find(key);
  if (found == executor.runs.end()) {
    return;
  }
  const bool was_at_work = !found->second.waits_for_gang;
  executor.runs.erase(found);
  int64_t& highest = executor.highest_ended[key.first];
  highest = std::max(highest, key.second);
  const int64_t number = executor.next_end++;
  executor.ended[number] = {number, key.first, key.second, how, ""};
  Record(executor, key, how);
  const bool ends_gang = m_gangs.count(GetStep(key.first)) > 0 && was_at_work;
  if (ends_gang && how != "broken") {
    EndGang(key, how == "done" ? "done" : "broken");
  }
}

json Stage::Report(const Executor& executor, int64_t last_seen) const {
  json running = json::array();
  const auto now = Clock::now();
  for (const auto& [key, run] : executor.runs) {
    int64_t percent = 0;
    if (run.work.count() == 0) {
      percent = now >= run.started + kStartup ? 100 : 0;
    } else if (!run.waits_for_gang) {
      percent = std::clamp<int64_t>(
          100 - 100 * ToMs(run.ends - now) / run.work.count(), 0, 99);
    }
    running.push_back({key.first, key.second, "", percent, 0});
  }
  json ended = json::array();
  for (auto end = executor.ended.upper_bound(last_seen);
       end != executor.ended.end() && ended.size() < kMaxListedEnds; ++end) {
    ended.push_back(end->second);
  }
  return {{"clockMs", GetClockMs(executor)},
          {"born", executor.born_ms},
          {"running", std::move(running)},
          {"ended", std::move(ended)}};
}

void Stage::HandleExecutor(size_t index, const http::Request& request,
                           const http::Respond& respond) {
  const std::lock_guard lock(m_mutex);
  Executor& executor = *m_executors[index];
  const auto answer = [this, respond, &executor](int status, json body) {
    body["clockMs"] = GetClockMs(executor);
    AnswerAfter(m_options.order_time, respond, status, body.dump());
  };
  const auto expected =
      http::FindHeader(request.headers, "X-Shallotwick-Expect-Instance");
  if (expected && *expected != executor.id) {
    answer(421, json::object());
    return;
  }
  const json order = json::parse(request.body, nullptr, false);
  if (!order.is_object()) {
    answer(400, json::object());
    return;
  }
  const uint64_t fence = order.value("fence", uint64_t{0});
  if (fence < executor.fence) {
    answer(409, {{"reason", "fence"}});
    return;
  }
  executor.fence = fence;
  const std::string path = http::GetPath(request.target);
  if (path == "/v1/run-start") {
    const auto [status, body] = Start(executor, order);
    const size_t nth = m_options.lose_nth_start;
    if (nth == 0 || ++m_starts % nth != 0) {
      answer(status, body);
    }
  } else if (path == "/v1/run-stop") {
    const auto [status, body] = Stop(executor, order);
    answer(status, body);
  } else if (path == "/v1/pace") {
    answer(200, json::object());
  } else if (path == "/v1/hold") {
    Extend(executor, order);
    const auto last_seen = order.value("lastSeen", int64_t{0});
    executor.ended.erase(executor.ended.begin(),
                         executor.ended.upper_bound(last_seen));
    const auto until =
        Clock::now() + std::chrono::milliseconds(std::min(
                           order.value("waitMs", int64_t{0}), kMaxWaitMs));
    m_waiting.push_back(
        {until, [this, answer, &executor, last_seen](bool is_over) {
           if (!is_over && executor.ended.empty()) {
             return false;
           }
           answer(200, Report(executor, last_seen));
           return true;
         }});
  } else {
    answer(404, json::object());
  }
}

void Stage::WriteEntry(Executor& executor) {
  const json entry = {{"service", executor.setup.service},
                      {"addr", FormatAddress(*executor.server)},
                      {"zone", "z1"},
                      {"version", "1"},
                      {"slots", 8},
                      {"state", "ready"},
                      {"coldLeftMs", 0},
                      {"seq", ++executor.seq},
                      {"machine", executor.machine},
                      {"born", executor.born_ms},
                      {"labels", {executor.setup.kind, "r1"}},
                      {"capacity",
                       {{"cpu", executor.setup.cpu_milli},
                        {"memMb", executor.setup.memory_mb},
                        {"gpu", 0}}}};
  m_rows.Put("servers", executor.id, entry.dump());
  ++m_changes;
}

void Stage::Advance() {
  const auto now = Clock::now();
  if (now >= m_next_beat) {
    m_next_beat = now + kHeartbeat;
    for (const auto& executor : m_executors) {
      WriteEntry(*executor);
    }
  }
  for (const auto& executor : m_executors) {
    std::vector<std::pair<RunKey, const char*>> over;
    const bool has_lapsed = executor->lease_until <= now;
    if (!has_lapsed && now < executor->next_due) {
      continue;
    }
    executor->next_due = Clock::time_point::max();
    for (const auto& [key, run] : executor->runs) {
      executor->next_due = std::min(executor->next_due, GetDue(run));
      if (has_lapsed) {
        over.emplace_back(key, "lapsed");
      } else if (run.ends <= now) {
        over.emplace_back(key, "done");
      } else if (run.waits_for_gang &&
                 now >= run.started + m_options.gang_time) {
        over.emplace_back(key, "alone");
      }
    }
    for (const auto& [key, how] : over) {
      End(*executor, key, how);
    }
  }
  std::vector<Waiting> waiting = std::move(m_waiting);
  m_waiting.clear();
  for (Waiting& entry : waiting) {
    if (!entry.try_answer(now >= entry.until)) {
      m_waiting.push_back(std::move(entry));
    }
  }
}

void Stage::RunClock() {
  while (true) {
    std::vector<std::function<void()>> due;
    {
      const std::lock_guard lock(m_mutex);
      if (m_is_stopping) {
        return;
      }
      Advance();
      const auto end = m_answers.upper_bound(Clock::now());
      for (auto answer = m_answers.begin(); answer != end; ++answer) {
        due.push_back(std::move(answer->second));
      }
      m_answers.erase(m_answers.begin(), end);
    }
    for (const auto& respond : due) {
      respond();
    }
    std::this_thread::sleep_for(kTick);
  }
}

}  // namespace shallotwick::review
