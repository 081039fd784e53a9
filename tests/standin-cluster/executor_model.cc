#include "standin-cluster/executor_model.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace shallotwick::standin {
namespace {

using nlohmann::json;

// A stop takes between these times, which depend on the task and the run.
constexpr int64_t kLeastStopMs = 20;
constexpr int64_t kMostStopMs = 500;
constexpr int64_t kLongestLeaseMs = 10'000;

int64_t GetUnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

int64_t Draw(const std::string& task, int64_t run, int64_t least,
             int64_t most) {
  const size_t hash =
      std::hash<std::string>()(task + "#" + std::to_string(run));
  return least +
         static_cast<int64_t>(hash % static_cast<size_t>(most - least + 1));
}

}  // namespace

ExecutorModel::ExecutorModel(std::string id, int64_t run_ms)
    : m_name(id),
      m_id(std::move(id)),
      m_least_run_ms(run_ms),
      m_most_run_ms(run_ms),
      m_born_ms(GetUnixMs()) {}

void ExecutorModel::Crash() {
  Advance();
  for (const auto& [task, run] : m_runs) {
    Record(task, run.number, "lost");
  }
  m_is_up = false;
  m_has_reported = false;
  m_fence = 0;
  m_lease_until_ms = 0;
  m_next_end = 1;
  m_listed_end = 0;
  m_lapsed_end = 0;
  m_runs.clear();
  m_highest_ended.clear();
  m_ended = json::array();
}

void ExecutorModel::Boot(bool has_new_id) {
  m_is_up = true;
  m_is_draining = false;
  if (has_new_id) {
    m_id = m_name + "-" + std::to_string(++m_life);
  }
  m_born = Clock::now();
  m_born_ms = std::max(m_born_ms + 1, GetUnixMs());
}

void ExecutorModel::SetRunTime(int64_t least_ms, int64_t most_ms) {
  m_least_run_ms = least_ms;
  m_most_run_ms = most_ms;
}

void ExecutorModel::Record(const std::string& task, int64_t run,
                           const std::string& what, Clock::time_point ordered,
                           uint64_t fence) {
  m_events.push_back({task, run, m_id, what, Clock::now(), ordered, fence});
}

int64_t ExecutorModel::GetClockMs() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               m_born)
      .count();
}

bool ExecutorModel::IsFenced(const json& order) {
  const auto fence = order.value("fence", uint64_t{0});
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

std::pair<int, json> ExecutorModel::Start(const json& order,
                                          Clock::time_point ordered) {
  Advance();
  if (IsFenced(order)) {
    return Refuse("fence");
  }
  Extend(order);
  const auto task = order.at("task").get<std::string>();
  const auto run = order.at("run").get<int64_t>();
  const auto present = m_runs.find(task);
  const bool is_present =
      present != m_runs.end() && present->second.number == run;
  if (!is_present) {
    const auto ended = m_highest_ended.find(task);
    if (present != m_runs.end() ||
        (ended != m_highest_ended.end() && run <= ended->second)) {
      return Refuse("old");
    }
    if (order.value("untilMs", int64_t{0}) <= GetClockMs()) {
      return Refuse("late");
    }
    m_runs[task] =
        Run{run, GetClockMs() + Draw(task, run, m_least_run_ms, m_most_run_ms),
            "done"};
    Record(task, run, "start", ordered, m_fence);
  }
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
    if (present->second.how == "stopped") {
      return {200, {{"clockMs", GetClockMs()}}};
    }
    present->second.how = "stopped";
    present->second.ends_ms =
        GetClockMs() + Draw(task, run, kLeastStopMs, kMostStopMs);
  } else {
    int64_t& highest = m_highest_ended[task];
    highest = std::max(highest, run);
  }
  return {200, {{"clockMs", GetClockMs()}}};
}

std::pair<int, json> ExecutorModel::Hold(const json& order,
                                         bool is_same_incarnation) {
  Advance();
  if (IsFenced(order)) {
    return Refuse("fence");
  }
  Extend(order);
  const int64_t seen = order.value("lastSeen", int64_t{0});
  json left = json::array();
  for (const json& end : m_ended) {
    const auto number = end.at(0).get<int64_t>();
    if (number > seen) {
      left.push_back(end);
      continue;
    }
    // A number that was never listed here is one of another incarnation.
    const bool is_noted = is_same_incarnation && seen <= m_listed_end &&
                          number > m_lapsed_end && end.at(3) == "done";
    if (is_noted) {
      m_noted.push_back({end.at(1).get<std::string>(),
                         end.at(2).get<int64_t>(),
                         m_id,
                         "noted",
                         Clock::now(),
                         {}});
    }
  }
  m_ended = left;
  json running = json::array();
  for (const auto& [task, run] : m_runs) {
    running.push_back({task, run.number, "", 100, 0});
  }
  return {200,
          {{"clockMs", GetClockMs()},
           {"born", m_born_ms},
           {"running", running},
           {"ended", m_ended}}};
}

void ExecutorModel::NoteReport(const json& body) {
  m_has_reported = true;
  for (const json& end : body.value("ended", json::array())) {
    m_listed_end = std::max(m_listed_end, end.at(0).get<int64_t>());
  }
}

bool ExecutorModel::Advance() {
  const int64_t now = GetClockMs();
  if (now > m_lease_until_ms) {
    m_lapsed_end = m_next_end - 1;
  }
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
  return !ending.empty();
}

void ExecutorModel::End(const std::string& task, const std::string& how) {
  const int64_t run = m_runs[task].number;
  m_runs.erase(task);
  int64_t& highest = m_highest_ended[task];
  highest = std::max(highest, run);
  m_ended.push_back({m_next_end++, task, run, how, ""});
  Record(task, run, how);
}

int64_t ExecutorModel::FindRun(const std::string& task) {
  Advance();
  const auto run = m_runs.find(task);
  return run == m_runs.end() ? 0 : run->second.number;
}

}  // namespace shallotwick::standin
