#pragma once

#include <string>

#include "fleet/lease_keeper.h"
#include "storage/table_service.h"

namespace shallotwick::controller {

// Takes and renews the controller's lease in the table service.
class LeaseHolder {
 public:
  LeaseHolder(storage::TableService& table, std::string holder,
              base::Duration time_to_live, base::Duration renewal_period);

  // Reads the row, and takes or renews the lease if that is due. Returns
  // whether it is held. Throws storage::Unavailable.
  bool Advance(base::TimePoint now);

  // Gives the lease up, so that another may take it at once.
  void GiveUp();

  bool IsHeld() const { return m_held; }
  // Fences the holder's transactions.
  const std::string& GetToken() const { return m_token; }

 private:
  bool Write(uint64_t generation, uint64_t renewal, const std::string& holder);
  void Lose();

  storage::TableService& m_table;
  std::string m_holder;
  base::Duration m_time_to_live;
  base::Duration m_renewal_period;
  std::string m_token;
  fleet::LeaseKeeper m_keeper;
  bool m_held = false;
  base::TimePoint m_renewed_at;
};

}  // namespace shallotwick::controller
