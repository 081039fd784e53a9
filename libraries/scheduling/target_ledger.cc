#include "scheduling/target_ledger.h"

#include <algorithm>
#include <utility>

namespace shallotwick::scheduling {
namespace {

// The maximum time from the order of a report, which the target may hold for
// half a second, to its receipt, and up to the use of the report.
constexpr auto kMaxReportTime = std::chrono::milliseconds(1'000);

}  // namespace

const char* NameOf(RunState state) {
  switch (state) {
    case RunState::kStarting:
      return "starting";
    case RunState::kUncertain:
      return "uncertain";
    case RunState::kPresent:
      return "present";
    case RunState::kStopping:
      return "stopping";
  }
  return "";
}

Run MakeRun(int64_t number, const StepSpec* step, base::TimePoint now) {
  Run run;
  run.number = number;
  run.started = now;
  run.last_state_change = now;
  run.last_progress = now;
  run.is_demand_known = step != nullptr;
  if (step != nullptr) {
    run.demand = step->demand;
    run.best_effort = step->best_effort;
    run.latency_target_ms = step->latency_target_ms;
  }
  return run;
}

TargetLedger::TargetLedger(TargetEntry entry) : m_entry(std::move(entry)) {}

Resources TargetLedger::GetFreeCapacity() const {
  Resources used;
  for (const auto& [task, run] : m_runs) {
    used = used + GetReservedResources(run.demand, run.best_effort);
  }
  return m_entry.capacity - used;
}

bool TargetLedger::HasUnknownDemand() const {
  for (const auto& [task, run] : m_runs) {
    if (!run.is_demand_known) {
      return true;
    }
  }
  return false;
}

base::TimePoint TargetLedger::GetLeaseBound() const {
  const bool has_unlisted_run =
      std::any_of(m_runs.begin(), m_runs.end(),
                  [](const auto& entry) { return !entry.second.is_listed; });
  return has_unlisted_run ? std::max(m_lease_bound, m_unlisted_lease_bound)
                          : m_lease_bound;
}

void TargetLedger::ExtendLeaseBound(base::TimePoint bound) {
  m_lease_bound = std::max(m_lease_bound, bound);
}

void TargetLedger::ExtendUnlistedLeaseBound(base::TimePoint bound) {
  m_unlisted_lease_bound = std::max(m_unlisted_lease_bound, bound);
}

void TargetLedger::CopyLeaseBounds(const TargetLedger& other) {
  m_lease_bound = other.m_lease_bound;
  m_unlisted_lease_bound = other.m_unlisted_lease_bound;
}

bool TargetLedger::HasReportWithin(base::Duration age,
                                   base::TimePoint now) const {
  return now < m_last_report_received + age &&
         now < m_last_report_ordered + kMaxReportTime;
}

int64_t TargetLedger::EstimateClockMs(base::TimePoint now) const {
  const auto since =
      std::chrono::duration<double, std::milli>(now - m_clock_observed);
  return m_clock_ms.value_or(0) +
         static_cast<int64_t>(since.count() / kMaxClockSlownessFactor);
}

void TargetLedger::ObserveClock(int64_t clock_ms, base::TimePoint now) {
  // Responses on different connections may arrive out of order.
  if (m_clock_ms && clock_ms < *m_clock_ms) {
    return;
  }
  m_clock_ms = clock_ms;
  m_clock_observed = now;
}

}  // namespace shallotwick::scheduling
