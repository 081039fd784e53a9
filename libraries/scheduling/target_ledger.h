#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/runtime_clock.h"
#include "scheduling/target_messages.h"

namespace shallotwick::scheduling {

enum class RunState {
  // The start order was sent; no response has been received yet.
  kStarting,
  // The start order got no response; the target may still execute it at any
  // time.
  kUncertain,
  kPresent,
  // A stop was requested; the run occupies its resources until the target no
  // longer lists it.
  kStopping,
};

// Targets' clocks may be up to 2% slow; one more percent covers rounding.
inline constexpr double kMaxClockSlownessFactor = 1.03;

// Returns the name of a state for the log.
const char* NameOf(RunState state);

// The owner's view of a run.
struct Run {
  int64_t number = 0;
  RunState state = RunState::kStarting;
  // The fencing token of the start order.
  uint64_t fence = 0;
  // Whether the current incarnation has listed the run. A run that was not
  // listed may have been started by an earlier or a later incarnation, or not
  // at all.
  bool is_listed = false;
  Resources demand;
  // The number of the customer in the CustomerBudget.
  int customer = 0;
  // False for an adopted run whose job is unknown.
  bool is_demand_known = true;
  bool best_effort = false;
  int64_t latency_target_ms = 0;
  std::string checkpoint;
  // The run did not start from the beginning of its task, or may not have done
  // so. Its run time is then not representative.
  bool is_resumed = false;
  int percent = 0;
  int64_t load = 0;
  int paced_percent = 100;
  base::TimePoint started;
  // When the state last changed.
  base::TimePoint last_state_change;
  // When the percentage last increased or the checkpoint last changed.
  base::TimePoint last_progress;
  // When the target accepted the stop.
  std::optional<base::TimePoint> stop_accepted;
  bool is_stop_in_flight = false;

  auto operator<=>(const Run&) const = default;
};

// Returns a new run. `step` is null if its job is unknown.
Run MakeRun(int64_t number, const StepSpec* step, base::TimePoint now);

// The owner's view of a target: the runs that may be present, the capacity, and
// the latest time at which the target's lease may expire.
class TargetLedger {
 public:
  explicit TargetLedger(TargetEntry entry);

  const TargetEntry& GetEntry() const { return m_entry; }
  const std::map<TaskName, Run>& GetRuns() const { return m_runs; }
  std::map<TaskName, Run>& GetRuns() { return m_runs; }

  // Returns the target's capacity less the resources of all runs that may be
  // present.
  Resources GetFreeCapacity() const;
  // Returns whether a run of unknown demand may be present.
  bool HasUnknownDemand() const;

  // Returns a time that the target's clock has reached for certain, from the
  // last observation. HasClock() must be true.
  int64_t EstimateClockMs(base::TimePoint now) const;
  void ObserveClock(int64_t clock_ms, base::TimePoint now);
  // Returns the time by which all leases that this or a previous owner granted
  // have expired and all runs under them have ended.
  base::TimePoint GetLeaseBound() const;
  void ExtendLeaseBound(base::TimePoint bound);
  // The same for runs that the current incarnation has not listed: a later one,
  // for whose clock the lease was not granted, may have started them.
  void ExtendUnlistedLeaseBound(base::TimePoint bound);
  void CopyLeaseBounds(const TargetLedger& other);
  // Returns whether a report was received within `age`, without having waited
  // for long in a buffer or on the way.
  bool HasReportWithin(base::Duration age, base::TimePoint now) const;
  bool HasClock() const { return m_clock_ms.has_value(); }

  TargetEntry m_entry;
  // Whether the registry lists the target.
  bool m_is_registered = true;
  // The fencing token of the next order to the target.
  uint64_t m_fence = 0;
  // A report order with this token or a higher one has to be answered before
  // the target receives runs.
  uint64_t m_required_fence = 0;
  // Whether any incarnation of the target has answered a report order of this
  // ownership.
  bool m_has_answered_owner = false;
  // Whether the target has answered such a report order.
  bool m_has_accepted_token = false;
  // Whether the current incarnation has sent a report while no other host could
  // have become the owner.
  bool m_was_met_by_confirmed_owner = false;
  // Whether the target's roster entry is stored durably.
  bool m_is_in_roster = false;
  // False if reports were missed, until the next one is received.
  bool m_is_responsive = true;
  // The number of consecutive missed reports.
  int m_missed_reports = 0;
  // No new runs are placed on the target because work on its host is planned.
  bool m_is_cordoned = false;
  // An operation that ends all runs on the target may be in progress.
  bool m_is_leaving = false;
  int64_t m_reported_born_ms = 0;
  // The address at which the current incarnation has last answered this owner;
  // empty if it has not.
  std::string m_answered_address;
  // Distinguishes incarnations of targets, including those with the same id.
  uint64_t m_generation = 0;
  int64_t m_processed_completion = 0;
  // Completions up to this number are stored, so the target may discard them;
  // sent with the next report order.
  int64_t m_acknowledged_completion = 0;
  bool m_has_unsent_acknowledgement = false;
  // Whether the last report order left out an acknowledgement.
  bool m_lacks_acknowledgement = false;
  base::TimePoint m_suspended_until;
  // After failures that are its fault the target receives no tasks at first,
  // then long-running tasks alone.
  base::TimePoint m_quarantined_since;
  base::TimePoint m_quarantined_until;
  // What speaks against the target: FailureEvidence::CountPoints.
  int m_failure_points = 0;
  // When a report was last received, or the last attempt to get one failed.
  base::TimePoint m_last_report_attempt;
  // When a report was last received, and when it was ordered. The target may
  // have created it at any time in between.
  base::TimePoint m_last_report_received;
  base::TimePoint m_last_report_ordered;
  base::TimePoint m_last_paced;
  // Until then, a start without a response might still be executed by a later
  // incarnation. Reports are requested all the time, to notice a restart.
  base::TimePoint m_watched_until;

 private:
  std::map<TaskName, Run> m_runs;
  base::TimePoint m_lease_bound;
  base::TimePoint m_unlisted_lease_bound;
  std::optional<int64_t> m_clock_ms;
  base::TimePoint m_clock_observed;
};

}  // namespace shallotwick::scheduling
