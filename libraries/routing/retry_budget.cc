#include "routing/retry_budget.h"

namespace shallotwick::routing {

void RetryBudget::RecordFirstSend() {
  int64_t earned = m_earned.load();
  while (earned < kMostSaved &&
         !m_earned.compare_exchange_weak(earned, earned + 1)) {
  }
}

bool RetryBudget::TrySpend() {
  int64_t earned = m_earned.load();
  while (earned >= kSendsPerRetry) {
    if (m_earned.compare_exchange_weak(earned, earned - kSendsPerRetry)) {
      return true;
    }
  }
  return false;
}

}  // namespace shallotwick::routing
