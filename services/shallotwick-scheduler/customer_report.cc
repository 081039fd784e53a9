#include "customer_report.h"

#include <cmath>
#include <utility>

#include "base/log.h"
#include "base/log_catalogue.h"

namespace shallotwick::scheduler {
namespace {

constexpr auto kLogPeriod = std::chrono::seconds(5);
constexpr size_t kMaxCustomers = 3;

std::string FormatPercent(double share) {
  constexpr double kPercent = 100;
  return std::to_string(std::lround(share * kPercent));
}

}  // namespace

CustomerReport::CustomerReport(std::string pool) : m_pool(std::move(pool)) {}

void CustomerReport::Update(const scheduling::CustomerBudget& budget,
                            base::TimePoint now) {
  if (now < m_logged_at + kLogPeriod) {
    return;
  }
  m_logged_at = now;
  for (const scheduling::CustomerUse& use : budget.ListLargest(kMaxCustomers)) {
    base::Log(base::events::kCustomerUse,
              {{"pool", m_pool},
               {"customer", use.customer},
               {"jobs", std::to_string(use.jobs)},
               {"cpu", std::to_string(use.used.cpu_milli)},
               {"memory", std::to_string(use.used.memory_mb)},
               {"used_percent", FormatPercent(use.used_share)},
               {"share_percent", FormatPercent(use.fair_share)}});
  }
}

}  // namespace shallotwick::scheduler
