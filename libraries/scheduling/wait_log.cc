#include "scheduling/wait_log.h"

#include <string_view>

namespace shallotwick::scheduling {
namespace {

constexpr auto kMinIntervalPerStep = std::chrono::seconds(1);
// Changes beyond this number are logged by a later call, if they still hold.
constexpr size_t kMaxLinesPerUpdate = 20;

bool IsSame(const TaskWait& left, const TaskWait& right) {
  return left.target == right.target &&
         std::string_view(left.reason) == std::string_view(right.reason);
}

}  // namespace

std::vector<TaskWait> WaitLog::Update(const std::map<TaskName, TaskWait>& waits,
                                      base::TimePoint now) {
  std::vector<TaskWait> lines;
  for (const auto& [step, wait] : waits) {
    const auto entry = m_logged.find(step);
    const bool is_due = entry == m_logged.end() ||
                        (!IsSame(entry->second.wait, wait) &&
                         now >= entry->second.logged_at + kMinIntervalPerStep);
    if (is_due && lines.size() < kMaxLinesPerUpdate) {
      m_logged[step] = {wait, now};
      lines.push_back(wait);
    }
  }
  for (auto entry = m_logged.begin(); entry != m_logged.end();) {
    const bool has_ended = waits.count(entry->first) == 0 &&
                           now >= entry->second.logged_at + kMinIntervalPerStep;
    if (!has_ended || lines.size() >= kMaxLinesPerUpdate) {
      ++entry;
      continue;
    }
    lines.push_back({entry->second.wait.task, "", "waits no more"});
    entry = m_logged.erase(entry);
  }
  return lines;
}

}  // namespace shallotwick::scheduling
