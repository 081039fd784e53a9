#pragma once

#include <string>

#include "base/runtime_clock.h"
#include "scheduling/customer_budget.h"

namespace shallotwick::scheduler {

// Logs from time to time which customers use the most of a pool.
class CustomerReport {
 public:
  explicit CustomerReport(std::string pool);

  void Update(const scheduling::CustomerBudget& budget, base::TimePoint now);

 private:
  std::string m_pool;
  base::TimePoint m_logged_at;
};

}  // namespace shallotwick::scheduler
