#include "routing/target_state.h"

namespace shallotwick::routing {

void TargetState::AvoidUntil(base::TimePoint until) {
  m_avoid_until.store(until.time_since_epoch().count());
}

bool TargetState::IsAvoided(base::TimePoint now) const {
  return now.time_since_epoch().count() < m_avoid_until.load();
}

void TargetState::SetSilentAt(base::TimePoint now) {
  m_silent_at.store(now.time_since_epoch().count());
}

int64_t TargetState::GetSecondsSinceSilent(base::TimePoint now) const {
  const int64_t silent_at = m_silent_at.load();
  if (silent_at == kNever) {
    return kNever;
  }
  const base::Duration since =
      now.time_since_epoch() - base::Duration(silent_at);
  return std::chrono::duration_cast<std::chrono::seconds>(since).count();
}

}  // namespace shallotwick::routing
