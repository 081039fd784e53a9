#pragma once

#include <string>

#include "fleet/lease_monitor.h"
#include "storage/table_service.h"

namespace shallotwick::controller {

// Acquires and renews the controller's lease in the table service.
class LeaseHolder {
 public:
  LeaseHolder(storage::TableService& table, std::string holder,
              base::Duration time_to_live, base::Duration renewal_period);

  // Acquires the lease if it is free or has expired, and renews it when renewal
  // is due. Returns whether the lease is held. Throws storage::Unavailable.
  bool AcquireOrRenew(base::TimePoint now);

  // Releases the lease so that another controller can acquire it immediately.
  void ReleaseLease();

  bool IsHeld() const { return m_held; }
  // The fencing token that the holder's transactions are conditional on.
  const std::string& GetToken() const { return m_token; }

 private:
  bool Write(uint64_t generation, uint64_t renewal, const std::string& holder);
  void DropLease();

  storage::TableService& m_table;
  std::string m_holder;
  base::Duration m_time_to_live;
  base::Duration m_renewal_period;
  std::string m_token;
  fleet::LeaseMonitor m_lease_monitor;
  bool m_held = false;
  base::TimePoint m_renewed_at;
};

}  // namespace shallotwick::controller
