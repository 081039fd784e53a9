// The cases 11 to 15: each starts schedulers with the command of the deploy
// file against the stand-ins, plays one order of events and judges what
// callers and executors saw.
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "http/blocking_client.h"
#include "stage.h"

extern char** environ;

namespace shallotwick::review {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

// Bounds of the sheet of the small deployment vale-ave.
const std::map<std::string, std::string> kSettings = {
    {"bounds.maintenanceS", "2"}, {"bounds.moveS", "1.5"},
    {"bounds.leaseMs", "3000"},   {"bounds.holdMaxMs", "6000"},
    {"bounds.stopMs", "200"},     {"bounds.status_s", "120"},
    {"limits.cpuShare", "0.25"},  {"limits.cores", "1"},
    {"bounds.graceS", "6"}};
constexpr milliseconds kCancelTime{3'000};
constexpr milliseconds kStopTime{200};
constexpr milliseconds kVisibleTime{3'000};

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

// Writes what was sent, answered and run.
class Log {
 public:
  explicit Log(const std::string& path) : m_file(path) {}

  void Write(const std::string& line) {
    const auto since = std::chrono::duration<double>(Clock::now() - m_start);
    m_file << std::to_string(since.count()).substr(0, 7) << " " << line << "\n";
    m_file.flush();
  }
  Clock::time_point GetStart() const { return m_start; }

 private:
  std::ofstream m_file;
  Clock::time_point m_start = Clock::now();
};

// The command of the deploy file, without its placeholders.
std::vector<std::string> ReadCommand(
    const std::string& root, const std::map<std::string, std::string>& values) {
  std::ifstream file(root + "/deploy/system.toml");
  std::string line;
  while (std::getline(file, line) && line.rfind("run = \"", 0) != 0) {
  }
  const size_t begin = line.find('"') + 1;
  std::istringstream words(line.substr(begin, line.rfind('"') - begin));
  std::vector<std::string> command;
  for (std::string word; words >> word;) {
    for (const auto& [name, value] : values) {
      const std::string placeholder = "{{" + name + "}}";
      const size_t at = word.find(placeholder);
      if (at != std::string::npos) {
        word.replace(at, placeholder.size(), value);
      }
    }
    command.push_back(word);
  }
  return command;
}

// The time in user and system mode: fields 14 and 15 of proc(5).
double ReadCpuSeconds(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(file, text);
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string field;
  double ticks = 0;
  for (int number = 3; number <= 15 && fields >> field; ++number) {
    ticks += number >= 14 ? std::stod(field) : 0;
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

// Some schedulers of one system.
class Schedulers {
 public:
  Schedulers(std::string root, const Stage& stage, Log& log)
      : m_root(std::move(root)), m_stage(stage), m_log(log) {
    m_directory =
        (std::filesystem::temp_directory_path() / "shallotwick-XXXXXX")
            .string();
    if (mkdtemp(m_directory.data()) == nullptr) {
      throw std::runtime_error("no temporary folder");
    }
  }
  ~Schedulers() {
    for (const pid_t pid : m_pids) {
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
      std::filesystem::remove_all(m_directory);
    }
  }
  Schedulers(const Schedulers&) = delete;
  Schedulers& operator=(const Schedulers&) = delete;

  void Start(size_t count, const std::string& cores = "0.25") {
    for (size_t i = 0; i < count; ++i) {
      StartOne("edge-" + std::to_string(m_pids.size()), cores);
    }
  }

  // Returns how often the log of a process names an event so far.
  size_t CountEvents(size_t node, const std::string& event) const {
    std::ifstream file(m_directory + "/edge-" + std::to_string(node) + ".log");
    size_t count = 0;
    for (std::string line; std::getline(file, line);) {
      count += line.find("\"" + event + "\"") != std::string::npos ? 1 : 0;
    }
    return count;
  }

  bool WaitUntilReady() {
    const auto until = Clock::now() + std::chrono::seconds(15);
    size_t ready = 0;
    while (ready < m_ready.size() && Clock::now() < until) {
      ready = 0;
      for (const std::string& address : m_ready) {
        http::Request request;
        request.target = "/v1/readyz";
        ready += http::SendAndWait("http://" + address + "/v1/readyz", request)
                             .response.status == 200
                     ? 1
                     : 0;
      }
      std::this_thread::sleep_for(milliseconds(100));
    }
    // Owners load their pools and meet the executors.
    std::this_thread::sleep_for(milliseconds(3'000));
    return ready == m_ready.size();
  }

  // Each call is that of a consumer. Status 0 stands for no answer.
  http::Response Call(size_t node, const std::string& method,
                      const std::string& path, const std::string& body = "") {
    http::Request request;
    request.method = method;
    request.target = path;
    request.headers = {{"Content-Type", "application/json"},
                       {"X-Shallotwick-Deadline-Ms", "3000"}};
    request.body = body;
    http::TransferOptions options;
    options.first_byte_timeout = milliseconds(3'000);
    options.total_timeout = milliseconds(3'000);
    const http::TransferResult result =
        http::SendAndWait("http://" + m_fronts[node] + path, request, options);
    http::Response answer = result.response;
    if (result.outcome != http::TransferOutcome::kComplete) {
      answer.status = 0;
    }
    m_log.Write(method + " " + path + " at edge-" + std::to_string(node) + " " +
                body.substr(0, 300) + " -> " + std::to_string(answer.status) +
                " " + answer.body.substr(0, 200));
    return answer;
  }

  // As a consumer does: again, at another node, until it is known.
  bool Submit(const std::string& path, const json& job) {
    for (size_t attempt = 0; attempt < 5; ++attempt) {
      const int status =
          Call(attempt % m_fronts.size(), "POST", path, job.dump()).status;
      if (status == 200) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(500));
    }
    return false;
  }

  size_t GetCount() const { return m_fronts.size(); }

  // Writes what the balancer sees of each process and the processor time that
  // it has used.
  void WriteProcesses() {
    for (size_t i = 0; i < m_pids.size(); ++i) {
      http::Request request;
      request.target = "/v1/readyz";
      const int status =
          http::SendAndWait("http://" + m_ready[i] + "/v1/readyz", request)
              .response.status;
      m_log.Write("edge-" + std::to_string(i) + ": readyz " +
                  std::to_string(status) + ", processor time " +
                  std::to_string(ReadCpuSeconds(m_pids[i])) + " s");
    }
  }

 private:
  // A free port; another process may take it before it is used.
  static std::string FindAddress() {
    const http::Server server(
        [] {
          http::ServerOptions options;
          options.listen = base::ParseEndpoint("127.0.0.1:0");
          options.threads = 1;
          return options;
        }(),
        [](const http::Request&, const http::Respond&) {});
    return "127.0.0.1:" + std::to_string(server.GetPort());
  }

  void StartOne(const std::string& name, const std::string& cores) {
    std::map<std::string, std::string> values = kSettings;
    const std::string peer = FindAddress();
    values["node"] = name;
    values["limits.cpuShare"] = cores;
    values["listen.front"] = FindAddress();
    values["listen.ready"] = FindAddress();
    values["ip"] = "127.0.0.1";
    values["portRange.0"] = peer.substr(peer.find(':') + 1);
    values["platform.addr"] = m_stage.GetStoreAddress(m_pids.size());
    values["cloud.addr"] = m_stage.GetCloudAddress();
    std::vector<std::string> command = ReadCommand(m_root, values);
    std::vector<char*> arguments;
    for (std::string& word : command) {
      arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    std::vector<std::string> variables = {
        "PATH=/usr/bin:/bin", "HOME=/tmp",
        "SHALLOTWICK_STRICT_REVOCATION=", "SHALLOTWICK_REVOCATION_MS="};
    std::vector<char*> environment;
    for (std::string& variable : variables) {
      environment.push_back(variable.data());
    }
    environment.push_back(nullptr);
    const std::string log = m_directory + "/" + name + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    pid_t pid = -1;
    const std::string program = m_root + "/" + command.front();
    const int error = posix_spawn(&pid, program.c_str(), &actions, nullptr,
                                  arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
      throw std::runtime_error("can't start " + program);
    }
    m_pids.push_back(pid);
    m_fronts.push_back(values["listen.front"]);
    m_ready.push_back(values["listen.ready"]);
    std::string words;
    for (const std::string& word : command) {
      words += word + " ";
    }
    m_log.Write("start " + words);
  }

  std::string m_root;
  const Stage& m_stage;
  Log& m_log;
  std::string m_directory;
  std::vector<pid_t> m_pids;
  std::vector<std::string> m_fronts;
  std::vector<std::string> m_ready;
};

std::string MakeId(int number) {
  const std::string digits = std::to_string(number);
  return std::string("5c0e7a21d94b36f8").substr(0, 16 - digits.size()) + digits;
}

json MakeRoute(const std::string& name, const std::string& service) {
  return {
      {"name", name},       {"host", "127.0.0.1"}, {"prefix", "/" + name + "/"},
      {"service", service}, {"priority", 0},       {"attempts", 4},
      {"stretch", 2.0},     {"sloMs", 2'000}};
}

json MakeConfig(int version, const std::vector<std::string>& services,
                const std::vector<json>& routes) {
  json config = {{"version", version},
                 {"limits", {{"maxBodyBytes", 262'144}}},
                 {"services", json::array()},
                 {"routes", routes}};
  for (const std::string& service : services) {
    config["services"].push_back(
        {{"name", service}, {"enforcesCapacity", false}});
  }
  return config;
}

json MakeStep(int count, int cpu_milli, int memory_mb, int64_t estimate_ms) {
  return {{"count", count},
          {"cpu", cpu_milli},
          {"memMb", memory_mb},
          {"estMs", estimate_ms}};
}

json MakeJob(int64_t work_ms, const std::vector<json>& steps) {
  return {{"spec", std::to_string(work_ms)}, {"steps", steps}};
}

void WriteEvents(Log& log, const Stage& stage, const std::string& id) {
  std::map<std::string, int> counts;
  for (const Event& event : stage.GetEvents()) {
    if (event.task.rfind(id, 0) != 0) {
      continue;
    }
    const std::string kind = event.what;
    if (++counts[kind] <= 40) {
      const auto at = std::chrono::duration<double>(event.at - log.GetStart());
      log.Write("seen at " + std::to_string(at.count()).substr(0, 7) + ": " +
                event.what + " " + event.task + " run " +
                std::to_string(event.run) + " on " + event.executor + " of " +
                event.service);
    }
  }
  for (const auto& [what, count] : counts) {
    log.Write("in all " + std::to_string(count) + " x " + what + " of " + id);
  }
}

using Play = std::function<int(const std::string& root, Log& log)>;

// Waits until all tasks of the submission run.
bool WaitForTasks(const Stage& stage, Log& log, const std::string& id,
                  size_t tasks) {
  const auto until = Clock::now() + std::chrono::seconds(45);
  while (stage.CountRunning(id) < tasks && Clock::now() < until) {
    std::this_thread::sleep_for(milliseconds(50));
  }
  log.Write("running of " + id + ": " + std::to_string(stage.CountRunning(id)));
  return stage.CountRunning(id) == tasks;
}

// A large submission is cancelled.
int PlayCancel(const std::string& root, Log& log) {
  constexpr int kTasks = 20'000;
  StageOptions options;
  options.executors.assign(9, {"corte"});
  Stage stage(options);
  stage.PutConfig(MakeConfig(1, {"corte"}, {MakeRoute("cut", "corte")}));
  Schedulers schedulers(root, stage, log);
  schedulers.Start(3);
  if (!schedulers.WaitUntilReady()) {
    return kNotRun;
  }
  const std::string id = MakeId(1);
  if (!schedulers.Submit("/cut/" + id,
                         MakeJob(90'000, {MakeStep(kTasks, 10, 10, 90'000)})) ||
      !WaitForTasks(stage, log, id, kTasks)) {
    return kNotRun;
  }
  std::this_thread::sleep_for(milliseconds(4'000));
  if (HasTrouble()) {
    schedulers.WriteProcesses();
    const int status = schedulers.Call(0, "DELETE", "/cut/" + id).status;
    const auto acknowledged = Clock::now();
    if (status != 200) {
      return kNotRun;
    }
    for (int i = 1; i <= 60; ++i) {
      std::this_thread::sleep_until(acknowledged + i * milliseconds(200));
      log.Write("running " + std::to_string(stage.CountRunning(id)));
      if (Clock::now() > acknowledged + kCancelTime + kStopTime &&
          stage.CountRunning(id) == 0) {
        break;
      }
    }
    schedulers.WriteProcesses();
    WriteEvents(log, stage, id);
    const auto limit = acknowledged + kCancelTime + kStopTime;
    const auto events = stage.GetEvents();
    const auto late =
        std::count_if(events.begin(), events.end(), [&](const Event& event) {
          return event.what != "start" && event.at > limit;
        });
    log.Write("tasks that ran on later than cancel_ms + stopMs: " +
              std::to_string(late) +
              ", and still run: " + std::to_string(stage.CountRunning(id)));
    return late > 0 || stage.CountRunning(id) > 0 ? kBroken : kHeld;
  }
  std::this_thread::sleep_for(milliseconds(6'000));
  WriteEvents(log, stage, id);
  return kHeld;
}

int64_t CountAlone(const Stage& stage, Log& log) {
  const auto events = stage.GetEvents();
  const auto alone =
      std::count_if(events.begin(), events.end(),
                    [](const Event& event) { return event.what == "alone"; });
  log.Write("runs of gangs that ended alone: " + std::to_string(alone));
  return alone;
}

// Gangs are handed in while a submission of many tasks is cancelled.
int PlayGang(const std::string& root, Log& log) {
  constexpr size_t kExecutors = 9;
  constexpr size_t kExecutorsOfMany = 4;
  constexpr int kGangs = 10;
  constexpr int kTasks = 6'000;
  StageOptions options;
  options.executors.assign(kExecutors, {"corte"});
  for (size_t i = kExecutorsOfMany; i < kExecutors; ++i) {
    options.executors[i].kind = "b";
  }
  Stage stage(options);
  stage.PutConfig(MakeConfig(1, {"corte"}, {MakeRoute("cut", "corte")}));
  Schedulers schedulers(root, stage, log);
  schedulers.Start(3);
  if (!schedulers.WaitUntilReady()) {
    return kNotRun;
  }
  const std::string id = MakeId(1);
  json many = MakeStep(kTasks, 10, 10, 90'000);
  many["requires"] = "a";
  if (!schedulers.Submit("/cut/" + id, MakeJob(90'000, {many})) ||
      !WaitForTasks(stage, log, id, kTasks)) {
    return kNotRun;
  }
  std::this_thread::sleep_for(milliseconds(4'000));
  std::thread canceller([&] {
    if (HasTrouble()) {
      schedulers.Call(0, "DELETE", "/cut/" + id);
    }
  });
  json step = MakeStep(kExecutors, 2'000, 1'000, 1'000);
  step["gang"] = true;
  step["maxPerServer"] = 1;
  for (int i = 0; i < kGangs; ++i) {
    stage.DeclareGang(MakeId(100 + i) + ".0.0", kExecutors);
    if (!schedulers.Submit("/cut/" + MakeId(100 + i), MakeJob(1'000, {step}))) {
      canceller.join();
      return kNotRun;
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
  canceller.join();
  std::this_thread::sleep_for(milliseconds(8'000));
  WriteEvents(log, stage, id);
  for (int i = 0; i < kGangs; ++i) {
    WriteEvents(log, stage, MakeId(100 + i));
  }
  return CountAlone(stage, log) > 0 ? kBroken : kHeld;
}

// Returns whether, for 3 s, a submission has nothing running while the service
// of its queue has room for it twice over and is less than half in use.
bool WaitsBesideRoom(const Stage& stage, Log& log, const std::string& service,
                     const std::string& id, int64_t cpu_milli) {
  constexpr milliseconds kJudged{3'000};
  const auto until = Clock::now() + kJudged;
  while (Clock::now() < until) {
    const auto [in_use, all] = stage.MeasureCpu(service);
    const bool waits = stage.CountRunning(id) == 0 &&
                       all - in_use >= 2 * cpu_milli && 2 * in_use < all;
    log.Write("running of " + id + ": " +
              std::to_string(stage.CountRunning(id)) + "; " + service +
              " uses " + std::to_string(in_use) + " of " + std::to_string(all) +
              " milli-cores");
    if (!waits) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(250));
  }
  return true;
}

// A queue is sent to another service while submissions of it wait.
int PlayMove(const std::string& root, Log& log, bool judges_count) {
  constexpr int kWaiting = 12;
  constexpr int kCpuMilli = 4'000;
  constexpr milliseconds kFinishTime{14'000};
  StageOptions options;
  options.executors = {{"corte"}, {"corte"}, {"montagem"}, {"montagem"}};
  Stage stage(options);
  const json fill = MakeRoute("fill", "corte");
  stage.PutConfig(
      MakeConfig(1, {"corte", "montagem"}, {fill, MakeRoute("cut", "corte")}));
  Schedulers schedulers(root, stage, log);
  schedulers.Start(3);
  if (!schedulers.WaitUntilReady()) {
    return kNotRun;
  }
  // A task that lasts takes each executor of the first service.
  json lasting = MakeStep(2, 30'000, 1'000, 1'000);
  lasting["longRunning"] = true;
  stage.DeclareCpu(MakeId(1), 30'000);
  if (!schedulers.Submit("/fill/" + MakeId(1), MakeJob(0, {lasting}))) {
    return kNotRun;
  }
  std::this_thread::sleep_for(milliseconds(2'000));
  if (stage.CountRunning(MakeId(1)) != 2) {
    return kNotRun;
  }
  for (int i = 0; i < kWaiting; ++i) {
    stage.DeclareCpu(MakeId(100 + i), kCpuMilli);
    if (!schedulers.Submit(
            "/cut/" + MakeId(100 + i),
            MakeJob(1'000, {MakeStep(1, kCpuMilli, 1'000, 1'000)}))) {
      return kNotRun;
    }
  }
  std::this_thread::sleep_for(milliseconds(1'000));
  if (HasTrouble()) {
    stage.PutConfig(MakeConfig(2, {"corte", "montagem"},
                               {fill, MakeRoute("cut", "montagem")}));
    log.Write("config 2: cut is sent to montagem");
  }
  std::this_thread::sleep_for(judges_count ? kVisibleTime + milliseconds(4'000)
                                           : kFinishTime);
  size_t begun = 0;
  for (int i = 0; i < kWaiting; ++i) {
    const std::string id = MakeId(100 + i);
    const auto events = stage.GetEvents();
    begun += std::any_of(events.begin(), events.end(),
                         [&](const Event& event) {
                           return event.task.rfind(id, 0) == 0;
                         })
                 ? 1
                 : 0;
  }
  bool is_broken = false;
  if (judges_count) {
    for (size_t node = 0; node < schedulers.GetCount(); ++node) {
      const http::Response answer = schedulers.Call(node, "GET", "/cut/");
      const json body = json::parse(answer.body, nullptr, false);
      const int pending = body.is_object() ? body.value("pending", -1) : -1;
      is_broken =
          is_broken || (answer.status == 200 &&
                        2 * pending < kWaiting - static_cast<int>(begun));
    }
    log.Write("haven't begun: " + std::to_string(kWaiting - begun));
  } else {
    is_broken = WaitsBesideRoom(stage, log, HasTrouble() ? "montagem" : "corte",
                                MakeId(100), kCpuMilli);
    log.Write("begun of the submissions that waited: " + std::to_string(begun));
  }
  // One more, after the change.
  const std::string later = MakeId(200);
  schedulers.Submit("/cut/" + later,
                    MakeJob(500, {MakeStep(1, kCpuMilli, 1'000, 500)}));
  std::this_thread::sleep_for(milliseconds(2'000));
  for (int i = 0; i < kWaiting; ++i) {
    schedulers.Call(0, "GET", "/cut/" + MakeId(100 + i));
    WriteEvents(log, stage, MakeId(100 + i));
  }
  schedulers.Call(0, "GET", "/cut/" + later);
  WriteEvents(log, stage, later);
  return is_broken ? kBroken : kHeld;
}

// A gang of many members, without any disruption. No case of its own.
int PlayWideGang(const std::string& root, Log& log) {
  constexpr int kMembers = 1'500;
  StageOptions options;
  options.executors.assign(9, {"corte"});
  Stage stage(options);
  stage.PutConfig(MakeConfig(1, {"corte"}, {MakeRoute("cut", "corte")}));
  Schedulers schedulers(root, stage, log);
  schedulers.Start(3);
  if (!schedulers.WaitUntilReady()) {
    return kNotRun;
  }
  const std::string id = MakeId(1);
  json step = MakeStep(kMembers, 20, 10, 1'000);
  step["gang"] = true;
  stage.DeclareGang(id + ".0.0", kMembers);
  if (!schedulers.Submit("/cut/" + id, MakeJob(1'000, {step}))) {
    return kNotRun;
  }
  std::this_thread::sleep_for(milliseconds(20'000));
  schedulers.Call(0, "GET", "/cut/" + id);
  WriteEvents(log, stage, id);
  return CountAlone(stage, log) > 0 ? kBroken : kHeld;
}

// The store turns a machine away for a second while it hands its pool over.
int PlayHandover(const std::string& root, Log& log) {
  constexpr int kLarge = 4;
  constexpr int kTasks = 2'000;
  constexpr milliseconds kTurnedAway{1'000};
  constexpr milliseconds kCalm{8'000};
  constexpr milliseconds kFinishTime{14'000};
  StageOptions options;
  options.executors.assign(9, {"corte"});
  options.order_time = milliseconds(70);
  options.lose_nth_start = 100;
  Stage stage(options);
  stage.PutConfig(MakeConfig(1, {"corte"}, {MakeRoute("cut", "corte")}));
  Schedulers schedulers(root, stage, log);
  schedulers.Start(1, "0.12");
  if (!schedulers.WaitUntilReady()) {
    return kNotRun;
  }
  schedulers.Start(2, "0.5");
  if (!schedulers.WaitUntilReady()) {
    return kNotRun;
  }
  for (int i = 0; i < kLarge; ++i) {
    if (!schedulers.Submit("/cut/" + MakeId(1 + i),
                           MakeJob(300, {MakeStep(kTasks, 100, 10, 300)}))) {
      return kNotRun;
    }
  }
  const auto until = Clock::now() + std::chrono::seconds(40);
  while (schedulers.CountEvents(0, "pool-handed-over") == 0) {
    if (Clock::now() > until) {
      return kNotRun;
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
  const auto handed_over = Clock::now();
  log.Write("edge-0 hands its pool over");
  if (HasTrouble()) {
    stage.SetTurnedAway(0, true);
    log.Write("the store turns edge-0 away");
    std::this_thread::sleep_for(kTurnedAway);
    stage.SetTurnedAway(0, false);
    log.Write("the store serves edge-0 again");
  }
  // What comes now meets no disruption.
  std::this_thread::sleep_for(kCalm);
  for (int i = 0; i < kLarge; ++i) {
    schedulers.Call(1, "DELETE", "/cut/" + MakeId(1 + i));
  }
  const std::string id = MakeId(100);
  constexpr int kCpuMilli = 4'000;
  stage.DeclareCpu(id, kCpuMilli);
  if (!schedulers.Submit("/cut/" + id,
                         MakeJob(1'000, {MakeStep(1, kCpuMilli, 10, 1'000)}))) {
    return kNotRun;
  }
  std::this_thread::sleep_for(kFinishTime);
  const std::vector<Event> events = stage.GetEvents();
  log.Write("starts later than 2 s after the hand-over began: " +
            std::to_string(std::count_if(
                events.begin(), events.end(), [&](const Event& event) {
                  return event.what == "start" &&
                         event.at > handed_over + milliseconds(2'000);
                })));
  const bool has_begun = std::any_of(
      events.begin(), events.end(),
      [&](const Event& event) { return event.task.rfind(id, 0) == 0; });
  const bool waits =
      !has_begun && WaitsBesideRoom(stage, log, "corte", id, kCpuMilli);
  for (size_t node = 0; node < schedulers.GetCount(); ++node) {
    schedulers.Call(node, "GET", "/cut/" + id);
  }
  schedulers.WriteProcesses();
  WriteEvents(log, stage, id);
  return waits ? kBroken : kHeld;
}

const std::map<std::string, Play> kPlays = {
    {"handover", PlayHandover},
    {"wide", PlayWideGang},
    {"count", [](const std::string& root,
                 Log& log) { return PlayMove(root, log, true); }},
    {"move", [](const std::string& root,
                Log& log) { return PlayMove(root, log, false); }},
    {"gang", PlayGang},
    {"cancel", PlayCancel},
};

}  // namespace
}  // namespace shallotwick::review

int main(int count, char** arguments) {
  namespace review = shallotwick::review;
  const std::vector<std::string> words(arguments, arguments + count);
  if (words.size() != 4 || review::kPlays.count(words[1]) == 0) {
    std::cerr << "usage: cases PLAY ROOT RECORD\n";
    return review::kNotRun;
  }
  try {
    review::Log log(words[3]);
    const int result = review::kPlays.at(words[1])(words[2], log);
    log.Write(result == review::kHeld     ? "result: the rule held"
              : result == review::kBroken ? "result: the rule was broken"
                                          : "result: the case couldn't run");
    return result;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return review::kNotRun;
  }
}
