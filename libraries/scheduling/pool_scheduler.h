#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "base/runtime_clock.h"
#include "hosts/capacity_need.h"
#include "scheduling/active_job.h"
#include "scheduling/change_queue.h"
#include "scheduling/placement.h"
#include "scheduling/target_ledger.h"
#include "scheduling/target_messages.h"

namespace shallotwick::scheduling {

struct PoolSchedulerOptions {
  // Rises with every ownership of the pool; targets refuse lower ones.
  uint64_t fence = 0;
  // The first run number of this ownership, above those of earlier ones.
  int64_t first_run = 1;
  // Granted to a target with each order and report.
  base::Duration lease = std::chrono::seconds(5);
  // The longest a target takes to end a run after a stop or a lapse.
  base::Duration longest_stop = std::chrono::milliseconds(1'000);
};

struct PoolOrders {
  std::vector<StartOrder> starts;
  std::vector<StopOrder> stops;
  std::vector<PaceOrder> paces;
};

// A job's progress that is to be stored.
struct ProgressChange {
  std::string job;
  JobProgress progress;

  auto operator<=>(const ProgressChange&) const = default;
};

// A decision worth a log line: what was decided of which task, and why.
struct SchedulingNote {
  std::string what;
  TaskName task;
  int64_t run = 0;
  std::string target;
  std::string reason;
};

// Schedules the jobs of one pool on its targets. Holds no clock, no socket and
// no thread: facts and the time go in, orders and records to store come out.
//
// What runs where is learnt from the targets' own reports. A run whose fate is
// open counts as present, with its capacity, until a report, an accepted stop
// or the end of the target's lease settles it.
class PoolScheduler {
 public:
  explicit PoolScheduler(const PoolSchedulerOptions& options);

  // Told of each decision; for the log.
  std::function<void(const SchedulingNote&)> m_on_note;

  void SetRoutes(std::map<std::string, RoutePolicy> routes);

  // `predates_ownership`: an earlier owner may have started its tasks.
  void AddJob(JobSpec spec, const JobProgress& progress,
              bool predates_ownership);
  void CancelJob(const std::string& id);
  bool HasJob(const std::string& id) const { return m_jobs.count(id) > 0; }
  // Whether the job is held and has not ended.
  bool IsActive(const std::string& id) const;
  size_t GetJobCount() const { return m_jobs.size(); }
  // Jobs of which no task has started, by route.
  std::map<std::string, int64_t> CountQueuedByRoute() const;

  // A target to which an earlier owner granted a lease. Call before any
  // UpdateTarget.
  void ExpectTarget(const TargetEntry& entry, base::TimePoint now);
  void UpdateTarget(const TargetEntry& entry, base::TimePoint now);
  // The registry no longer lists it. It may run on until its lease ends.
  void RemoveTarget(const std::string& id, base::TimePoint now);
  // The target has certainly ended, and all its runs with it.
  void OnTargetDead(const std::string& id);
  // Targets that have given no report since `since`, and may run something.
  std::vector<std::string> ListSilentTargets(base::TimePoint since) const;
  // The targets that may be running something; to be stored before the first
  // start on any of them.
  std::map<std::string, std::string> GetRoster() const;
  void ConfirmRoster(const std::map<std::string, std::string>& roster);

  // Reports to ask for now. Each is in flight until OnReport.
  std::vector<ReportOrder> TakeReportOrders(base::TimePoint now);
  void OnReport(const ReportOrder& order, base::TimePoint sent,
                base::TimePoint now, const TargetReport& report);
  void OnReportFailed(const ReportOrder& order, OrderOutcome outcome,
                      base::TimePoint now);

  PoolOrders Decide(base::TimePoint now, int64_t wall_ms);
  void OnStartResult(const StartOrder& order, const OrderResult& result,
                     base::TimePoint now);
  void OnStopResult(const StopOrder& order, const OrderResult& result,
                    base::TimePoint now);
  void OnPaceResult(const PaceOrder& order, const OrderResult& result);

  bool HasChanges() const { return !m_changes.IsEmpty(); }
  // Changes that the next batch could hold.
  size_t CountReadyChanges() const { return m_changes.CountReady(); }
  // Whether a change waits that someone asks for: an end or a final state.
  bool HasUrgentChanges() const { return m_has_urgent_change; }
  // Takes up to `most` changes. Several batches may be under way.
  std::vector<ProgressChange> TakeChanges(size_t most);
  void OnCommitted(const std::vector<ProgressChange>& batch);
  void OnCommitFailed(const std::vector<ProgressChange>& batch);

  // Planned work: keeps new runs off a target, and tells whether ending all
  // that runs there keeps every disruption budget.
  void SetCordoned(const std::string& id, bool cordoned);
  // Whether all that runs on the target is known from its own report.
  bool IsAccountedFor(const std::string& id) const;
  // While it leaves, its runs count as interrupted.
  void SetLeaving(const std::string& id, bool leaving);
  bool CanInterrupt(const std::string& id) const;
  // Stops long-running tasks of a target as far as the budgets allow, so that
  // they start elsewhere; again and again it frees the target of them.
  void Evacuate(const std::string& id);
  size_t CountRuns(const std::string& id) const;
  size_t CountShortRuns(const std::string& id) const;

  // A target refused an order since another owner acts.
  bool IsSuperseded() const { return m_is_superseded; }
  const std::map<std::string, TargetLedger>& GetTargets() const {
    return m_targets;
  }
  // What the jobs ask of the pool; the forecast and the cores of a host are the
  // caller's to add.
  hosts::PoolLoad EstimateLoad(base::TimePoint now, int64_t wall_ms) const;
  // The work that a job brings, by what is known of its route.
  double PredictCoreSeconds(const JobSpec& job) const {
    return EstimateCoreSeconds(job, m_run_times.GetCorrection(job.route));
  }

 private:
  using Position = std::pair<int, int>;

  // How many tasks of a step are not at work, those on `id` left aside.
  int CountAway(const ActiveJob& job, int occurrence, int step,
                const std::string& id) const;
  bool IsLongRunning(const TaskName& name) const;
  // The long-running runs on a target by job, occurrence and step.
  std::map<std::tuple<std::string, int, int>, std::vector<TaskName>>
  GroupLongRuns(const std::string& id) const;
  TargetLedger* FindTarget(const std::string& id);
  ActiveJob* FindJob(const std::string& id);
  ActiveTask* FindTask(const TaskName& name);

  void ForgetIncarnation(TargetLedger& target);
  void LoseRuns(TargetLedger& target);
  void LoseExpiredTargets(base::TimePoint now);
  void ApplyEnds(TargetLedger& target, const TargetReport& report,
                 base::TimePoint now);
  void ApplyEnd(TargetLedger& target, const ReportedEnd& end,
                base::TimePoint now);
  void ApplyFailure(TargetLedger& target, const ReportedEnd& end,
                    ActiveJob& job, ActiveTask& task);
  void ApplyRunning(TargetLedger& target, const ReportedRun& reported,
                    base::TimePoint now);
  void AdoptRun(TargetLedger& target, const ReportedRun& reported,
                base::TimePoint now);
  void SettleMissingRuns(TargetLedger& target, const TargetReport& report,
                         base::TimePoint sent);
  void ExtendLeaseBound(TargetLedger& target, base::TimePoint now);
  // Returns the end of a new lease by the target's clock.
  int64_t GrantLease(TargetLedger& target, base::TimePoint now);
  void MarkDone(ActiveJob& job, const TaskName& name);
  void EndJob(ActiveJob& job, JobState state);
  void ReleaseTask(const TaskName& name, const std::string& target,
                   int64_t run);
  void DropRun(TargetLedger& target, const TaskName& name);
  void RequestStop(TargetLedger& target, const TaskName& name);
  void StopStalledRuns(base::TimePoint now);
  base::Duration GetExpectedTime(const ActiveJob& job, int step) const;
  void LearnRunTime(const ActiveJob& job, int step, const Run& run,
                    base::TimePoint now);
  void AcknowledgeStoredEnds();

  bool IsUsable(const TargetLedger& target, base::TimePoint now) const;
  bool IsAnyUnfenced(base::TimePoint now) const;
  bool NeedsReport(const TargetLedger& target, base::TimePoint now) const;
  std::vector<Candidate> MakeCandidates(base::TimePoint now) const;
  QueueRank Rank(const ActiveJob& job, const RunTimeCorrection& correction,
                 int64_t wall_ms) const;
  std::vector<ActiveJob*> RankWaitingJobs(base::TimePoint now, int64_t wall_ms);
  void StartWaitingTasks(base::TimePoint now, int64_t wall_ms,
                         PoolOrders& orders);
  bool StartStep(ActiveJob& job, Position position,
                 std::vector<Candidate>& candidates, base::TimePoint now,
                 PoolOrders& orders);
  std::set<std::string> FindTargetsOf(const TaskName& name) const;
  StartOrder StartTask(ActiveJob& job, const TaskName& name,
                       TargetLedger& target, int64_t run, base::TimePoint now);
  void SendStops(base::TimePoint now, PoolOrders& orders);
  void PaceBestEffortRuns(base::TimePoint now, PoolOrders& orders);
  void Note(const char* what, const TaskName& task, int64_t run,
            const std::string& target, const char* reason) const;

  PoolSchedulerOptions m_options;
  std::map<std::string, RoutePolicy> m_routes;
  std::map<std::string, ActiveJob> m_jobs;
  std::map<std::string, TargetLedger> m_targets;
  // Targets with a report in flight.
  std::set<std::string> m_reporting;
  std::set<std::pair<std::string, TaskName>> m_stopping;
  ChangeQueue m_changes;
  uint64_t m_generations = 0;
  RunTimeModel m_run_times;
  base::TimePoint m_last_stall_check;
  // Something has changed that may let a task start.
  bool m_may_start_more = true;
  base::TimePoint m_last_placement;
  bool m_has_urgent_change = false;
  bool m_is_superseded = false;
};

}  // namespace shallotwick::scheduling
