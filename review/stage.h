// Stand-ins of the users' platform for the cases 11 to 15: the store, the list
// of machines and the executors. They answer as the users' pages say and
// disturb nothing by themselves.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "http/server.h"
#include "standin-cluster/row_table.h"

namespace shallotwick::review {

using Clock = std::chrono::steady_clock;

struct ExecutorSetup {
  std::string service;
  int64_t cpu_milli = 32'000;
  int64_t memory_mb = 65'536;
  std::string kind = "a";
};

// What happened to a run at an executor.
struct Event {
  Clock::time_point at;
  std::string what;
  std::string executor;
  std::string service;
  std::string task;
  int64_t run = 0;
};

struct StageOptions {
  std::vector<ExecutorSetup> executors;
  // The time from an order's arrival to its answer: two ways between zones.
  std::chrono::milliseconds order_time{2};
  std::chrono::milliseconds store_time{4};
  size_t machines = 3;
  // Each n-th start is carried out and not answered; 0 for none.
  size_t lose_nth_start = 0;
  std::chrono::milliseconds longest_lease{6'000};
  std::chrono::milliseconds gang_time{3'000};
};

class Stage {
 public:
  explicit Stage(StageOptions options);
  ~Stage();
  Stage(const Stage&) = delete;
  Stage& operator=(const Stage&) = delete;

  // Where that machine reaches the store.
  std::string GetStoreAddress(size_t machine) const;
  // While set, the store answers that machine with 503 and serves the others.
  void SetTurnedAway(size_t machine, bool is_turned_away);
  std::string GetCloudAddress() const;
  // Writes as the operator does.
  void PutConfig(const nlohmann::json& config);
  // All members of these steps (ID.K.STEP) work only together.
  void DeclareGang(const std::string& step, size_t members);
  std::vector<Event> GetEvents() const;
  // The tasks of a submission that are at work or wait for their gang.
  std::vector<std::string> ListRunning(const std::string& id) const;
  size_t CountRunning(const std::string& id) const;
  // What each task of the submission takes.
  void DeclareCpu(const std::string& id, int64_t cpu_milli);
  // Returns what the runs on a service take, of what has been declared, and
  // what its executors have.
  std::pair<int64_t, int64_t> MeasureCpu(const std::string& service) const;

 private:
  struct Run {
    Clock::time_point started;
    // When the run ends by itself; the largest time for none.
    Clock::time_point ends;
    // What the run takes once it works; 0 for a task that lasts.
    std::chrono::milliseconds work{0};
    bool waits_for_gang = false;
  };
  using RunKey = std::pair<std::string, int64_t>;
  struct Executor {
    ExecutorSetup setup;
    std::string id;
    std::string machine;
    int64_t born_ms = 0;
    Clock::time_point booted;
    uint64_t fence = 0;
    Clock::time_point lease_until;
    std::map<RunKey, Run> runs;
    // The highest run of each task that was stopped or has ended here.
    std::map<std::string, int64_t> highest_ended;
    int64_t next_end = 1;
    std::map<int64_t, nlohmann::json> ended;
    int64_t seq = 0;
    // When a run ends next, if its lease doesn't lapse before.
    Clock::time_point next_due;
    std::unique_ptr<http::Server> server;
  };
  // An answer that is given once it is complete, at the latest at `until`.
  struct Waiting {
    Clock::time_point until;
    std::function<bool(bool is_over)> try_answer;
  };

  void HandleStore(size_t machine, const http::Request& request,
                   const http::Respond& respond);
  void HandleCloud(const http::Request& request, const http::Respond& respond);
  void HandleExecutor(size_t index, const http::Request& request,
                      const http::Respond& respond);
  std::pair<int, nlohmann::json> Start(Executor& executor,
                                       const nlohmann::json& order);
  std::pair<int, nlohmann::json> Stop(Executor& executor,
                                      const nlohmann::json& order);
  nlohmann::json Report(const Executor& executor, int64_t last_seen) const;
  void Extend(Executor& executor, const nlohmann::json& order);
  void End(Executor& executor, const RunKey& key, const std::string& how);
  Clock::time_point GetDue(const Run& run) const;
  void CheckGang(const RunKey& key);
  // Ends the other members of the gang run of which one has ended.
  void EndGang(const RunKey& ended, const std::string& how);
  void Advance();
  void RunClock();
  void WriteEntry(Executor& executor);
  void AnswerAfter(std::chrono::milliseconds delay,
                   const http::Respond& respond, int status, std::string body);
  void Record(const Executor& executor, const RunKey& key,
              const std::string& what);
  int64_t GetClockMs(const Executor& executor) const;
  static std::string GetStep(const std::string& task);

  StageOptions m_options;
  mutable std::mutex m_mutex;
  standin::RowTable m_rows;
  uint64_t m_changes = 0;
  std::vector<std::unique_ptr<Executor>> m_executors;
  // The number of members by step.
  std::map<std::string, size_t> m_gangs;
  // By submission.
  std::map<std::string, int64_t> m_cpu_milli;
  std::vector<Waiting> m_waiting;
  std::multimap<Clock::time_point, std::function<void()>> m_answers;
  std::vector<Event> m_events;
  Clock::time_point m_next_beat;
  bool m_is_stopping = false;
  std::set<size_t> m_turned_away;
  size_t m_starts = 0;
  std::vector<std::unique_ptr<http::Server>> m_store_servers;
  std::unique_ptr<http::Server> m_cloud_server;
  std::thread m_clock;
};

}  // namespace shallotwick::review
