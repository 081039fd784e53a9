#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "base/metrics.h"
#include "customers/share_planner.h"
#include "storage/row_store.h"

namespace shallotwick::scheduler {

// Keeps the shares that a pool has of its customers' limits in the store. All
// changes depend on the row of the pool's owner, so that an owner that has been
// replaced changes none.
class LimitKeeper {
 public:
  LimitKeeper(storage::RowStore& store, base::MetricRegistry& metrics,
              std::string pool, uint64_t owner_version);

  // Called when the allowances have changed.
  std::function<void()> m_on_change = [] {};

  void SetCustomers(const customers::CustomerRegistry& customers);
  std::map<std::string, customers::Allowance> GetAllowances() const {
    return m_planner.GetAllowances();
  }
  // Takes and returns shares as needed. `may_reduce`: all runs of former owners
  // are known.
  void Update(const std::map<std::string, customers::CustomerNeed>& needs,
              bool may_reduce, base::TimePoint now);

 private:
  void Commit(const std::vector<customers::ShareChange>& changes);
  void OnCommitted(const storage::RowCommitResult& result);
  void ReadDivisions(const std::vector<std::string>& customers);
  void ReadDivision(const std::string& customer);
  void OnRead(const std::set<std::string>& customers,
              const storage::RowReadResult& result);
  // Logs customers that begin or cease to wait for their limit.
  void LogWaits(const std::map<std::string, customers::CustomerNeed>& needs,
                base::TimePoint now);

  storage::RowStore& m_store;
  base::MetricRegistry& m_metrics;
  std::string m_pool;
  uint64_t m_owner_version = 0;
  customers::SharePlanner m_planner;
  base::TimePoint m_updated_at;
  base::TimePoint m_waits_logged_at;
  std::set<std::string> m_waiting;
  base::Lifetime m_lifetime;
};

}  // namespace shallotwick::scheduler
