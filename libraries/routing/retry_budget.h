#pragma once

#include <atomic>
#include <cstdint>

namespace shallotwick::routing {

// Limits retries to a tenth of the first sends, with a small reserve for
// low-load periods. Safe to use from several threads.
class RetryBudget {
 public:
  void RecordFirstSend();
  // Takes one retry out of the budget; returns false if it is exhausted.
  bool TrySpend();

 private:
  // Each first send earns one credit; a retry costs this many.
  static constexpr int64_t kSendsPerRetry = 10;
  static constexpr int64_t kMaxCredit = 10 * kSendsPerRetry;

  std::atomic<int64_t> m_credit{kMaxCredit};
};

}  // namespace shallotwick::routing
