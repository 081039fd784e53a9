#include "routing/target_state.h"

namespace shallotwick::routing {

void TargetState::AvoidUntil(base::TimePoint until) {
  m_avoid_until.store(until.time_since_epoch().count());
}

bool TargetState::IsAvoided(base::TimePoint now) const {
  return now.time_since_epoch().count() < m_avoid_until.load();
}

void TargetState::SetUnresponsiveAt(base::TimePoint now) {
  m_unresponsive_at.store(now.time_since_epoch().count());
}

int64_t TargetState::GetSecondsSinceUnresponsive(base::TimePoint now) const {
  const int64_t unresponsive_at = m_unresponsive_at.load();
  if (unresponsive_at == kNever) {
    return kNever;
  }
  const base::Duration elapsed =
      now.time_since_epoch() - base::Duration(unresponsive_at);
  return std::chrono::duration_cast<std::chrono::seconds>(elapsed).count();
}

}  // namespace shallotwick::routing
