#pragma once

#include <optional>
#include <string>

#include "base/runtime_clock.h"
#include "records/control_records.h"

namespace shallotwick::fleet {

enum class LeaseAction {
  // Another holder is renewing the lease.
  kWait,
  // The lease is free, or its holder has not renewed it within the time to
  // live.
  kAcquire,
  kRenew,
};

// Decides from successive reads of a lease's row whether to wait, acquire or
// renew. Clocks of different hosts are never compared: a lease has expired when
// its row stays unchanged for the time to live by the observer's own clock.
class LeaseMonitor {
 public:
  // `token` identifies one tenure of the lease. A holder that has lost the
  // lease uses a new token to acquire it again.
  explicit LeaseMonitor(std::string token);

  LeaseAction Observe(const std::optional<records::LeaseRecord>& row,
                      base::TimePoint now);

 private:
  std::string m_token;
  std::optional<records::LeaseRecord> m_observed_row;
  base::TimePoint m_observed_since;
};

}  // namespace shallotwick::fleet
