#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "base/metrics.h"
#include "customer_report.h"
#include "host_listing.h"
#include "hosts/arrival_forecast.h"
#include "job_mover.h"
#include "limit_keeper.h"
#include "load_monitor.h"
#include "progress_parts.h"
#include "scheduling/pool_scheduler.h"
#include "scheduling/serving_config.h"
#include "scheduling/target_orders.h"
#include "storage/partition_reader.h"
#include "storage/row_store.h"
#include "table_follower.h"

namespace shallotwick::scheduler {

struct PoolRunnerOptions {
  std::string service;
  // Version of the row that made this host the owner; its fencing tokens
  // increase with it.
  uint64_t owner_version = 0;
  int64_t term = 1;
  base::Duration lease = std::chrono::seconds(5);
  base::Duration max_lease = std::chrono::seconds(10);
  base::Duration max_stop_time = std::chrono::milliseconds(1'000);
  // How long the state of a job can be read after its completion.
  base::Duration retention = std::chrono::seconds(150);
};

// Runs one pool that this host owns: passes the pool's jobs, targets and
// reports to the scheduler, sends the scheduler's orders to the targets, and
// writes progress to the store.
class PoolRunner {
 public:
  PoolRunner(base::EventLoop& loop, storage::RowStore& store,
             scheduling::TargetOrders& orders, base::MetricRegistry& metrics,
             const PoolRunnerOptions& options);

  // Returns the fleet-wide time of day in milliseconds since the Unix epoch.
  std::function<int64_t()> m_get_unix_ms = base::WallClockMilliseconds;
  // The store's steady clock in milliseconds, if known.
  std::function<std::optional<int64_t>()> m_get_store_ms = [] {
    return std::nullopt;
  };
  // Whether no other host can have become the owner of the pool.
  std::function<bool()> m_is_session_valid = [] { return true; };
  // How often this host's session has lapsed.
  std::function<int64_t()> m_get_lapse_count = [] { return int64_t{0}; };
  // The time by which all leases that this host grants must end. No orders are
  // sent after it.
  std::function<base::TimePoint()> m_get_lease_limit = [] {
    return base::TimePoint::max();
  };
  // Called when another host has become the owner of the pool.
  std::function<void()> m_on_lost;
  // Called when the pool cannot be loaded. No orders have been sent by then.
  std::function<void()> m_on_load_failed = [] {};
  // Whether an order of a former owner may still end all runs on the host.
  std::function<bool(const std::string& host)> m_may_host_be_leaving =
      [](const std::string&) { return false; };
  // Called when a route has got another service than that of SetMovedRoutes.
  std::function<void()> m_on_placement_changed = [] {};
  // Registered targets at the time of the takeover; later changes arrive
  // through SetTargets, OnTargetChanged and OnTargetRemoved.
  std::map<std::string, scheduling::TargetEntry> m_targets_at_start;

  void Start();
  void SetConfig(const scheduling::ServingConfig& config);
  // Sets the routes that this pool has served and another one serves now. Jobs
  // of theirs with nothing under way are handed over.
  void SetMovedRoutes(std::map<std::string, RoutePlacement> routes);
  // Replaces the set of registered targets that serve this pool.
  void SetTargets(
      const std::map<std::string, scheduling::TargetEntry>& targets);
  void OnTargetChanged(const scheduling::TargetEntry& entry);
  void OnTargetRemoved(const std::string& id);
  // Ends unresponsive targets that two consecutive host lists show to be gone.
  void EndUnlistedTargets(const HostListing& listing);
  // Stops sending orders. Calls back once all orders in flight have been
  // answered and all progress is stored.
  void Quiesce(std::function<void()> on_quiesced);
  // Sends orders again; the callback is not called any more. The owner does not
  // count as overloaded for a while, so that it gets something done.
  void Resume();
  // Returns whether the owner has held starts back for so long that its link or
  // processor is too weak for the pool.
  bool IsOverloaded() const;

  scheduling::PoolScheduler& GetScheduler() { return m_scheduler; }
  const scheduling::PoolScheduler& GetScheduler() const { return m_scheduler; }
  bool IsLoaded() const { return m_is_loaded; }
  // Whether the runner has ended: it is quiesced, or its pool is abandoned.
  bool HasEnded() const { return m_is_lost; }
  uint64_t GetOwnerVersion() const { return m_options.owner_version; }
  int GetOrdersInFlight() const { return m_orders_in_flight; }
  // Returns the state of a job, if this owner is certain of it. A job has ended
  // once that is stored.
  std::optional<scheduling::JobState> FindState(const std::string& job) const;
  double ForecastCores(base::Duration ahead) {
    return m_arrivals.ForecastCores(ahead, base::RuntimeClock::now());
  }
  // Schedules a scheduling pass after a short delay.
  void Wake();

 private:
  void ReadRoster();
  void OnRosterRead(const storage::RowReadResult& result);
  // Until the pool is loaded: reports a slow load and gives up a stalled one.
  void CheckLoadPeriodically();
  // Returns whether the registry showed at the takeover that the target has
  // started so recently that the previous owner may not know.
  bool HasJustStarted(const std::string& target) const;
  void ReadProgress();
  void OnJobsReset(const std::vector<storage::VersionedRow>& rows);
  void OnJobChanged(const storage::VersionedRow& row);
  void OnJobRowRemoved(const std::string& job);
  // `is_progress_current`: m_loaded_progress was read after the row.
  void AddJob(const storage::VersionedRow& row,
              bool is_progress_current = false);
  // Reads the progress of a job that has come from another service.
  void ReadArrivedProgress(const storage::VersionedRow& row);
  void OnArrivedProgressRead(const storage::VersionedRow& job,
                             const storage::RowReadResult& result);
  void MoveJobs();
  void OnMoveEnded(const scheduling::MovedJob& job, uint64_t mark_version);
  // Counts jobs of which no task has started, those included that have just
  // been handed over: the report of their new pool may lack them.
  std::map<std::string, int64_t> CountQueuedByRoute() const;
  // Whether the ownership is certain since the last lapse of the session.
  bool IsOwnershipConfirmed() const;
  // After the takeover and after a lapse of the session: makes sure by a
  // conditional write that this host owns the pool, then adds the deferred
  // jobs.
  void ConfirmOwnership();
  void AddDeferredJobs();
  void WriteRoster();
  void OnRosterWritten(const storage::RowCommitResult& result,
                       const std::map<std::string, std::string>& roster);

  // Removes a job that a caller has stored as cancelled.
  void RemoveCancelledJob(const std::string& job);
  // `version`: that of the progress row that says so, if it is a mark.
  void RecordEndedJob(const std::string& job, scheduling::JobState state,
                      uint64_t version = storage::kNoVersion);
  void RecordJobIfEnded(const storage::VersionedRow& row);
  void RemoveExpiredProgress();
  void ReportQueues();
  void EndUnlistedTarget(const std::string& id, const char* reason);
  void RunPeriodically();
  void RunSchedulingPass();
  bool CanGrantLeases();
  // Returns the time by which all leases that are granted now must end.
  base::TimePoint UpdateLeaseLimit();
  void SendReports(base::TimePoint now);
  void SendOrders(const scheduling::PoolOrders& orders);
  // Sends the stops. Each result makes way for the next one to its target.
  void SendStops(const std::vector<scheduling::StopOrder>& orders);
  void OnStopResult(const scheduling::StopOrder& order,
                    const scheduling::OrderResult& result);
  // Counts an order as in flight until its result has been received.
  std::function<void(scheduling::OrderResult)> TrackOrder(
      const char* order,
      std::function<void(const scheduling::OrderResult&)> on_result);
  void ScheduleCommit();
  void LogBacklog(base::TimePoint now);
  void Commit();
  // A change of a job's progress, with its stored form.
  struct StoredChange {
    scheduling::ProgressChange change;
    scheduling::ProgressRows rows;
  };
  using CommitBatch = std::vector<StoredChange>;

  // Returns the entries that store a change.
  storage::RowTransaction MakeEntries(const StoredChange& stored) const;
  void OnCommitted(const storage::RowCommitResult& result,
                   const CommitBatch& batch);
  void OnChangesStored(const storage::RowCommitResult& result,
                       const CommitBatch& batch);
  // Takes a batch apart that the store will never accept. A job that is alone
  // in it is held for a while.
  void IsolateRejectedJobs(const CommitBatch& batch, const std::string& error);
  void ResolveConflict(const storage::RowCommitResult& result,
                       const CommitBatch& batch);
  bool IsStillOwner(const storage::RowCommitResult& result) const;
  void AbandonPool(const char* reason);
  void CountOutcome(const char* order, scheduling::OrderOutcome outcome);
  // Logs when the owner begins and ends to limit its starts.
  void LogStartLimit();
  void LogDecision(const scheduling::SchedulingDecision& note) const;
  void LogWrongTargetEnd(const scheduling::WrongTargetEnd& wrong);

  base::EventLoop& m_loop;
  storage::RowStore& m_store;
  scheduling::TargetOrders& m_orders;
  base::MetricRegistry& m_metrics;
  PoolRunnerOptions m_options;
  scheduling::PoolScheduler m_scheduler;
  hosts::ArrivalForecast m_arrivals;
  TableFollower m_jobs;
  storage::PartitionReader m_progress_reader;
  base::TimePoint m_took_over_at;
  LoadMonitor m_load;
  LimitKeeper m_limits;
  CustomerReport m_customer_report;
  // Versions of the progress rows of active jobs.
  std::map<std::string, uint64_t> m_progress_versions;
  ProgressParts m_progress_parts;
  // Jobs of which the store has rejected a transaction with others. The next
  // one has them alone.
  std::set<std::string> m_rejected_jobs;
  // Progress rows read at the takeover, kept until the jobs have been loaded.
  std::map<std::string, storage::VersionedRow> m_loaded_progress;
  // Jobs that arrived while the ownership was not confirmed.
  std::map<std::string, storage::VersionedRow> m_deferred_jobs;
  // The number of lapses after which the ownership was confirmed last. The
  // answer to a claim, or the feed, may come after the next takeover.
  std::optional<int64_t> m_confirmed_lapse_count;
  // The limit when the ownership was last confirmed.
  base::TimePoint m_lease_limit;
  bool m_is_confirming = false;
  JobMover m_mover;
  std::map<std::string, RoutePlacement> m_moved_routes;
  // Jobs whose rows were removed while they were being moved.
  std::set<std::string> m_removed_while_moving;
  // When jobs without a start were handed over, and their routes.
  std::deque<std::pair<base::TimePoint, std::string>> m_handed_over;
  // The rows of jobs whose progress is being read.
  std::map<std::string, storage::VersionedRow> m_arriving_jobs;
  struct EndedJob {
    scheduling::JobState state = scheduling::JobState::kCompleted;
    base::TimePoint at;
    // The version of the mark of a job that was handed over.
    uint64_t version = storage::kNoVersion;
  };
  // Jobs that have left the pool; the change feed may still deliver their rows.
  std::map<std::string, EndedJob> m_ended_jobs;
  // Completion times of the ended jobs, oldest first.
  std::deque<std::pair<base::TimePoint, std::string>> m_ended_jobs_by_time;
  struct UnlistedTarget {
    // When the first list that lacks the target was requested.
    base::TimePoint since;
    // Whether a list showed the target's host without it.
    bool is_host_listed = false;
  };

  // Unresponsive targets that the last host list did not contain.
  std::map<std::string, UnlistedTarget> m_unlisted_targets;
  bool m_is_removing_progress = false;
  base::TimePoint m_queues_reported_at;
  bool m_is_reporting_queues = false;
  uint64_t m_roster_version = storage::kNoVersion;
  // The most rows that the stored roster may have.
  size_t m_roster_rows = 0;
  std::map<std::string, std::string> m_stored_roster;
  base::TimePoint m_roster_written_at;
  bool m_is_roster_read = false;
  bool m_is_writing_roster = false;
  bool m_is_loaded = false;
  bool m_is_lost = false;
  bool m_is_waking = false;
  bool m_is_commit_planned = false;
  bool m_is_urgent_commit_planned = false;
  int m_commits_in_flight = 0;
  base::TimePoint m_commit_not_before;
  base::TimePoint m_backlog_logged_at;
  int m_orders_in_flight = 0;
  bool m_are_starts_limited = false;
  std::function<void()> m_on_quiesced;
  std::optional<base::TimePoint> m_resumed_at;
  base::Lifetime m_lifetime;
};

}  // namespace shallotwick::scheduler
