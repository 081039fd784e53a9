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
  // "start", or how the run ended; "lost" if the executor crashed.
  std::string what;
  std::chrono::steady_clock::time_point at;
  // When the order of a start came in, which may have been carried out later.
  std::chrono::steady_clock::time_point ordered;
  // The fencing token of the order of a start.
  uint64_t fence = 0;
};

// What an executor does with orders: leases, fences, runs and their ends.
class ExecutorModel {
 public:
  using Clock = std::chrono::steady_clock;

  ExecutorModel(std::string id, int64_t run_ms);

  std::pair<int, nlohmann::json> Start(const nlohmann::json& order,
                                       Clock::time_point ordered);
  std::pair<int, nlohmann::json> Stop(const nlohmann::json& order);
  // `is_same_incarnation`: the order came in during this incarnation, so that
  // its `lastSeen` can be an acknowledgement.
  std::pair<int, nlohmann::json> Hold(const nlohmann::json& order,
                                      bool is_same_incarnation);
  // An answer to a hold has been sent.
  void NoteReport(const nlohmann::json& body);

  // All that runs or is known here is gone.
  void Crash();
  // Begins again with a clock and counts of its own, under an id that no
  // executor had if `has_new_id`.
  void Boot(bool has_new_id);
  bool IsUp() const { return m_is_up; }
  int64_t GetBornMs() const { return m_born_ms; }
  bool HasReported() const { return m_has_reported; }
  // What the executor says of itself in the registry.
  void SetDraining(bool is_draining) { m_is_draining = is_draining; }
  bool IsDraining() const { return m_is_draining; }
  // Each run takes between these times, which depend on its task and number.
  void SetRunTime(int64_t least_ms, int64_t most_ms);
  // Ends what is over or has lapsed. Returns whether something has ended.
  bool Advance();
  bool HasEnds() const { return !m_ended.empty(); }

  const std::string& GetId() const { return m_id; }
  const std::vector<RunEvent>& GetEvents() const { return m_events; }
  // Ends as done that a hold has acknowledged and whose lease had not lapsed.
  const std::vector<RunEvent>& GetNotedEnds() const { return m_noted; }
  // The number of the task's run that is present now; 0 if there is none.
  int64_t FindRun(const std::string& task);

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

  void Record(const std::string& task, int64_t run, const std::string& what,
              Clock::time_point ordered = {}, uint64_t fence = 0);

  // The id of the first life; later ones add a number.
  std::string m_name;
  std::string m_id;
  int m_life = 1;
  int64_t m_least_run_ms;
  int64_t m_most_run_ms;
  bool m_is_up = true;
  bool m_has_reported = false;
  bool m_is_draining = false;
  Clock::time_point m_born = Clock::now();
  int64_t m_born_ms;
  uint64_t m_fence = 0;
  int64_t m_lease_until_ms = 0;
  int64_t m_next_end = 1;
  // Ends up to this number were listed in an answer.
  int64_t m_listed_end = 0;
  // Ends up to this number are older than the last lapse of the lease. A later
  // acknowledgement of them does not imply that they are stored.
  int64_t m_lapsed_end = 0;
  std::map<std::string, Run> m_runs;
  std::map<std::string, int64_t> m_highest_ended;
  nlohmann::json m_ended = nlohmann::json::array();
  std::vector<RunEvent> m_events;
  std::vector<RunEvent> m_noted;
};

}  // namespace shallotwick::standin
