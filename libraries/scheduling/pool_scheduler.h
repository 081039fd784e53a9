#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "base/runtime_clock.h"
#include "customers/arrival_rates.h"
#include "hosts/capacity_demand.h"
#include "scheduling/active_job.h"
#include "scheduling/change_queue.h"
#include "scheduling/customer_budget.h"
#include "scheduling/ended_targets.h"
#include "scheduling/failure_evidence.h"
#include "scheduling/placement.h"
#include "scheduling/placement_pass.h"
#include "scheduling/pool_scheduler_types.h"
#include "scheduling/start_window.h"
#include "scheduling/step_fit.h"
#include "scheduling/stop_queue.h"
#include "scheduling/target_ledger.h"
#include "scheduling/target_messages.h"
#include "scheduling/wait_log.h"

namespace shallotwick::scheduling {

// Schedules the jobs of one pool on its targets. It has no clock, sockets or
// threads of its own: callers pass in events and the current time, and receive
// the orders to send and the records to store.
//
// The runs on each target are learned from the reports of the target. A run
// whose state is uncertain counts as present and occupies its resources until a
// report, an accepted stop or the expiry of the target's lease resolves it.
class PoolScheduler {
 public:
  explicit PoolScheduler(const PoolSchedulerOptions& options);

  // Called for each scheduling decision; used for logging.
  std::function<void(const SchedulingDecision&)> m_on_decision;
  // Called for a report of a target that was counted as ended; used for
  // logging.
  std::function<void(const WrongTargetEnd&)> m_on_wrong_target_end;

  // Whether an order of a former owner may still end all runs on the host.
  std::function<bool(const std::string& host)> m_may_host_be_leaving =
      [](const std::string&) { return false; };

  void SetRoutes(std::map<std::string, RoutePolicy> routes);

  // `predates_ownership`: a previous owner may have started tasks of the job.
  void AddJob(JobSpec spec, const JobProgress& progress,
              bool predates_ownership);
  void CancelJob(const std::string& id);
  bool HasJob(const std::string& id) const { return m_jobs.count(id) > 0; }
  // Returns whether the job is known and has not ended.
  bool IsActive(const std::string& id) const;
  // Returns the state of a job that has not ended or whose end is not stored.
  std::optional<JobState> FindState(const std::string& id) const;
  size_t GetJobCount() const { return m_jobs.size(); }
  // Returns the number of jobs of each route of which no task has started.
  std::map<std::string, int64_t> CountQueuedByRoute() const;

  // Adds a target to which a previous owner granted a lease. Must be called
  // before the first UpdateTarget. `may_have_restarted`: the previous owner may
  // not have noticed a restart.
  void AddRosterTarget(const TargetEntry& entry, base::TimePoint now,
                       bool may_have_restarted = false);
  void UpdateTarget(const TargetEntry& entry, base::TimePoint now);
  // Handles the removal of a target from the registry. Runs on it may continue
  // until its lease expires.
  void RemoveTarget(const std::string& id, base::TimePoint now);
  // Handles the confirmed end of a target, and with it the end of all its runs.
  // `reason` is used for logging.
  void OnTargetEnded(const std::string& id, const char* reason);
  // Returns the unresponsive targets without a report since `since` that may
  // have runs.
  std::vector<std::string> ListUnresponsiveTargets(base::TimePoint since) const;
  // Returns the addresses of the targets that may have runs, by id: those that
  // have answered this owner, and those of the previous owner's roster until
  // its leases have ended. The roster must be stored before the first start on
  // any of them.
  std::map<std::string, std::string> GetRoster() const;
  void ConfirmRoster(const std::map<std::string, std::string>& roster);
  // Returns whether a target receives no tasks until a roster with it is
  // confirmed.
  bool NeedsRoster() const;

  // Returns the reports to request now. Each request is in flight until
  // OnReport or OnReportFailed.
  std::vector<ReportOrder> CreateReportOrders(base::TimePoint now);
  void OnReport(const ReportOrder& order, base::TimePoint sent,
                base::TimePoint now, const TargetReport& report);
  void OnReportFailed(const ReportOrder& order, OrderOutcome outcome,
                      base::TimePoint now);

  // Sets the time by which all leases must end that are granted from now on.
  void SetLeaseLimit(base::TimePoint limit) { m_lease_limit = limit; }
  // Sets whether no other host can have become the owner. While one can, tasks
  // start only on incarnations that were met before: another owner's fencing
  // token shuts out this one there, but is unknown to later incarnations.
  void SetOwnershipConfirmed(bool confirmed) {
    m_is_ownership_confirmed = confirmed;
  }
  PoolOrders Decide(base::TimePoint now, int64_t wall_ms);

  // Sets the customers' weights. Jobs that were added before keep what they
  // were counted as.
  void SetCustomers(const customers::CustomerRegistry& customers);
  // Sets what each customer with a limit may use in this pool.
  void SetCustomerAllowances(
      const std::map<std::string, customers::Allowance>& allowances);
  const CustomerBudget& GetCustomerBudget() const { return m_customer_budget; }
  // Returns whether all runs are known that a previous owner may have left.
  bool AreFormerRunsKnown(base::TimePoint now) const {
    return FindTargetPendingToken(now) == nullptr;
  }
  void OnStartResult(const StartOrder& order, const OrderResult& result,
                     base::TimePoint now);
  void OnStopResult(const StopOrder& order, const OrderResult& result,
                    base::TimePoint now);
  // Returns the stops that may be sent to the target now. Called after a result
  // too: with thousands of runs to stop, a whole pass for each few takes long.
  std::vector<StopOrder> CreateStopOrders(const std::string& id,
                                          base::TimePoint now);
  void OnPaceResult(const PaceOrder& order, const OrderResult& result);

  bool HasChanges() const { return !m_changes.IsEmpty(); }
  // Returns the number of changes that the next batch could contain.
  size_t CountReadyChanges() const { return m_changes.CountReady(); }
  // Returns whether a change that another process waits for is not stored: the
  // completion of a run or the final state of a job.
  bool HasUrgentChanges() const { return m_has_urgent_change; }
  // Returns up to `max_count` changes as the next batch to store. Several
  // batches may be in flight.
  std::vector<ProgressChange> DequeueChanges(size_t max_count);
  void OnCommitted(const std::vector<ProgressChange>& batch);
  void OnCommitFailed(const std::vector<ProgressChange>& batch);
  // Leaves the changes of a job that cannot be stored out of batches until they
  // are released.
  void HoldChanges(const std::string& job) { m_changes.Hold(job); }
  void ReleaseChanges(const std::string& job);

  // Returns up to `max_count` jobs of the routes that have nothing under way:
  // no run that may be present, and no change that is not stored.
  std::vector<std::string> ListMovableJobs(const std::set<std::string>& routes,
                                           size_t max_count,
                                           base::TimePoint now) const;
  // Starts nothing of the job from now on. Returns it as another service is to
  // continue it.
  MovedJob BeginMove(const std::string& id);
  // The job has left the pool, or stays in it.
  void EndMove(const std::string& id, bool has_left);

  // For planned work on hosts. A cordoned target receives no new runs but those
  // of long-running tasks that fit on no other target, unless all targets are
  // cordoned for long; and none once it is leaving.
  void SetCordoned(const std::string& id, bool cordoned);
  // Returns whether all runs on the target are known from its own reports.
  bool AreRunsKnown(const std::string& id) const;
  // Returns whether everything that the target has reported as completed is
  // stored. Until then, the target's own list is the only durable record of it.
  bool AreCompletionsStored(const std::string& id) const;
  // Marks a target whose runs are about to be ended; they count as unavailable
  // for disruption budgets.
  void SetLeaving(const std::string& id, bool leaving);
  // Returns whether ending all runs on the target at once respects all
  // disruption budgets.
  bool CanInterrupt(const std::string& id) const;
  // Stops long-running tasks on a target that have a place elsewhere, as far as
  // their disruption budgets allow. Repeated calls remove all of them from the
  // target once there is room for them.
  void Evacuate(const std::string& id, base::TimePoint now);
  size_t CountRuns(const std::string& id) const;
  size_t CountShortRuns(const std::string& id) const;

  // Returns whether a target refused an order because another owner is active.
  bool IsSuperseded() const { return m_is_superseded; }
  const std::map<std::string, TargetLedger>& GetTargets() const {
    return m_targets;
  }
  const StartWindow& GetStartWindow() const { return m_start_window; }
  // Estimates the load that the jobs put on the pool. The caller adds the
  // forecast and the cores per host.
  hosts::PoolLoad EstimateLoad(base::TimePoint now, int64_t wall_ms) const;
  // Returns whether the step fits on a target of the pool or a host of the
  // fleet.
  bool CouldRun(const StepSpec& step) const;
  // Sets the shapes of all hosts of the fleet. Steps that fit on none of them
  // and on no target of the pool do not count as load.
  void SetFleet(const StepFit::Shapes& shapes) {
    m_fleet_fit.SetTargets(shapes);
  }
  // Predicts the work of a job in core-seconds from the recorded run times of
  // its route.
  double PredictCoreSeconds(const JobSpec& job) const;

 private:
  using StepPosition = std::pair<int, int>;

  // Returns the number of tasks of a step that are not ready. Tasks on the
  // target `id` are not counted.
  int CountUnavailable(const ActiveJob& job, int occurrence, int step,
                       const std::string& id) const;
  bool IsLongRunning(const TaskName& name) const;
  // Returns the runs of long-running tasks on a target, grouped by job,
  // occurrence and step.
  std::map<std::tuple<std::string, int, int>, std::vector<TaskName>>
  GroupLongRunningRuns(const std::string& id) const;
  TargetLedger* FindTarget(const std::string& id);
  ActiveJob* FindJob(const std::string& id);
  ActiveTask* FindTask(const TaskName& name);

  void ResetIncarnation(TargetLedger& target);
  // Handles the first report of a new incarnation under the same id.
  void RestartIncarnation(TargetLedger& target);
  // Makes the next report order shut out all orders sent so far. The target
  // receives no new runs until it has answered.
  void RequireNewReport(TargetLedger& target);
  void RaiseFence(TargetLedger& target);
  // Makes sure that a start without a response is executed no more.
  void ShutOutStart(TargetLedger& target, const TaskName& name);
  void EraseTarget(const std::string& id);
  // Handles the answer of another process to an order. Returns whether the
  // target has ended. The answer says nothing of a target that has not answered
  // at this address itself or may have restarted since the order was sent.
  bool EndIfReplaced(const std::string& id, const std::string& address,
                     uint64_t fence, const char* reason);
  // Handles the refusal of an order because of its token: by another owner's
  // token or by a later one of this owner.
  void OnFenced(const std::string& id, uint64_t fence);
  void DropLostRuns(TargetLedger& target, const char* reason);
  void DropExpiredTargets(base::TimePoint now);
  void ApplyCompletions(TargetLedger& target, const TargetReport& report,
                        base::TimePoint now);
  void ApplyCompletion(TargetLedger& target,
                       const ReportedCompletion& completion,
                       base::TimePoint now);
  void ApplyFailure(TargetLedger& target, const ReportedCompletion& completion,
                    ActiveJob& job, ActiveTask& task, base::TimePoint now);
  void RecordEvidence(const TargetLedger& target,
                      const ReportedCompletion& completion,
                      base::TimePoint now);
  // Returns whether a task of the step and occurrence is done.
  static bool HasDoneTask(const ActiveJob& job, const TaskName& task);
  // Begins the quarantine of targets that are to blame, and ends that of those
  // that no longer are. `failed`: the target on which a run has just failed.
  void AssessTargets(const FailureEvidence::Affected& targets,
                     base::TimePoint now, const std::string& failed);
  void ApplyRunning(TargetLedger& target, const ReportedRun& reported,
                    base::TimePoint now);
  // Gives a checkpoint that a member of a gang has reported to all members.
  void ShareGangCheckpoint(const ReportedRun& reported);
  void AdoptRun(TargetLedger& target, const ReportedRun& reported,
                base::TimePoint now);
  void ResolveUnlistedRuns(TargetLedger& target, const TargetReport& report,
                           uint64_t fence, base::TimePoint sent);
  // Returns the time by which a lease granted now has expired and all runs
  // under it have ended.
  base::TimePoint GetLeaseBound(base::Duration lease,
                                base::TimePoint now) const;
  // Returns whether a task that starts now ends before its lease, which cannot
  // be renewed beyond the limit.
  bool FitsLeaseLimit(const ActiveJob& job, int step,
                      base::TimePoint now) const;
  // Returns the expiry of a new lease, on the target's clock.
  int64_t GrantLease(TargetLedger& target, base::TimePoint now);
  void MarkDone(ActiveJob& job, const TaskName& name);
  void EndJob(ActiveJob& job, JobState state);
  void StopRuns(ActiveJob& job);
  void ReleaseTask(const TaskName& name, const std::string& target,
                   int64_t run);
  void DropRun(TargetLedger& target, const TaskName& name);
  void RequestStop(TargetLedger& target, const TaskName& name);
  void StopStalledRuns(base::TimePoint now);
  base::Duration GetExpectedTime(const ActiveJob& job, int step) const;
  void RecordRunTime(const ActiveJob& job, int step, const Run& run,
                     base::TimePoint now);
  void AcknowledgeStoredCompletions();

  bool IsUsable(const TargetLedger& target, base::TimePoint now) const;
  // Returns why the target takes no tasks, or null if it does unless it is
  // cordoned.
  const char* ExplainUnusable(const TargetLedger& target,
                              base::TimePoint now) const;
  // Returns a target that may have runs of a previous owner and has not
  // answered this one yet, or null.
  const TargetLedger* FindTargetPendingToken(base::TimePoint now) const;
  bool NeedsReport(const TargetLedger& target, base::TimePoint now) const;
  static Candidate MakeCandidate(const TargetLedger& target,
                                 base::TimePoint now);
  std::vector<Candidate> MakeCandidates(base::TimePoint now) const;
  // Once only cordoned targets have been left for long, lets all tasks use
  // them.
  void LiftCordonsOfWholePool(std::vector<Candidate>& candidates,
                              base::TimePoint now);
  QueueRank Rank(const ActiveJob& job, const RunTimeCorrection& correction,
                 int64_t wall_ms) const;
  std::vector<ActiveJob*> RankWaitingJobs(base::TimePoint now, int64_t wall_ms);
  void StartWaitingTasks(base::TimePoint now, int64_t wall_ms,
                         PoolOrders& orders);
  // Starts the waiting tasks that the candidates have room for.
  void StartOnCandidates(std::vector<Candidate>& candidates,
                         base::TimePoint now, int64_t wall_ms,
                         PoolOrders& orders);
  // Counts what the runs of each customer use.
  void CountCustomerUse(base::TimePoint now);
  void CountPossibleCustomerUse(base::TimePoint now);
  // Tells which of the added jobs are beyond their customers' rates.
  void CountArrivals();
  // Returns the indexes of the tasks that are neither done nor assigned.
  static std::vector<int> ListWaitingTasks(ActiveJob& job,
                                           StepPosition position);
  // Returns the constraints for all tasks of a step.
  static PlacementRequest MakePlacementRequest(ActiveJob& job,
                                               StepPosition position);
  // Starts what can be started of a job. Returns false if the pass must end: no
  // more starts may be sent.
  bool StartJob(ActiveJob& job, PlacementPass& pass,
                std::vector<Candidate>& candidates, base::TimePoint now,
                int64_t wall_ms, PoolOrders& orders);
  // Takes note of the pool's targets, of which some may be in use or away.
  void UpdatePoolFit();
  // Returns whether the step fits on the pool's targets when these are empty.
  // Logs the first one of the job that does not.
  bool CanRunInPool(ActiveJob& job, StepPosition position);
  bool StartStep(ActiveJob& job, StepPosition position, PlacementPass& pass,
                 std::vector<Candidate>& candidates, base::TimePoint now,
                 PoolOrders& orders);
  StartOrder StartTask(ActiveJob& job, const TaskName& name,
                       TargetLedger& target, int64_t run, base::TimePoint now);
  void AddStopOrders(base::TimePoint now, PoolOrders& orders);
  void PaceBestEffortRuns(base::TimePoint now, PoolOrders& orders);
  void LogWaitingTasks(base::TimePoint now, int64_t wall_ms);
  // Adds jobs of which nothing has run for long although there is room.
  void AddIdleJobs(const std::vector<Candidate>& candidates,
                   base::TimePoint now, std::map<TaskName, TaskWait>& waits);
  // Whether at most half of the registered targets' processors is in use.
  bool IsHalfIdle() const;
  // Names a target that has room for the task and takes none, if there is one.
  TaskWait ExplainNoRoom(const TaskName& name, const PlacementRequest& request,
                         const std::vector<Candidate>& candidates,
                         base::TimePoint now) const;
  TaskWait ExplainWait(ActiveJob& job, const TaskName& name,
                       const std::vector<Candidate>& candidates,
                       base::TimePoint now) const;
  // The reason of a wait that only other targets can end.
  static constexpr const char* kFitsNowhere =
      "fits on no target of the pool, also when it is empty";

  void LogDecision(const char* what, const TaskName& task, int64_t run,
                   const std::string& target, const char* reason) const;

  PoolSchedulerOptions m_options;
  base::TimePoint m_lease_limit = base::TimePoint::max();
  std::map<std::string, RoutePolicy> m_routes;
  std::map<std::string, ActiveJob> m_jobs;
  // The jobs that are on their way to another service.
  std::set<std::string> m_moving_jobs;
  std::map<std::string, TargetLedger> m_targets;
  // The targets with a report in flight.
  std::set<std::string> m_reports_in_flight;
  StopQueue m_stops;
  EndedTargets m_ended_targets;
  ChangeQueue m_changes;
  uint64_t m_last_generation = 0;
  // The token of targets that are not known yet. At least as high as that of
  // any target that was erased, which may return under its id.
  uint64_t m_first_fence = 0;
  StartWindow m_start_window;
  FailureEvidence m_failures;
  // Whether the registered targets are others than m_pool_fit knows.
  bool m_has_pool_changed = true;
  StepFit m_pool_fit;
  StepFit m_fleet_fit;
  // The rank at which the next pass goes on; 0 if the last one has reached all
  // jobs.
  size_t m_next_rank = 0;
  RunTimeModel m_run_times;
  CustomerBudget m_customer_budget;
  customers::ArrivalRates m_arrival_rates;
  // Jobs that CountArrivals has not seen.
  std::vector<std::string> m_uncounted_jobs;
  base::TimePoint m_last_stall_check;
  // An event has occurred that may allow a task to start.
  bool m_may_start_more = true;
  base::TimePoint m_last_placement;
  // Since when all targets that could take tasks are cordoned.
  std::optional<base::TimePoint> m_all_cordoned_since;
  WaitLog m_wait_log;
  // Since when nothing of a job is assigned.
  std::map<std::string, base::TimePoint> m_idle_since;
  base::TimePoint m_last_wait_check;
  bool m_has_urgent_change = false;
  bool m_is_superseded = false;
  bool m_is_ownership_confirmed = true;
};

}  // namespace shallotwick::scheduling
