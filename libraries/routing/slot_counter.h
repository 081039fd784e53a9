#pragma once

#include <atomic>

namespace shallotwick::routing {

// Counts the slots of one resource that this gateway uses, limited by its
// allowance. Safe to use from several threads.
class SlotCounter {
 public:
  // Acquires a slot if fewer than the allowance are in use.
  bool TryAcquire();
  void Release() { m_in_use.fetch_sub(1); }
  int GetInUse() const { return m_in_use.load(); }

  // Sets the number of slots that this gateway may use at the same time.
  void SetAllowance(int allowance) { m_allowance.store(allowance); }
  int GetAllowance() const { return m_allowance.load(); }

 private:
  std::atomic<int> m_in_use{0};
  std::atomic<int> m_allowance{0};
};

}  // namespace shallotwick::routing
