#pragma once

#include <optional>
#include <string>

#include "base/runtime_clock.h"
#include "records/control_records.h"

namespace shallotwick::fleet {

enum class LeaseStep {
  // Another holder renews its lease.
  kWait,
  // The lease is free, or its holder has not renewed it for its time to live.
  kAcquire,
  kRenew,
};

// Decides on a lease from what is read of its row, without comparing clocks
// between hosts: a holder is gone when its row stands still for the time to
// live by the observer's own clock.
class LeaseKeeper {
 public:
  // `token` names this holder's possession; a holder that lost the lease comes
  // back with a new one.
  explicit LeaseKeeper(std::string token);

  LeaseStep Observe(const std::optional<records::LeaseRecord>& row,
                    base::TimePoint now);

 private:
  std::string m_token;
  std::optional<records::LeaseRecord> m_seen;
  base::TimePoint m_seen_since;
};

}  // namespace shallotwick::fleet
