#include "fleet/lease_monitor.h"

#include <utility>

namespace shallotwick::fleet {

LeaseMonitor::LeaseMonitor(std::string token) : m_token(std::move(token)) {}

LeaseAction LeaseMonitor::Observe(
    const std::optional<records::LeaseRecord>& row, base::TimePoint now) {
  if (!row || row->holder.empty()) {
    return LeaseAction::kAcquire;
  }
  if (row->token == m_token) {
    return LeaseAction::kRenew;
  }
  if (m_observed_row != row) {
    m_observed_row = row;
    m_observed_since = now;
    return LeaseAction::kWait;
  }
  const auto time_to_live =
      std::chrono::milliseconds(row->time_to_live_milliseconds);
  return now - m_observed_since > time_to_live ? LeaseAction::kAcquire
                                               : LeaseAction::kWait;
}

}  // namespace shallotwick::fleet
