#include "standin-cluster/executor_model.h"

#include <algorithm>
#include <utility>

namespace shallotwick::standin {
namespace {

using nlohmann::json;

constexpr int64_t kStopMs = 20;
constexpr int64_t kLongestLeaseMs = 10'000;

}  // namespace

ExecutorModel::ExecutorModel(std::string id, int64_t run_ms)
    : m_id(std::move(id)), m_run_ms(run_ms) {}

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

std::pair<int, json> ExecutorModel::Start(const json& order) {
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
    m_runs[task] = Run{run, GetClockMs() + m_run_ms, "done"};
    m_events.push_back({task, run, m_id, "start"});
  }
  return {200, {{"clockMs", GetClockMs()}}};
}

std::pair<int, json> ExecutorModel::Stop(const json& order) {
  if (IsFenced(order)) {
    return Refuse("fence");
  }
  const auto task = order.at("task").get<std::string>();
  const auto run = order.at("run").get<int64_t>();
  const auto present = m_runs.find(task);
  if (present != m_runs.end() && present->second.number == run) {
    present->second.how = "stopped";
    present->second.ends_ms = GetClockMs() + kStopMs;
  } else {
    int64_t& highest = m_highest_ended[task];
    highest = std::max(highest, run);
  }
  return {200, {{"clockMs", GetClockMs()}}};
}

std::pair<int, json> ExecutorModel::Hold(const json& order) {
  if (IsFenced(order)) {
    return Refuse("fence");
  }
  Extend(order);
  const int64_t seen = order.value("lastSeen", int64_t{0});
  json left = json::array();
  for (const json& end : m_ended) {
    if (end.at(0).get<int64_t>() > seen) {
      left.push_back(end);
    }
  }
  m_ended = left;
  json running = json::array();
  for (const auto& [task, run] : m_runs) {
    running.push_back({task, run.number, "", 100, 0});
  }
  return {200,
          {{"clockMs", GetClockMs()},
           {"born", 1},
           {"running", running},
           {"ended", m_ended}}};
}

bool ExecutorModel::Advance() {
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
  return !ending.empty();
}

void ExecutorModel::End(const std::string& task, const std::string& how) {
  const int64_t run = m_runs[task].number;
  m_runs.erase(task);
  int64_t& highest = m_highest_ended[task];
  highest = std::max(highest, run);
  m_ended.push_back({m_next_end++, task, run, how, ""});
  m_events.push_back({task, run, m_id, how});
}

std::vector<std::string> ExecutorModel::ListRunning() const {
  std::vector<std::string> tasks;
  for (const auto& [task, run] : m_runs) {
    tasks.push_back(task);
  }
  return tasks;
}

}  // namespace shallotwick::standin
