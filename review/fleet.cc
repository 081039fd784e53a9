#include "review/fleet.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "http/message.h"

extern char** environ;

namespace shallotwick::review {
namespace {

using nlohmann::json;

constexpr int64_t kCpuMilli = 32'000;
constexpr int64_t kMemoryMb = 65'536;
constexpr int64_t kLongestLeaseMs = 6'000;
constexpr int64_t kStopMs = 150;
constexpr int64_t kStartupMs = 300;
constexpr int64_t kDayMs = 86'400'000;
constexpr auto kMoveTime = std::chrono::milliseconds(1'500);
constexpr size_t kMaxListedEnds = 500;
constexpr auto kBeat = std::chrono::milliseconds(1'500);
constexpr auto kTick = std::chrono::milliseconds(3);
// Limits of the store, from its page and its settings.
constexpr size_t kMaxEntries = 100;
constexpr size_t kMaxCallBytes = size_t{1024} * 1024;
constexpr size_t kMaxRowBytes = 65'536;
constexpr auto kReadyTime = std::chrono::seconds(15);
// A case may take two minutes.
constexpr unsigned kLongestCaseS = 118;
constexpr size_t kMaxProcesses = 16;

// The processes started so far, for the handler of signals.
std::array<std::atomic<pid_t>, kMaxProcesses> g_processes;

extern "C" void EndProcesses(int /*signal*/) {
  for (const auto& process : g_processes) {
    if (process > 0) {
      kill(process, SIGKILL);
    }
  }
  _exit(2);
}

void RememberProcess(pid_t pid) {
  for (auto& process : g_processes) {
    pid_t none = 0;
    if (process.compare_exchange_strong(none, pid)) {
      return;
    }
  }
}

void ForgetProcess(pid_t pid) {
  for (auto& process : g_processes) {
    pid_t known = pid;
    process.compare_exchange_strong(known, 0);
  }
}

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

void Answer200(const http::Respond& respond, const json& body) {
  respond(http::MakeJsonResponse(200, body.dump()));
}

// Returns a port that was free a moment ago.
uint16_t FindFreePort() {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  const bool is_bound =
      bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
      getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) ==
          0;
  close(descriptor);
  if (!is_bound) {
    throw std::runtime_error("there is no free port");
  }
  return ntohs(address.sin_port);
}

void Replace(std::string& text, const std::string& name,
             const std::string& value) {
  const std::string placeholder = "{{" + name + "}}";
  for (size_t at = text.find(placeholder); at != std::string::npos;
       at = text.find(placeholder)) {
    text.replace(at, placeholder.size(), value);
  }
}

// Returns the line `run` of the deploy file.
std::string ReadRunLine() {
  std::ifstream file("deploy/system.toml");
  const std::string start = "run = \"";
  std::string line;
  while (std::getline(file, line)) {
    if (line.compare(0, start.size(), start) == 0) {
      return line.substr(start.size(), line.rfind('"') - start.size());
    }
  }
  throw std::runtime_error("deploy/system.toml has no line run");
}

pid_t Spawn(std::vector<std::string> words, const std::string& log_path) {
  std::vector<char*> arguments;
  for (std::string& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  pid_t pid = -1;
  const int error = posix_spawn(&pid, arguments.front(), &actions, nullptr,
                                arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::runtime_error("can't start " + words.front());
  }
  return pid;
}

// Reads until the peer closes the connection or the time is over. Returns
// whether the peer has closed it.
bool ReadAll(int descriptor, Clock::time_point until, std::string& text) {
  char buffer[16 * 1024];
  while (Clock::now() < until) {
    pollfd entry{descriptor, POLLIN, 0};
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        until - Clock::now());
    if (poll(&entry, 1, static_cast<int>(left.count()) + 1) <= 0) {
      return false;
    }
    const ssize_t count = read(descriptor, buffer, sizeof(buffer));
    if (count <= 0) {
      return count == 0;
    }
    text.append(buffer, static_cast<size_t>(count));
  }
  return false;
}

}  // namespace

int64_t GetUnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string MakeSpec(const TaskBehaviour& behaviour) {
  return json{{"run_ms", behaviour.run_ms},
              {"cpu", behaviour.cpu_milli},
              {"fails", behaviour.fails},
              {"lasts", behaviour.lasts}}
      .dump();
}

ExecutorModel::ExecutorModel(std::string id, std::string machine,
                             std::string service)
    : m_id(std::move(id)),
      m_machine(std::move(machine)),
      m_service(std::move(service)),
      m_rack("r-" + m_service),
      m_born_ms(GetUnixMs()) {}

json ExecutorModel::MakeEntry(uint16_t port, int64_t sequence) const {
  return {{"service", m_service},
          {"addr", "127.0.0.1:" + std::to_string(port)},
          {"zone", "z0"},
          {"version", "1"},
          {"slots", 8},
          {"state", "ready"},
          {"seq", sequence},
          {"capacity", {{"cpu", kCpuMilli}, {"memMb", kMemoryMb}}},
          {"labels", {"a", m_rack}},
          {"machine", m_machine},
          {"born", m_born_ms}};
}

int64_t ExecutorModel::GetClockMs() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               m_born)
      .count();
}

bool ExecutorModel::IsFenced(const json& order) {
  const auto fence = order.value("fence", int64_t{0});
  if (fence < m_fence) {
    return true;
  }
  m_fence = fence;
  return false;
}

void ExecutorModel::Extend(const json& order) {
  const int64_t wanted = order.value("untilMs", int64_t{0});
  m_lease_until_ms = std::max(m_lease_until_ms,
                              std::min(wanted, GetClockMs() + kLongestLeaseMs));
}

std::pair<int, json> ExecutorModel::Refuse(const char* reason) const {
  return {409, {{"clockMs", GetClockMs()}, {"reason", reason}}};
}

std::pair<int, json> ExecutorModel::Start(const json& order) {
  Advance();
  if (IsFenced(order)) {
    return Refuse("fence");
  }
  const auto task = order.at("task").get<std::string>();
  const auto run = order.at("run").get<int64_t>();
  const auto present = m_runs.find(task);
  if (present != m_runs.end() && present->second.number == run) {
    Extend(order);
    return {200, {{"clockMs", GetClockMs()}}};
  }
  const auto ended = m_highest_ended.find(task);
  if (present != m_runs.end() ||
      (ended != m_highest_ended.end() && run <= ended->second)) {
    Extend(order);
    return Refuse("old");
  }
  if (order.at("untilMs").get<int64_t>() <= GetClockMs()) {
    return Refuse("late");
  }
  Extend(order);
  const json spec = json::parse(order.at("spec").get<std::string>());
  Run entry;
  entry.number = run;
  entry.started_ms = GetClockMs();
  entry.ends_ms = entry.started_ms + spec.at("run_ms").get<int64_t>();
  entry.how = spec.at("fails").get<bool>() ? "failed" : "done";
  entry.cpu_milli = spec.value("cpu", int64_t{1'000});
  entry.lasts = spec.value("lasts", false);
  if (entry.lasts) {
    entry.ends_ms = entry.started_ms + kDayMs;
  }
  m_runs[task] = entry;
  Note(task, run, "start");
  return {200, {{"clockMs", GetClockMs()}}};
}

std::pair<int, json> ExecutorModel::Stop(const json& order) {
  Advance();
  if (IsFenced(order)) {
    return Refuse("fence");
  }
  const auto task = order.at("task").get<std::string>();
  const auto run = order.at("run").get<int64_t>();
  const auto present = m_runs.find(task);
  if (present != m_runs.end() && present->second.number == run) {
    if (present->second.how != "stopped") {
      present->second.how = "stopped";
      present->second.ends_ms = GetClockMs() + kStopMs;
    }
  } else {
    int64_t& highest = m_highest_ended[task];
    highest = std::max(highest, run);
  }
  return {200, {{"clockMs", GetClockMs()}}};
}

std::pair<int, json> ExecutorModel::Pace(const json& order) {
  if (IsFenced(order)) {
    return Refuse("fence");
  }
  return {200, {{"clockMs", GetClockMs()}}};
}

int ExecutorModel::Hold(const json& order) {
  Advance();
  if (IsFenced(order)) {
    return 409;
  }
  Extend(order);
  const auto seen = order.value("lastSeen", int64_t{0});
  m_ended.remove_if(
      [seen](const json& end) { return end.at(0).get<int64_t>() <= seen; });
  return 200;
}

json ExecutorModel::MakeReport() const {
  json running = json::array();
  const int64_t now = GetClockMs();
  for (const auto& [task, run] : m_runs) {
    const int64_t length =
        run.lasts ? kStartupMs
                  : std::max<int64_t>(1, run.ends_ms - run.started_ms);
    const int64_t percent =
        std::clamp<int64_t>(100 * (now - run.started_ms) / length, 0, 100);
    running.push_back({task, run.number, "", percent, run.cpu_milli});
  }
  json ended = json::array();
  for (const json& end : m_ended) {
    if (ended.size() == kMaxListedEnds) {
      break;
    }
    ended.push_back(end);
  }
  return {{"clockMs", now},
          {"born", m_born_ms},
          {"running", std::move(running)},
          {"ended", std::move(ended)}};
}

void ExecutorModel::Advance() {
  const int64_t now = GetClockMs();
  std::vector<std::pair<std::string, std::string>> ending;
  for (const auto& [task, run] : m_runs) {
    if (now > m_lease_until_ms) {
      ending.emplace_back(task, "lapsed");
    } else if (now >= run.ends_ms) {
      ending.emplace_back(task, run.how);
    }
  }
  for (const auto& [task, how] : ending) {
    End(task, how);
  }
}

void ExecutorModel::End(const std::string& task, const std::string& how) {
  const int64_t run = m_runs[task].number;
  m_runs.erase(task);
  int64_t& highest = m_highest_ended[task];
  highest = std::max(highest, run);
  m_ended.push_back({m_next_end++, task, run, how, ""});
  Note(task, run, how);
}

void ExecutorModel::Note(const std::string& task, int64_t run,
                         const std::string& what) {
  m_events.push_back({GetUnixMs(), task, run, m_id, what});
}

int64_t ExecutorModel::GetUsedCpuMilli() const {
  int64_t used = 0;
  for (const auto& [task, run] : m_runs) {
    used += run.cpu_milli;
  }
  return used;
}

std::vector<std::string> ExecutorModel::ListTasks() const {
  std::vector<std::string> tasks;
  for (const auto& [task, run] : m_runs) {
    tasks.push_back(task);
  }
  return tasks;
}

std::vector<std::string> ExecutorModel::ListServingTasks() const {
  std::vector<std::string> tasks;
  for (const auto& [task, run] : m_runs) {
    if (run.lasts && GetClockMs() >= run.started_ms + kStartupMs) {
      tasks.push_back(task);
    }
  }
  return tasks;
}

void ExecutorModel::Terminate(const std::string& how) {
  for (const std::string& task : ListTasks()) {
    End(task, how);
  }
}

Fleet::Fleet(const FleetOptions& options) : m_options(options) {
  std::ofstream(m_options.record_path, std::ios::trunc).close();
  std::string directory =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(directory.data()) == nullptr) {
    throw std::runtime_error("can't make a temporary folder");
  }
  m_directory = directory;
  size_t number = 0;
  for (const auto& [service, count] : m_options.services) {
    for (int i = 0; i < count; ++i, ++number) {
      Executor executor;
      executor.model = std::make_unique<ExecutorModel>(
          "x-" + std::to_string(number), "m-" + std::to_string(number),
          service);
      m_executors.push_back(std::move(executor));
    }
  }
  for (size_t i = 0; i < m_executors.size(); ++i) {
    m_executors[i].server = std::make_unique<http::Server>(
        MakeOptions(),
        [this, i](const http::Request& request, const http::Respond& respond) {
          HandleExecutor(i, request, respond);
        });
  }
  json services = json::array();
  for (const auto& [service, count] : m_options.services) {
    services.push_back({{"name", service},
                        {"enforcesCapacity", false},
                        {"standby", service == m_options.standby}});
  }
  m_rows.Put("op", "config",
             json{{"version", 3},
                  {"routes", m_options.routes},
                  {"services", services},
                  {"limits", {{"maxBodyBytes", 262'144}}}}
                 .dump());
  m_cloud = std::make_unique<http::Server>(
      MakeOptions(),
      [this](const http::Request& request, const http::Respond& respond) {
        HandleCloud(request, respond);
      });
  for (int i = 0; i < m_options.schedulers; ++i) {
    Scheduler scheduler;
    scheduler.name = "edge-z0-" + std::to_string(i + 1);
    scheduler.store = std::make_unique<http::Server>(
        MakeOptions(),
        [this](const http::Request& request, const http::Respond& respond) {
          HandleStore(request, respond);
        });
    m_schedulers.push_back(std::move(scheduler));
  }
  m_clock = std::thread([this] { RunClock(); });
}

Fleet::~Fleet() {
  for (const Scheduler& scheduler : m_schedulers) {
    if (scheduler.pid > 0) {
      kill(scheduler.pid, SIGCONT);
      kill(scheduler.pid, SIGKILL);
      ForgetProcess(scheduler.pid);
      waitpid(scheduler.pid, nullptr, 0);
    }
  }
  m_stopping = true;
  m_clock.join();
  m_cloud->Stop();
  for (const Scheduler& scheduler : m_schedulers) {
    scheduler.store->Stop();
  }
  for (const Executor& executor : m_executors) {
    executor.server->Stop();
  }
  std::error_code ignored;
  // The logs are kept on request only.
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(m_directory, ignored);
  } else {
    std::fprintf(stderr, "logs: %s\n", m_directory.c_str());
  }
}

std::vector<std::string> Fleet::MakeCommand(const Scheduler& scheduler) const {
  std::string line = ReadRunLine();
  const std::string ip = "127.0.0.1";
  const std::map<std::string, std::string> values = {
      {"node", scheduler.name},
      {"listen.front", ip + ":" + std::to_string(scheduler.front)},
      {"listen.ready", ip + ":" + std::to_string(scheduler.ready)},
      {"ip", ip},
      {"portRange.0", std::to_string(scheduler.peer)},
      {"platform.addr", ip + ":" + std::to_string(scheduler.store->GetPort())},
      {"cloud.addr", ip + ":" + std::to_string(m_cloud->GetPort())},
      {"bounds.maintenanceS", "2"},
      {"bounds.moveS", "1.5"},
      {"bounds.leaseMs", "3000"},
      {"bounds.holdMaxMs", std::to_string(kLongestLeaseMs)},
      {"bounds.stopMs", "200"},
      {"bounds.status_s", "120"},
      {"limits.cpuShare", "0.25"},
      {"limits.cores", "1"},
      {"bounds.graceS", "6"}};
  for (const auto& [name, value] : values) {
    Replace(line, name, value);
  }
  if (line.find("{{") != std::string::npos) {
    throw std::runtime_error("a placeholder has no value: " + line);
  }
  std::istringstream words(line);
  return {std::istream_iterator<std::string>(words),
          std::istream_iterator<std::string>()};
}

bool Fleet::IsReady(const Scheduler& scheduler) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(scheduler.ready);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  std::string text;
  if (connect(descriptor, reinterpret_cast<sockaddr*>(&address),
              sizeof(address)) == 0) {
    const std::string request =
        "GET /v1/readyz HTTP/1.1\r\nHost: 127.0.0.1\r\n"
        "Connection: close\r\n\r\n";
    if (write(descriptor, request.data(), request.size()) > 0) {
      ReadAll(descriptor, Clock::now() + std::chrono::seconds(1), text);
    }
  }
  close(descriptor);
  return text.compare(0, 12, "HTTP/1.1 200") == 0;
}

void Fleet::StartSchedulers() {
  for (Scheduler& scheduler : m_schedulers) {
    scheduler.front = FindFreePort();
    scheduler.ready = FindFreePort();
    scheduler.peer = FindFreePort();
    scheduler.pid = Spawn(MakeCommand(scheduler),
                          m_directory + "/" + scheduler.name + ".log");
    RememberProcess(scheduler.pid);
    Record("process " + scheduler.name + " started");
  }
  const auto until = Clock::now() + kReadyTime;
  for (const Scheduler& scheduler : m_schedulers) {
    while (!IsReady(scheduler)) {
      if (Clock::now() > until) {
        throw std::runtime_error(scheduler.name + " does not become ready");
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
  }
}

void Fleet::SignalScheduler(int scheduler, int signal) {
  const Scheduler& signalled = m_schedulers.at(static_cast<size_t>(scheduler));
  Record("process " + signalled.name + " gets signal " +
         std::to_string(signal));
  kill(signalled.pid, signal);
}

Answer Fleet::Call(int scheduler, const std::string& method,
                   const std::string& path, const std::string& body,
                   std::chrono::milliseconds time_limit) {
  const auto until = Clock::now() + time_limit;
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
      htons(m_schedulers.at(static_cast<size_t>(scheduler)).front);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  std::string text;
  bool is_closed = false;
  if (connect(descriptor, reinterpret_cast<sockaddr*>(&address),
              sizeof(address)) == 0) {
    const std::string request =
        method + " " + path +
        " HTTP/1.1\r\nHost: caller.example\r\n"
        "Content-Type: application/json\r\nConnection: close\r\n"
        "X-Shallotwick-Deadline-Ms: " +
        std::to_string(time_limit.count()) +
        "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
        body;
    if (write(descriptor, request.data(), request.size()) ==
        static_cast<ssize_t>(request.size())) {
      is_closed = ReadAll(descriptor, until, text);
    }
  }
  close(descriptor);
  Answer answer;
  const size_t head = text.find("\r\n\r\n");
  if (is_closed && head != std::string::npos && text.size() > 12) {
    answer.status = std::stoi(text.substr(9, 3));
    answer.body = text.substr(head + 4);
  }
  Record(method + " " + path + " at " +
         m_schedulers.at(static_cast<size_t>(scheduler)).name + " -> " +
         (answer.status == 0 ? "no answer"
                             : std::to_string(answer.status) + " " +
                                   answer.body.substr(0, 100)));
  return answer;
}

Answer Fleet::CallUntilAnswered(const std::string& method,
                                const std::string& path,
                                const std::string& body, int attempts) {
  Answer answer;
  static std::atomic<int> s_next{0};
  for (int i = 0; i < attempts; ++i) {
    answer = Call(s_next++ % m_options.schedulers, method, path, body);
    const std::set<int> again = {0, 429, 502, 503, 504};
    if (again.count(answer.status) == 0) {
      return answer;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
  }
  return answer;
}

int Fleet::FindOwner(const std::string& service) const {
  const std::lock_guard lock(m_mutex);
  const std::string row = m_rows.Get("owners", service, "pool");
  const std::string host =
      row.empty() ? "" : json::parse(row).value("host", "");
  for (size_t i = 0; i < m_schedulers.size(); ++i) {
    if (m_schedulers[i].name == host) {
      return static_cast<int>(i);
    }
  }
  return -1;
}

std::pair<int, json> Fleet::Commit(const json& transaction) {
  size_t entries = 0;
  for (const char* part : {"expectedRev", "writes", "remove"}) {
    entries += transaction.value(part, json::array()).size();
  }
  bool is_row_too_long = false;
  for (const json& write : transaction.value("writes", json::array())) {
    // Four characters of base64 for three bytes.
    const size_t bytes = write.at("value").get_ref<const std::string&>().size();
    is_row_too_long = is_row_too_long || bytes / 4 * 3 > kMaxRowBytes + 2;
  }
  if (entries > kMaxEntries || is_row_too_long) {
    return {400, {{"error", "too large"}}};
  }
  auto [status, body] = m_rows.Commit(transaction);
  body["nowMs"] = GetAgeMs() + 1'000;
  return {status, body};
}

void Fleet::HandleStore(const http::Request& request,
                        const http::Respond& respond) {
  const std::lock_guard lock(m_mutex);
  const std::string path = http::GetPath(request.target);
  if (path == "/v1/rows-tx") {
    if (request.body.size() > kMaxCallBytes) {
      respond(http::MakeJsonResponse(400, R"({"error":"too large"})"));
      return;
    }
    const auto [status, body] = Commit(json::parse(request.body));
    respond(http::MakeJsonResponse(status, body.dump()));
    return;
  }
  if (path == "/v1/rows-get") {
    json body =
        m_rows.Read(ReadText(request, "table"), ReadText(request, "part"),
                    ReadText(request, "from"), ReadText(request, "target"),
                    static_cast<size_t>(ReadNumber(request, "limit", 500)));
    body["nowMs"] = GetAgeMs() + 1'000;
    Answer200(respond, body);
    return;
  }
  if (path == "/v1/rows-feed") {
    const auto after = static_cast<uint64_t>(ReadNumber(request, "after", 0));
    m_waiting.push_back({Clock::now() + std::chrono::milliseconds(
                                            ReadNumber(request, "waitMs", 0)),
                         [this, table = ReadText(request, "table"), after,
                          respond](bool is_over) {
                           json body = m_rows.ListChanges(table, after);
                           if (!is_over && body.at("rows").empty()) {
                             return false;
                           }
                           body["nowMs"] = GetAgeMs() + 1'000;
                           Answer200(respond, body);
                           return true;
                         }});
    return;
  }
  respond(http::MakeJsonResponse(404, "{}"));
}

void Fleet::HandleCloud(const http::Request& request,
                        const http::Respond& respond) {
  const std::lock_guard lock(m_mutex);
  const std::string path = http::GetPath(request.target);
  if (m_is_cloud_down) {
    m_refused_orders += path == "/v1/machine-move" ? 1 : 0;
    respond(http::MakeJsonResponse(503, "{}"));
    return;
  }
  if (path == "/v1/machine-move") {
    HandleMove(request, respond);
    return;
  }
  if (path != "/v1/machines") {
    respond(http::MakeJsonResponse(400, "{}"));
    return;
  }
  json machines = json::array();
  for (const Executor& executor : m_executors) {
    json row = {{"machine", executor.model->GetMachine()},
                {"pool", executor.model->GetService()},
                {"state", executor.state},
                {"zone", "z0"},
                {"labels", {"a", executor.model->GetRack()}},
                {"capacity", {{"cpu", kCpuMilli}, {"memMb", kMemoryMb}}}};
    if (executor.state == "up") {
      row["id"] = executor.model->GetId();
    }
    machines.push_back(row);
  }
  Answer200(respond, {{"machines", machines}, {"nextToken", nullptr}});
}

Fleet::Executor* Fleet::FindMachine(const std::string& machine) {
  const auto found = std::find_if(
      m_executors.begin(), m_executors.end(), [&](const Executor& executor) {
        return executor.model->GetMachine() == machine;
      });
  return found == m_executors.end() ? nullptr : &*found;
}

bool Fleet::AcceptMachineOrder(Executor& executor, const http::Request& request,
                               const std::string& line,
                               const http::Respond& respond) {
  const int64_t token = std::stoll(
      http::FindHeader(request.headers, "X-Shallotwick-Fencing-Token")
          .value_or("0"));
  if (token < executor.token) {
    Record(line + " -> 409 fence");
    respond(http::MakeJsonResponse(409, R"({"reason":"fence"})"));
    return false;
  }
  executor.token = token;
  return true;
}

void Fleet::HandleMove(const http::Request& request,
                       const http::Respond& respond) {
  const json order = json::parse(request.body);
  const auto machine = order.at("machine").get<std::string>();
  const auto pool = order.at("pool").get<std::string>();
  Executor* executor = FindMachine(machine);
  if (executor == nullptr || m_options.services.count(pool) == 0) {
    respond(http::MakeJsonResponse(400, "{}"));
    return;
  }
  const std::string holder =
      http::FindHeader(request.headers, "X-Shallotwick-Lease-Holder")
          .value_or("");
  const std::string line =
      "move of " + machine + " to " + pool + " by " + holder;
  if (!AcceptMachineOrder(*executor, request, line, respond)) {
    return;
  }
  if (executor->model->GetService() == pool) {
    Record(line + " -> 200, already done");
    Answer200(respond, json::object());
    return;
  }
  if (executor->state != "up") {
    Record(line + " -> 409 busy");
    respond(http::MakeJsonResponse(409, R"({"reason":"busy"})"));
    return;
  }
  Record(line + " -> 200");
  m_machine_orders.push_back(
      {GetUnixMs(), machine, holder, executor->model->ListServingTasks()});
  TakeDown(*executor, "moving", pool, kMoveTime);
  Answer200(respond, json::object());
}

// Ends the executor on the machine; the next one is up after that time.
void Fleet::TakeDown(Executor& executor, const std::string& state,
                     const std::string& pool,
                     std::chrono::milliseconds length) {
  executor.model->Terminate("lost");
  m_rows.Remove("servers", executor.model->GetId());
  m_events_of_ended_executors.insert(m_events_of_ended_executors.end(),
                                     executor.model->m_events.begin(),
                                     executor.model->m_events.end());
  const std::string machine = executor.model->GetMachine();
  executor.model = std::make_unique<ExecutorModel>(
      machine + "-" + std::to_string(++m_lives), machine, pool);
  executor.state = state;
  executor.up_at = Clock::now() + length;
  executor.next_beat = executor.up_at;
}

void Fleet::SetCloudDown(bool is_down) {
  Record(is_down ? "the calls for machines are refused"
                 : "the calls for machines are served");
  const std::lock_guard lock(m_mutex);
  m_is_cloud_down = is_down;
}

size_t Fleet::CountRefusedOrders() const {
  const std::lock_guard lock(m_mutex);
  return m_refused_orders;
}

std::vector<MachineOrder> Fleet::GetMachineOrders() const {
  const std::lock_guard lock(m_mutex);
  return m_machine_orders;
}

void Fleet::HandleExecutor(size_t executor, const http::Request& request,
                           const http::Respond& respond) {
  const std::lock_guard lock(m_mutex);
  if (m_executors[executor].state != "up") {
    return;
  }
  ExecutorModel& model = *m_executors[executor].model;
  const std::string path = http::GetPath(request.target);
  const std::string expected =
      http::FindHeader(request.headers, "X-Shallotwick-Expect-Instance")
          .value_or(model.GetId());
  if (expected != model.GetId()) {
    respond(http::MakeJsonResponse(421, "{}"));
    return;
  }
  const json order = json::parse(request.body);
  std::pair<int, json> result = {404, json::object()};
  if (path == "/v1/run-start") {
    result = model.Start(order);
  } else if (path == "/v1/run-stop") {
    result = model.Stop(order);
  } else if (path == "/v1/pace") {
    result = model.Pace(order);
  } else if (path == "/v1/hold") {
    if (model.Hold(order) != 200) {
      respond(http::MakeJsonResponse(409, R"({"clockMs":0,"reason":"fence"})"));
      return;
    }
    m_waiting.push_back(
        {Clock::now() +
             std::chrono::milliseconds(order.value("waitMs", int64_t{0})),
         [this, executor, id = model.GetId(), respond](bool is_over) {
           const ExecutorModel& model = *m_executors[executor].model;
           if (model.GetId() != id) {
             return true;
           }
           if (!is_over && !model.HasEnds()) {
             return false;
           }
           Answer200(respond, model.MakeReport());
           return true;
         }});
    return;
  }
  respond(http::MakeJsonResponse(result.first, result.second.dump()));
}

void Fleet::RunClock() {
  while (!m_stopping) {
    {
      const std::lock_guard lock(m_mutex);
      const auto now = Clock::now();
      for (Executor& executor : m_executors) {
        if (now >= executor.up_at) {
          executor.state = "up";
        }
        executor.model->Advance();
        if (now >= executor.next_beat) {
          executor.next_beat = now + kBeat;
          m_rows.Put(
              "servers", executor.model->GetId(),
              executor.model
                  ->MakeEntry(executor.server->GetPort(), ++executor.sequence)
                  .dump());
        }
      }
      std::list<Waiting> waiting;
      waiting.swap(m_waiting);
      waiting.remove_if([now](const Waiting& entry) {
        return entry.try_answer(now >= entry.until);
      });
      m_waiting.splice(m_waiting.begin(), waiting);
    }
    std::this_thread::sleep_for(kTick);
  }
}

std::vector<RunEvent> Fleet::GetEvents() const {
  const std::lock_guard lock(m_mutex);
  std::vector<RunEvent> events = m_events_of_ended_executors;
  for (const Executor& executor : m_executors) {
    const auto& seen = executor.model->m_events;
    events.insert(events.end(), seen.begin(), seen.end());
  }
  std::stable_sort(events.begin(), events.end(),
                   [](const RunEvent& left, const RunEvent& right) {
                     return left.at_ms < right.at_ms;
                   });
  return events;
}

std::vector<std::string> Fleet::ListTasks() const {
  const std::lock_guard lock(m_mutex);
  std::vector<std::string> tasks;
  for (const Executor& executor : m_executors) {
    for (std::string& task : executor.model->ListTasks()) {
      tasks.push_back(std::move(task));
    }
  }
  return tasks;
}

double Fleet::GetUsedShare(const std::string& service) const {
  const std::lock_guard lock(m_mutex);
  int64_t used = 0;
  int64_t capacity = 0;
  for (const Executor& executor : m_executors) {
    if (executor.model->GetService() == service) {
      used += executor.model->GetUsedCpuMilli();
      capacity += kCpuMilli;
    }
  }
  return static_cast<double>(used) / static_cast<double>(capacity);
}

int64_t Fleet::GetAgeMs() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               m_started)
      .count();
}

void Fleet::Record(const std::string& line) {
  static std::mutex s_record;
  const std::lock_guard lock(s_record);
  std::ofstream file(m_options.record_path, std::ios::app);
  file << GetAgeMs() << " ms " << line << "\n";
}

void Fleet::RecordEvents() {
  const int64_t offset = GetUnixMs() - GetAgeMs();
  std::ofstream file(m_options.record_path, std::ios::app);
  file << "starts and ends at the executors:\n";
  for (const RunEvent& event : GetEvents()) {
    file << event.at_ms - offset << " ms " << event.executor << " "
         << event.task << " run " << event.run << " " << event.what << "\n";
  }
}

IdleWatch::IdleWatch(Fleet& fleet, std::string service,
                     std::vector<SoundJob> jobs)
    : m_fleet(fleet), m_service(std::move(service)), m_jobs(std::move(jobs)) {}

int IdleWatch::Run(std::chrono::milliseconds length) {
  constexpr auto kLimit = std::chrono::milliseconds(3'000);
  constexpr auto kSample = std::chrono::milliseconds(20);
  const auto until = Clock::now() + length;
  std::map<std::string, Clock::time_point> idle_since;
  std::map<std::string, Clock::duration> longest;
  bool is_all_done = false;
  while (Clock::now() < until && !is_all_done) {
    std::map<std::string, std::set<std::string>> done;
    for (const RunEvent& event : m_fleet.GetEvents()) {
      if (event.what == "done") {
        done[event.task.substr(0, event.task.find('.'))].insert(event.task);
      }
    }
    std::set<std::string> running;
    for (const std::string& task : m_fleet.ListTasks()) {
      running.insert(task.substr(0, task.find('.')));
    }
    const bool has_capacity = m_fleet.GetUsedShare(m_service) < 0.5;
    const auto now = Clock::now();
    is_all_done = true;
    for (const SoundJob& job : m_jobs) {
      const bool is_done = static_cast<int>(done[job.id].size()) >= job.tasks;
      is_all_done = is_all_done && is_done;
      if (is_done || running.count(job.id) > 0 || !has_capacity) {
        idle_since.erase(job.id);
        continue;
      }
      const auto since = idle_since.try_emplace(job.id, now).first->second;
      longest[job.id] = std::max(longest[job.id], now - since);
    }
    std::this_thread::sleep_for(kSample);
  }
  int broken = 0;
  for (const auto& [id, idle] : longest) {
    if (idle >= kLimit) {
      ++broken;
      m_fleet.Record(
          "LOST: submission " + id + " had nothing running for " +
          std::to_string(
              std::chrono::duration_cast<std::chrono::milliseconds>(idle)
                  .count()) +
          " ms while under half of the capacity was in use");
    }
  }
  return broken;
}

int RunCase(const std::function<int(bool has_trouble)>& run) {
  for (const int signal : {SIGALRM, SIGTERM, SIGINT, SIGHUP}) {
    std::signal(signal, EndProcesses);
  }
  alarm(kLongestCaseS);
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  try {
    return run(has_trouble);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "the case could not run: %s\n", error.what());
    return 2;
  }
}

}  // namespace shallotwick::review
