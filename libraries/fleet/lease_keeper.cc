#include "fleet/lease_keeper.h"

#include <utility>

namespace shallotwick::fleet {

LeaseKeeper::LeaseKeeper(std::string token) : m_token(std::move(token)) {}

LeaseStep LeaseKeeper::Observe(const std::optional<records::LeaseRecord>& row,
                               base::TimePoint now) {
  if (!row || row->holder.empty()) {
    return LeaseStep::kAcquire;
  }
  if (row->token == m_token) {
    return LeaseStep::kRenew;
  }
  if (m_observed_row != row) {
    m_observed_row = row;
    m_observed_since = now;
    return LeaseStep::kWait;
  }
  const auto time_to_live =
      std::chrono::milliseconds(row->time_to_live_milliseconds);
  return now - m_observed_since > time_to_live ? LeaseStep::kAcquire
                                               : LeaseStep::kWait;
}

}  // namespace shallotwick::fleet
