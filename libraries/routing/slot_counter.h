#pragma once

#include <atomic>

namespace shallotwick::routing {

// The slots of one resource that this gateway uses and may use. Safe to use
// from several threads.
class SlotCounter {
 public:
  // Takes a slot if fewer than the allowance are in use.
  bool TryAcquire();
  // Gives a slot back.
  void Release() { m_in_use.fetch_sub(1); }
  int GetInUse() const { return m_in_use.load(); }

  // The slots that this gateway may use at once.
  void SetAllowance(int allowance) { m_allowance.store(allowance); }
  int GetAllowance() const { return m_allowance.load(); }

 private:
  std::atomic<int> m_in_use{0};
  std::atomic<int> m_allowance{0};
};

}  // namespace shallotwick::routing
