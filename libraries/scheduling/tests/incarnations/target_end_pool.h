#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "scheduling/pool_scheduler.h"

namespace shallotwick::scheduling::testing {

inline constexpr int64_t kFirstBornMs = 1'000'000;
inline constexpr int64_t kSecondBornMs = 1'002'000;
inline constexpr char kFirstAddress[] = "10.0.0.1:1";

// A pool of two targets and a job of one task, which is present on one of them.
class TargetEndPool {
 public:
  TargetEndPool();

  // Returns an entry of the target that has the run.
  TargetEntry MakeEntry(const std::string& address, int64_t born_ms) const;
  // Passes time and returns the decisions.
  PoolOrders Decide(base::Duration passed = std::chrono::milliseconds(60));
  // Answers all report orders; the target of the run lists `running`.
  void AnswerReports(int64_t born_ms, const std::vector<ReportedRun>& running);
  // Answers the report orders of the target of the run with `outcome`.
  void FailReports(OrderOutcome outcome);
  ReportedRun GetRun() const { return {m_start.task, m_start.run, "", 10, 0}; }
  size_t CountRuns() const { return m_pool.CountRuns(m_start.target); }

  base::TimePoint m_now{std::chrono::seconds(1'000)};
  PoolScheduler m_pool;
  // The start of the run.
  StartOrder m_start;
  std::vector<WrongTargetEnd> m_wrong_ends;

 private:
  TargetReport MakeReport() const;
};

}  // namespace shallotwick::scheduling::testing
