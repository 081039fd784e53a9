#include "routing/slot_counter.h"

namespace shallotwick::routing {

bool SlotCounter::TryAcquire() {
  int in_use = m_in_use.load();
  while (in_use < m_allowance.load()) {
    if (m_in_use.compare_exchange_weak(in_use, in_use + 1)) {
      return true;
    }
  }
  return false;
}

}  // namespace shallotwick::routing
