#pragma once

// A small stand-in of the platform for the cases under review/: the store, the
// host calls, executors and consumers, each as the platform's pages describe
// them, and the start of the project's own program as separate processes.

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline constexpr int kExitHeld = 0;
inline constexpr int kExitBroken = 1;
inline constexpr int kExitNotRun = 2;

void SleepMs(int64_t milliseconds);

// record.txt of a case: what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path);
  void Note(const std::string& who, const std::string& what);
  int64_t GetMs() const;

 private:
  std::mutex m_mutex;
  std::ofstream m_file;
  Clock::time_point m_start = Clock::now();
};

struct HttpRequest {
  std::string method;
  std::string target;
  std::map<std::string, std::string> headers;
  std::string body;

  std::string GetPath() const;
  // Returns a query parameter, decoded; empty if there is none.
  std::string GetParameter(const std::string& name) const;
};

struct HttpResponse {
  int status = 200;
  std::string body = "{}";
};

// Serves HTTP/1.1 on a loopback port, a thread a connection. Without a response
// a request stays unanswered on its open connection.
class HttpServer {
 public:
  using Handler = std::function<std::optional<HttpResponse>(HttpRequest)>;

  explicit HttpServer(Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  uint16_t GetPort() const { return m_port; }
  std::string GetAddress() const;

 private:
  void Accept();
  void Serve(int socket);

  Handler m_handler;
  int m_socket = -1;
  uint16_t m_port = 0;
  std::atomic<bool> m_is_stopping{false};
  std::mutex m_mutex;
  std::set<int> m_open;
  std::list<std::thread> m_threads;
  std::thread m_accepting;
};

// Sends one request on a connection of its own. Empty without an answer.
std::optional<HttpResponse> Call(uint16_t port, const std::string& method,
                                 const std::string& target,
                                 const std::string& host,
                                 const std::string& body, int64_t timeout_ms);

// What the store does with a transaction.
enum class CommitFate { kNormal, kLost, kLate };

// The platform's metadata store.
class Store {
 public:
  explicit Store(Record& record);

  // Called for each transaction; for kLate it is carried out after `late_ms`.
  std::function<CommitFate(const Json& transaction)> m_on_commit;
  int64_t m_late_ms = 0;

  // Opens an address for one machine alone, and returns its number.
  size_t AddFront();
  std::string GetFrontAddress(size_t front) const;
  // While it is turned away, all calls of that machine get 503.
  void SetTurnedAway(size_t front, bool is_turned_away);
  void Put(const std::string& table, const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  std::string Get(const std::string& table, const std::string& part,
                  const std::string& key);
  void Stop();

 private:
  using Key = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string value;
    uint64_t version = 0;
    bool is_removed = false;
  };

  std::optional<HttpResponse> Handle(const HttpRequest& request);
  HttpResponse Commit(const Json& transaction);
  HttpResponse Read(const HttpRequest& request);
  HttpResponse Follow(const HttpRequest& request);
  static Json Format(const Key& key, const Row& row);
  int64_t GetNowMs() const;

  Record& m_record;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<Key, Row> m_rows;
  uint64_t m_version = 0;
  bool m_is_stopping = false;
  Clock::time_point m_start = Clock::now();
  struct Front {
    std::atomic<bool> is_turned_away{false};
    std::unique_ptr<HttpServer> server;
  };
  std::vector<std::unique_ptr<Front>> m_fronts;
};

// What became of a run, as an executor saw it.
struct RunEvent {
  int64_t at_ms = 0;
  std::string executor;
  std::string task;
  int64_t run = 0;
  // "start", or how the run ended.
  std::string what;
  std::string checkpoint;
};

class Executors;

// One executor: one life of a machine.
class Executor {
 public:
  Executor(Executors& all, Store& store, std::string machine,
           std::string service, std::string rack);

  // Ends all runs. The entry is removed after three status reports of silence.
  void Crash();
  // Ends all runs and removes the entry, as when the machine is taken down.
  void Leave();
  void Boot();
  bool IsUp() const { return m_is_up; }
  const std::string& GetId() const { return m_id; }
  const std::string& GetMachine() const { return m_machine; }
  const std::string& GetService() const { return m_service; }
  void SetService(const std::string& service) { m_service = service; }
  const std::string& GetRack() const { return m_rack; }
  size_t CountRuns() const { return m_runs.size(); }
  bool HasRun(const std::string& task) const { return m_runs.count(task) > 0; }

 private:
  friend class Executors;
  struct Run {
    int64_t number = 0;
    int64_t started_ms = 0;
    // When the members of a gang were all present; else the start.
    std::optional<int64_t> works_since_ms;
    int64_t duration_ms = 0;
    std::string end = "done";
    bool is_stopping = false;
    int64_t stops_ms = 0;
    std::string checkpoint;
    std::string carried;
  };

  std::optional<HttpResponse> Handle(const HttpRequest& request);
  HttpResponse Start(const Json& order);
  HttpResponse Stop(const Json& order);
  std::optional<HttpResponse> Hold(const Json& order,
                                   std::unique_lock<std::mutex>& lock);
  HttpResponse Refuse(const char* reason) const;
  void LoseRuns();
  bool IsFenced(const Json& order);
  void Extend(const Json& order);
  void Advance();
  void End(const std::string& task, const std::string& how);
  void WriteEntry();
  int64_t GetClockMs() const;

  Executors& m_all;
  Store& m_store;
  std::string m_machine;
  std::string m_service;
  std::string m_rack;
  std::string m_id;
  int m_life = 0;
  bool m_is_up = false;
  int64_t m_sequence = 0;
  int64_t m_born_ms = 0;
  Clock::time_point m_born;
  uint64_t m_fence = 0;
  int64_t m_lease_until_ms = 0;
  int64_t m_next_end = 1;
  std::map<std::string, Run> m_runs;
  std::map<std::string, int64_t> m_highest_ended;
  Json m_ended = Json::array();
  std::unique_ptr<HttpServer> m_server;
};

// How long a run takes and how it ends.
struct RunPlan {
  int64_t duration_ms = 500;
  std::string end = "done";
};

// All executors, and the clock that advances their runs.
class Executors {
 public:
  Executors(Record& record, Store& store);
  ~Executors();
  Executors(const Executors&) = delete;
  Executors& operator=(const Executors&) = delete;

  // Decides each run. Called with the mutex held.
  std::function<RunPlan(const std::string& task, int64_t run)> m_plan;
  // The members of the gang of a task's step; 0 if it is none.
  std::function<int(const std::string& task)> m_gang_size;

  Executor& Add(const std::string& machine, const std::string& service,
                const std::string& rack);
  std::vector<std::unique_ptr<Executor>>& Get() { return m_executors; }
  std::vector<RunEvent> GetEvents();
  std::mutex& GetMutex() { return m_mutex; }
  // The same with the mutex held.
  const std::vector<RunEvent>& PeekEvents() const { return m_events; }
  // Calls back after that time, on the clock's thread and with the mutex held.
  void CallAfter(int64_t milliseconds, std::function<void()> call);
  // Returns how many runs of the task are present now.
  int CountPresent(const std::string& task);

  static constexpr int64_t kLongestLeaseMs = 6'000;
  static constexpr int64_t kStopMs = 100;
  static constexpr int64_t kGangMs = 3'000;
  static constexpr int64_t kCheckpointMs = 2'000;

 private:
  friend class Executor;
  void RunClock();
  void AdvanceGangs();
  void NoteEvent(const RunEvent& event);

  Record& m_record;
  Store& m_store;
  std::mutex m_mutex;
  std::condition_variable m_ended;
  std::vector<std::unique_ptr<Executor>> m_executors;
  std::vector<RunEvent> m_events;
  std::multimap<Clock::time_point, std::function<void()>> m_calls;
  std::atomic<bool> m_is_stopping{false};
  std::thread m_clock;
};

// What the platform does with a call of its host operations.
// kBusy: answered with 503, nothing done. kSilent: neither done nor answered.
enum class CallFate { kNormal, kBusy, kSilent, kLost, kLate };

// The platform's host list and host operations.
class Cloud {
 public:
  struct Wave {
    std::set<std::string> machines;
    int max_count = 1;
  };
  // An upkeep that began, and how many machines of its wave were down for
  // theirs then.
  struct Upkeep {
    int64_t at_ms = 0;
    std::string machine;
    int others_down = 0;
    int max_count = 0;
  };

  // An operation as it came.
  struct CallSeen {
    int64_t at_ms = 0;
    std::string machine;
    std::string holder;
    uint64_t token = 0;
  };

  Cloud(Record& record, Executors& executors);

  // Called for each operation. kLate is carried out after `m_late_ms`.
  std::function<CallFate(const std::string& path, const Json& body)> m_on_call;
  int64_t m_late_ms = 0;

  std::string GetAddress() const { return m_server->GetAddress(); }
  void SetWave(int64_t number, const Wave& wave);
  std::vector<Upkeep> GetUpkeeps();
  std::vector<CallSeen> GetCalls();
  void Stop() { m_server.reset(); }

  static constexpr int64_t kUpkeepMs = 2'000;
  static constexpr int64_t kMoveMs = 1'500;

 private:
  struct Absence {
    std::string state;
    int64_t wave = 0;
  };

  std::optional<HttpResponse> Handle(const HttpRequest& request);
  HttpResponse List();
  HttpResponse Operate(const HttpRequest& request);
  Executor* Find(const std::string& machine);
  void TakeDown(Executor& executor, const Absence& absence, int64_t for_ms);

  Record& m_record;
  Executors& m_executors;
  std::map<int64_t, Wave> m_waves;
  std::map<std::string, uint64_t> m_fences;
  std::map<std::string, Absence> m_absent;
  std::set<std::pair<std::string, int64_t>> m_done;
  std::vector<Upkeep> m_upkeeps;
  std::vector<CallSeen> m_calls;
  std::unique_ptr<HttpServer> m_server;
};

// One process of the project's program, started with the command of the deploy
// file. Killed when this object goes.
class Scheduler {
 public:
  Scheduler(const std::string& root, const std::string& log_directory,
            const std::string& name, const std::string& store,
            const std::string& cloud);
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  uint16_t GetFront() const { return m_front; }
  const std::string& GetName() const { return m_name; }
  bool IsReady() const;
  bool IsRunning();
  void Signal(int signal);
  void Kill();
  // Whether the log has a line with all of these texts.
  bool HasLogged(const std::vector<std::string>& texts) const;

 private:
  std::string m_name;
  std::string m_log;
  uint16_t m_front = 0;
  uint16_t m_ready = 0;
  pid_t m_pid = -1;
};

// What each case has: its arguments, its record and a temporary folder.
struct CaseContext {
  std::string root;
  std::string folder;
  std::string temporary;
  bool has_trouble = true;
};

// Reads the arguments ROOT and FOLDER and the variable TROUBLE, and runs the
// case. Returns its exit code; 2 if it threw an exception.
int RunCase(int argc, char** argv,
            const std::function<int(const CaseContext&, Record&)>& run);

// The stand-ins and the processes of one case.
class Deployment {
 public:
  Deployment(const CaseContext& context, Record& record);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Writes the config and notes it.
  void PutConfig(int64_t version, const Json& routes,
                 const std::vector<std::string>& services);
  // Starts processes and waits until all are ready and a task could run.
  // Throws std::runtime_error if they aren't in time.
  void StartSchedulers(int count);
  Scheduler& GetScheduler(size_t number) { return *m_schedulers.at(number); }
  size_t CountSchedulers() const { return m_schedulers.size(); }
  // Sends a consumer's request to the front of a process and notes it and its
  // answer. Returns the status; 0 without an answer.
  int Request(size_t scheduler, const std::string& method,
              const std::string& target, const std::string& body = "",
              int64_t timeout_ms = 3'000);
  // Returns the state of a submission; empty if it isn't told.
  std::string GetState(size_t scheduler, const std::string& target);
  // Returns the process that owns the pool, by its own log.
  std::optional<size_t> FindOwner(const std::string& pool);

  Store m_store;
  Executors m_executors;
  Cloud m_cloud;

 private:
  const CaseContext& m_context;
  Record& m_record;
  std::vector<std::unique_ptr<Scheduler>> m_schedulers;
};

// Waits until the condition holds; returns whether it came to hold.
bool WaitFor(int64_t timeout_ms, const std::function<bool()>& condition);

// Returns a route of a config as the operator writes it.
Json MakeRoute(const std::string& name, const std::string& prefix,
               const std::string& service, int attempts);

// Returns a config as the operator writes it.
std::string MakeConfig(int64_t version, const Json& routes,
                       const std::vector<std::string>& services);

std::string EncodeBase64(const std::string& bytes);
std::string DecodeBase64(const std::string& text);

}  // namespace review
