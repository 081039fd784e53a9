#pragma once

#include <string>

#include "base/metrics.h"
#include "base/runtime_clock.h"
#include "storage/row_store.h"

namespace shallotwick::scheduler {

// Follows the load of a pool after a takeover and reports a load that takes
// long.
class LoadMonitor {
 public:
  LoadMonitor(base::MetricRegistry& metrics, std::string pool,
              base::TimePoint started);

  // The step that is in progress: roster, progress or jobs.
  void SetStep(const char* step);
  // Counts a page that was read, or one that was not.
  void OnPage(const storage::RowReadResult& page, base::TimePoint now);
  // Logs a load that takes long, at intervals.
  void Check(base::TimePoint now);
  // Returns whether pages have failed for so long that another host may do
  // better.
  bool IsStalled(base::TimePoint now) const;

 private:
  base::MetricRegistry& m_metrics;
  std::string m_pool;
  const char* m_step = "roster";
  base::TimePoint m_started;
  base::TimePoint m_last_page;
  base::TimePoint m_next_log;
  size_t m_pages = 0;
  size_t m_rows = 0;
  size_t m_failures = 0;
  int m_failures_since_page = 0;
  std::string m_last_error;
};

}  // namespace shallotwick::scheduler
