#include "long_running_check.h"

namespace shallotwick::scheduling::testing {
namespace {

constexpr auto kMaxTimeAway = std::chrono::seconds(6);
constexpr auto kJudgedTime = std::chrono::seconds(3);
constexpr auto kCalmTime = std::chrono::seconds(7);

}  // namespace

bool LongRunningCheck::Observe(const TaskName& task, bool is_running,
                               bool has_room, base::TimePoint now) {
  Wait& wait = m_waits.try_emplace(task, Wait{now, now, false}).first->second;
  if (is_running) {
    wait = {now, now, false};
    return false;
  }
  if (!has_room) {
    wait.last_full = now;
  }
  const bool is_late = now > wait.last_run + kMaxTimeAway + kJudgedTime &&
                       now > m_last_fault + kCalmTime &&
                       now > wait.last_full + kJudgedTime;
  const bool is_new = is_late && !wait.is_reported;
  wait.is_reported = wait.is_reported || is_late;
  return is_new;
}

void LongRunningCheck::Forget(const std::string& job) {
  std::erase_if(m_waits,
                [&job](const auto& entry) { return entry.first.job == job; });
}

}  // namespace shallotwick::scheduling::testing
