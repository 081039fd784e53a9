#include "load_monitor.h"

#include <utility>

#include "base/log.h"
#include "base/log_catalogue.h"

namespace shallotwick::scheduler {
namespace {

// A load that takes longer is logged, and again at this interval.
constexpr auto kSlowLoadTime = std::chrono::milliseconds(2'000);
// Another host may be served although this one is not.
constexpr auto kMaxStallTime = std::chrono::milliseconds(6'000);
// A single page may take longer than that on a narrow link.
constexpr int kMinFailuresOfStall = 3;

std::string GetMilliseconds(base::Duration time) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

}  // namespace

LoadMonitor::LoadMonitor(base::MetricRegistry& metrics, std::string pool,
                         base::TimePoint started)
    : m_metrics(metrics),
      m_pool(std::move(pool)),
      m_started(started),
      m_last_page(started),
      m_next_log(started + kSlowLoadTime) {}

void LoadMonitor::SetStep(const char* step) { m_step = step; }

void LoadMonitor::OnPage(const storage::RowReadResult& page,
                         base::TimePoint now) {
  const base::MetricLabels labels = {
      {"step", m_step}, {"result", page.is_read ? "read" : "failed"}};
  m_metrics.GetCounter("shallotwick_pool_load_pages_total", labels).Increment();
  if (!page.is_read) {
    ++m_failures;
    ++m_failures_since_page;
    m_last_error = page.error;
    return;
  }
  ++m_pages;
  m_failures_since_page = 0;
  m_rows += page.rows.size();
  m_last_page = now;
}

void LoadMonitor::Check(base::TimePoint now) {
  if (now < m_next_log) {
    return;
  }
  m_next_log = now + kSlowLoadTime;
  base::Log(base::events::kPoolLoadSlow,
            {{"pool", m_pool},
             {"step", m_step},
             {"age_ms", GetMilliseconds(now - m_started)},
             {"since_page_ms", GetMilliseconds(now - m_last_page)},
             {"pages", std::to_string(m_pages)},
             {"rows", std::to_string(m_rows)},
             {"failures", std::to_string(m_failures)},
             {"error", m_last_error}});
}

bool LoadMonitor::IsStalled(base::TimePoint now) const {
  return now >= m_last_page + kMaxStallTime &&
         m_failures_since_page >= kMinFailuresOfStall;
}

}  // namespace shallotwick::scheduler
