#include "routing/retry_budget.h"

namespace shallotwick::routing {

void RetryBudget::RecordFirstSend() {
  int64_t credit = m_credit.load();
  while (credit < kMaxCredit &&
         !m_credit.compare_exchange_weak(credit, credit + 1)) {
  }
}

bool RetryBudget::TrySpend() {
  int64_t credit = m_credit.load();
  while (credit >= kSendsPerRetry) {
    if (m_credit.compare_exchange_weak(credit, credit - kSendsPerRetry)) {
      return true;
    }
  }
  return false;
}

}  // namespace shallotwick::routing
