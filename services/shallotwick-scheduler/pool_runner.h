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
#include "hosts/arrival_forecast.h"
#include "scheduling/pool_scheduler.h"
#include "scheduling/serving_config.h"
#include "scheduling/target_orders.h"
#include "storage/row_store.h"
#include "table_follower.h"

namespace shallotwick::scheduler {

struct PoolRunnerOptions {
  std::string service;
  // The version of the row that made this host the owner; also the fence.
  uint64_t owner_version = 0;
  int64_t term = 1;
  base::Duration lease = std::chrono::seconds(5);
  base::Duration longest_stop = std::chrono::milliseconds(1'000);
  // How long the state of a job can be read after its end.
  base::Duration retention = std::chrono::seconds(150);
};

// Runs one pool that this host owns: carries the pool's jobs, targets and
// reports to the scheduler, its orders to the targets, and its records to the
// store.
class PoolRunner {
 public:
  PoolRunner(base::EventLoop& loop, storage::RowStore& store,
             scheduling::TargetOrders& orders, base::MetricRegistry& metrics,
             const PoolRunnerOptions& options);

  // The time of day that all hosts agree on, in milliseconds since the Unix
  // epoch.
  std::function<int64_t()> m_get_unix_ms = base::WallClockMilliseconds;
  // The store's steady clock, if it is known.
  std::function<std::optional<int64_t>()> m_get_store_ms = [] {
    return std::nullopt;
  };
  // Whether this host may give orders at this moment.
  std::function<bool()> m_may_order;
  // Another host owns the pool.
  std::function<void()> m_on_lost;
  // The registry's targets as of the takeover; later ones come by calls.
  std::map<std::string, scheduling::TargetEntry> m_targets_at_start;

  void Start();
  void SetConfig(const scheduling::ServingConfig& config);
  // All targets of the registry that serve this pool.
  void SetTargets(
      const std::map<std::string, scheduling::TargetEntry>& targets);
  void OnTargetChanged(const scheduling::TargetEntry& entry);
  void OnTargetRemoved(const std::string& id);
  // `live`: the targets of all hosts that are up, by a list of the platform
  // that was asked for at `asked`. A silent target that is not among them has
  // ended.
  void SettleByHostList(const std::set<std::string>& live,
                        base::TimePoint asked);
  // No orders from now on. Calls back once none is without its answer.
  void Quiesce(std::function<void()> on_quiet);

  scheduling::PoolScheduler& GetScheduler() { return m_scheduler; }
  const scheduling::PoolScheduler& GetScheduler() const { return m_scheduler; }
  bool IsLoaded() const { return m_is_loaded; }
  double ForecastCores(base::Duration ahead) {
    return m_arrivals.ForecastCores(ahead, base::RuntimeClock::now());
  }
  // Acts on what has changed, soon.
  void Wake();

 private:
  void ReadRoster();
  void ReadProgress();
  void OnJobsReset(const std::vector<storage::VersionedRow>& rows);
  void OnJobChanged(const storage::VersionedRow& row);
  void AddJob(const storage::VersionedRow& row, bool predates_ownership);
  void WriteRoster();
  void OnRosterWritten(const storage::RowCommitResult& result,
                       const std::map<std::string, std::string>& roster);

  // Someone else has stored the job as cancelled.
  void DropCancelled(const std::string& job);
  void NoteEnded(const std::string& job);
  void NoteIfEnded(const storage::VersionedRow& row);
  void ForgetOldJobs();
  void ReportQueues();
  void Tick();
  void Act();
  void SendReports(base::TimePoint now);
  void SendOrders(const scheduling::PoolOrders& orders);
  // Counts an order as under way until it has ended with a result.
  std::function<void(scheduling::OrderResult)> Track(
      const char* order,
      std::function<void(const scheduling::OrderResult&)> on_result);
  void CommitSoon();
  void LogBacklog(base::TimePoint now);
  void Commit();
  void OnCommitted(const storage::RowCommitResult& result,
                   const std::vector<scheduling::ProgressChange>& batch);
  void ResolveConflict(const storage::RowCommitResult& result,
                       const std::vector<scheduling::ProgressChange>& batch);
  bool IsStillOwner(const storage::RowCommitResult& result) const;
  void Lose(const char* reason);
  void CountOutcome(const char* order, scheduling::OrderOutcome outcome);
  void LogNote(const scheduling::SchedulingNote& note) const;

  base::EventLoop& m_loop;
  storage::RowStore& m_store;
  scheduling::TargetOrders& m_orders;
  base::MetricRegistry& m_metrics;
  PoolRunnerOptions m_options;
  scheduling::PoolScheduler m_scheduler;
  hosts::ArrivalForecast m_arrivals;
  TableFollower m_jobs;
  base::TimePoint m_started;
  // Versions of the progress rows of the jobs that are held.
  std::map<std::string, uint64_t> m_progress_versions;
  // Progress as read at the takeover, until the jobs are read.
  std::map<std::string, storage::VersionedRow> m_loaded_progress;
  // Jobs that have ended; the feed may bring their rows again.
  std::set<std::string> m_ended_jobs;
  // The same in the order of their ends.
  std::deque<std::pair<base::TimePoint, std::string>> m_ended_order;
  // Silent targets that the last list of hosts lacked.
  std::set<std::string> m_missing_targets;
  bool m_is_forgetting = false;
  base::TimePoint m_queues_reported;
  bool m_is_reporting_queues = false;
  uint64_t m_roster_version = storage::kNoVersion;
  std::map<std::string, std::string> m_stored_roster;
  base::TimePoint m_roster_written;
  bool m_is_roster_read = false;
  bool m_is_writing_roster = false;
  bool m_is_loaded = false;
  bool m_is_lost = false;
  bool m_is_waking = false;
  bool m_is_commit_planned = false;
  bool m_is_urgent_commit_planned = false;
  int m_commits_in_flight = 0;
  base::TimePoint m_commit_not_before;
  base::TimePoint m_backlog_logged;
  int m_orders_in_flight = 0;
  std::function<void()> m_on_quiet;
  base::Lifetime m_lifetime;
};

}  // namespace shallotwick::scheduler
