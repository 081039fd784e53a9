#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace shallotwick::standin {

// One start or end that an executor has seen, for the checks of a test.
struct RunEvent {
  std::string task;
  int64_t run = 0;
  std::string executor;
  // "start", or how the run ended.
  std::string what;
};

// What an executor does with orders: leases, fences, runs and their ends.
class ExecutorModel {
 public:
  using Clock = std::chrono::steady_clock;

  ExecutorModel(std::string id, int64_t run_ms);

  std::pair<int, nlohmann::json> Start(const nlohmann::json& order);
  std::pair<int, nlohmann::json> Stop(const nlohmann::json& order);
  std::pair<int, nlohmann::json> Hold(const nlohmann::json& order);
  // Ends what is over or has lapsed. Returns whether something has ended.
  bool Advance();
  bool HasEnds() const { return !m_ended.empty(); }

  const std::string& GetId() const { return m_id; }
  const std::vector<RunEvent>& GetEvents() const { return m_events; }
  // Runs that are present at the same time as another of their task.
  std::vector<std::string> ListRunning() const;

 private:
  struct Run {
    int64_t number = 0;
    int64_t ends_ms = 0;
    std::string how = "done";
  };

  int64_t GetClockMs() const;
  bool IsFenced(const nlohmann::json& order);
  void Extend(const nlohmann::json& order);
  void End(const std::string& task, const std::string& how);
  std::pair<int, nlohmann::json> Refuse(const char* reason) const;

  std::string m_id;
  int64_t m_run_ms;
  Clock::time_point m_born = Clock::now();
  uint64_t m_fence = 0;
  int64_t m_lease_until_ms = 0;
  int64_t m_next_end = 1;
  std::map<std::string, Run> m_runs;
  std::map<std::string, int64_t> m_highest_ended;
  nlohmann::json m_ended = nlohmann::json::array();
  std::vector<RunEvent> m_events;
};

}  // namespace shallotwick::standin
