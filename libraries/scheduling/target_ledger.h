#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/runtime_clock.h"
#include "scheduling/target_messages.h"

namespace shallotwick::scheduling {

enum class RunState {
  // The start was sent and is not answered yet.
  kStarting,
  // The start got no answer: it may be carried out at any time.
  kUncertain,
  kPresent,
  // A stop was sent; the run counts until the target no longer lists it.
  kStopping,
};

// One run as its owner believes it to be.
struct Run {
  int64_t number = 0;
  RunState state = RunState::kStarting;
  Resources demand;
  // Whether `demand` is known; the job of an adopted run may be unknown.
  bool is_demand_known = true;
  bool best_effort = false;
  int64_t latency_target_ms = 0;
  std::string checkpoint;
  // It did not begin at its task's beginning, or nobody knows where.
  bool is_resumed = false;
  int percent = 0;
  int64_t load = 0;
  int paced_percent = 100;
  base::TimePoint started;
  // When its state last changed.
  base::TimePoint changed;
  // When the percentage last grew.
  base::TimePoint progressed;
  // When the target took the stop.
  std::optional<base::TimePoint> stop_accepted;
  bool is_stop_in_flight = false;

  auto operator<=>(const Run&) const = default;
};

// A run that is first known of now. `step` is null if nobody knows its job.
Run MakeRun(int64_t number, const StepSpec* step, base::TimePoint now);

// What the owner of a pool believes of one target: what may run there, what it
// offers, and until when its lease may last.
class TargetLedger {
 public:
  explicit TargetLedger(TargetEntry entry);

  const TargetEntry& GetEntry() const { return m_entry; }
  const std::map<TaskName, Run>& GetRuns() const { return m_runs; }
  std::map<TaskName, Run>& GetRuns() { return m_runs; }

  // What is left of the target's capacity, counting all that may run there.
  Resources GetRoom() const;
  // Whether something of unknown size may run there.
  bool HasUnknownDemand() const;

  // Estimates the target's clock. No report must have been missing.
  int64_t EstimateClockMs(base::TimePoint now) const;
  void ObserveClock(int64_t clock_ms, base::TimePoint now);
  bool HasClock() const { return m_clock_ms.has_value(); }

  TargetEntry m_entry;
  // The registry still lists the target.
  bool m_is_registered = true;
  // The target took this owner's fence in a report.
  bool m_is_fenced = false;
  // The target's roster entry is durable.
  bool m_is_in_roster = false;
  // The last report came in time.
  bool m_is_responsive = true;
  // Reports in a row that did not come.
  int m_missed_reports = 0;
  // No new runs, since planned work on the host is near.
  bool m_is_cordoned = false;
  // An operation that ends all its runs may be under way.
  bool m_is_leaving = false;
  int64_t m_reported_born_ms = 0;
  // Tells lives of targets apart, also those under one id.
  uint64_t m_generation = 0;
  int64_t m_processed_end = 0;
  // Stored, so that the target may forget it; sent with the next report order.
  int64_t m_acknowledged_end = 0;
  bool m_has_unsent_acknowledgement = false;
  // By then everything that this or an earlier owner leased has ended.
  base::TimePoint m_lease_bound;
  base::TimePoint m_suspended_until;
  // Runs that failed here since the last one that succeeded.
  int m_failure_streak = 0;
  // When a report last came, or was given up.
  base::TimePoint m_last_report;
  // When a report last came.
  base::TimePoint m_last_heard;
  base::TimePoint m_last_paced;

 private:
  std::map<TaskName, Run> m_runs;
  std::optional<int64_t> m_clock_ms;
  base::TimePoint m_clock_observed;
};

}  // namespace shallotwick::scheduling
