#pragma once

#include <atomic>
#include <cstdint>

namespace shallotwick::routing {

// Bounds retries to a tenth of the first sends, with a small reserve for quiet
// times. Safe to use from several threads.
class RetryBudget {
 public:
  void RecordFirstSend();
  // Takes one retry out of the budget, if there is one.
  bool TrySpend();

 private:
  // A retry costs what so many first sends earn.
  static constexpr int64_t kSendsPerRetry = 10;
  static constexpr int64_t kMostSaved = 10 * kSendsPerRetry;

  std::atomic<int64_t> m_earned{kMostSaved};
};

}  // namespace shallotwick::routing
