// Persistence of a pool: the roster, job progress and queue reports.

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <utility>

#include "base/log.h"
#include "base/log_catalogue.h"
#include "job_tables.h"
#include "pool_runner.h"
#include "queue_report.h"
#include "roster_rows.h"

namespace shallotwick::scheduler {
namespace {

// Completions and final states are batched for this long before they are
// stored.
constexpr auto kUrgentCommitDelay = std::chrono::milliseconds(25);
// For records that a job has started, which readers may see with some delay.
constexpr auto kLazyCommitDelay = std::chrono::milliseconds(250);
// Maximum number of commits in flight. One takes about 10 ms; a pool of 130
// hosts has 1,000 changes per second or more at peak load.
constexpr int kMaxCommitsInFlight = 4;
// Interval between reports of the number of waiting jobs.
constexpr auto kQueueReportPeriod = std::chrono::seconds(1);
// Readers use a report of the new service for less than this after its count.
constexpr auto kHandedOverCountTime = std::chrono::milliseconds(3'000);
// Interval between transactions that hand jobs over.
constexpr auto kMovePeriod = std::chrono::milliseconds(25);
// Minimum interval between log lines about the backlog of a pool.
constexpr auto kBacklogLogPeriod = std::chrono::seconds(1);
constexpr auto kCommitRetryDelay = std::chrono::milliseconds(150);
// A job takes up to three entries of a transaction; one entry is the owner row.
constexpr size_t kMaxChangesPerCommit =
    (storage::kMaxTransactionEntries - 1) / 3;
// Minimum interval between roster writes that only remove targets.
constexpr auto kRosterShrinkPeriod = std::chrono::milliseconds(500);
// Maximum number of a job's part rows removed in one transaction. The owner row
// and two other rows of the job take the rest.
constexpr size_t kMaxPartRemovalsPerTransaction =
    storage::kMaxTransactionEntries - 3;
// A job whose progress the store has rejected is tried again after this time.
constexpr auto kRejectedRetryDelay = std::chrono::seconds(5);

scheduling::JobProgress WithoutCheckpoints(scheduling::JobProgress progress) {
  for (auto& steps : progress.tasks) {
    for (auto& step : steps) {
      for (scheduling::TaskProgress& task : step) {
        task.checkpoint.clear();
      }
    }
  }
  return progress;
}

}  // namespace

// The roster is stored before the first start order to a target, so that the
// next owner knows all targets that may run tasks, including those that the
// registry no longer lists.
void PoolRunner::WriteRoster() {
  const std::map<std::string, std::string> roster = m_scheduler.GetRoster();
  // A target may need a write although the stored roster names it: it has left
  // the registry and returned since, and a roster without it may be under way.
  // The next owner waits for the lease of each roster target that it cannot
  // reach, so ended targets must be removed from the roster promptly.
  bool has_gone = false;
  for (const auto& [id, address] : m_stored_roster) {
    has_gone = has_gone || roster.count(id) == 0;
  }
  const auto now = base::RuntimeClock::now();
  const bool is_due =
      m_scheduler.NeedsRoster() ||
      (has_gone && now >= m_roster_written_at + kRosterShrinkPeriod);
  if (!is_due || m_is_writing_roster || m_is_lost) {
    return;
  }
  m_is_writing_roster = true;
  m_roster_written_at = now;
  storage::RowTransaction transaction;
  transaction.expected = {
      {MakeOwnerKey(m_options.service), m_options.owner_version},
      {MakeRosterKey(m_options.service), m_roster_version}};
  const std::vector<std::string> rows = EncodeRoster(roster);
  for (size_t i = 0; i < rows.size(); ++i) {
    transaction.writes.push_back(
        {MakeRosterKey(m_options.service, i), rows[i]});
  }
  for (size_t i = rows.size(); i < m_roster_rows; ++i) {
    transaction.removals.push_back(MakeRosterKey(m_options.service, i));
  }
  m_roster_rows = std::max(m_roster_rows, rows.size());
  m_store.Commit(
      std::move(transaction),
      m_lifetime.Guard([this, roster](const storage::RowCommitResult& result) {
        OnRosterWritten(result, roster);
      }));
}

void PoolRunner::OnRosterWritten(
    const storage::RowCommitResult& result,
    const std::map<std::string, std::string>& roster) {
  m_is_writing_roster = false;
  if (result.status == storage::RowCommitStatus::kCommitted) {
    m_roster_version = result.version;
    m_stored_roster = roster;
    m_scheduler.ConfirmRoster(roster);
    Wake();
    return;
  }
  if (result.status == storage::RowCommitStatus::kConflict) {
    if (!IsStillOwner(result)) {
      AbandonPool("owner row has changed");
      return;
    }
    // An earlier write took effect without a response.
    for (const storage::VersionedRow& row : result.current) {
      if (row.key.table == kRosterTable) {
        m_roster_version = row.version;
      }
    }
  }
  m_loop.RunAfter(kCommitRetryDelay,
                  m_lifetime.Guard([this] { WriteRoster(); }));
}

// A row may also be gone because this owner stored the end of the job and has
// not received the response yet, which then corrects the state.
void PoolRunner::RemoveCancelledJob(const std::string& job) {
  m_scheduler.CancelJob(job);
  m_rejected_jobs.erase(job);
  m_progress_versions.erase(job);
  RecordEndedJob(job, scheduling::JobState::kCancelled);
}

void PoolRunner::RecordEndedJob(const std::string& job,
                                scheduling::JobState state, uint64_t version) {
  const auto [found, is_new] = m_ended_jobs.try_emplace(job);
  EndedJob& ended = found->second;
  ended.state = state;
  ended.version = version;
  if (is_new) {
    ended.at = base::RuntimeClock::now();
    m_ended_jobs_by_time.emplace_back(ended.at, job);
  }
}

void PoolRunner::RecordJobIfEnded(const storage::VersionedRow& row) {
  const auto summary = ReadSummary(row);
  if (summary && scheduling::IsTerminal(summary->state)) {
    RecordEndedJob(row.key.key, summary->state, row.version);
  }
}

// Removes the rows of jobs whose retention period is over, a job's record last.
void PoolRunner::RemoveExpiredProgress() {
  if (m_is_removing_progress) {
    return;
  }
  const auto now = base::RuntimeClock::now();
  std::map<std::string, EndedJob> old;
  storage::RowTransaction transaction;
  transaction.expected = {
      {MakeOwnerKey(m_options.service), m_options.owner_version}};
  while (!m_ended_jobs_by_time.empty() &&
         m_ended_jobs_by_time.front().first + m_options.retention <= now) {
    const std::string& job = m_ended_jobs_by_time.front().second;
    const auto ended = m_ended_jobs.find(job);
    const bool has_returned =
        ended == m_ended_jobs.end() ||
        ended->second.at != m_ended_jobs_by_time.front().first;
    if (has_returned) {
      m_ended_jobs_by_time.pop_front();
      continue;
    }
    storage::RowTransaction removal;
    removal.removals =
        m_progress_parts.ListRows(job, kMaxPartRemovalsPerTransaction);
    const bool is_last =
        removal.removals.size() < kMaxPartRemovalsPerTransaction;
    if (is_last) {
      removal.removals.push_back(MakeProgressKey(m_options.service, job));
      // The job may return at this moment.
      if (ended->second.state == scheduling::JobState::kMoved) {
        removal.expected.push_back(
            {MakeProgressKey(m_options.service, job), ended->second.version});
      }
      if (ended->second.state == scheduling::JobState::kWithdrawn) {
        removal.removals.push_back(MakeJobKey(m_options.service, job));
      }
    }
    if (!storage::FitsTogether(transaction, removal)) {
      break;
    }
    storage::Append(removal, transaction);
    if (!is_last) {
      break;
    }
    old.insert(m_ended_jobs.extract(job));
    m_ended_jobs_by_time.pop_front();
  }
  if (transaction.removals.empty()) {
    return;
  }
  m_is_removing_progress = true;
  const std::vector<storage::RowKey> removed = transaction.removals;
  m_store.Commit(
      std::move(transaction),
      m_lifetime.Guard(
          [this, old, removed](const storage::RowCommitResult& result) {
            m_is_removing_progress = false;
            if (result.status == storage::RowCommitStatus::kCommitted) {
              m_progress_parts.OnRemoved(removed);
              return;
            }
            // Retried later; removing a row that no longer exists has no
            // effect.
            for (const auto& [job, ended] : old) {
              if (!m_scheduler.HasJob(job) && m_arriving_jobs.count(job) == 0) {
                RecordEndedJob(job, ended.state, ended.version);
              }
            }
          }));
}

void PoolRunner::ConfirmOwnership() {
  if (std::exchange(m_is_confirming, true)) {
    return;
  }
  storage::RowTransaction transaction;
  transaction.expected = {
      {MakeOwnerKey(m_options.service), m_options.owner_version}};
  // Jobs that arrived since the lapse are not counted yet, so the report must
  // not be taken as fresh.
  constexpr int64_t kNeverCounted = 0;
  transaction.writes = {
      {MakeQueueKey(m_options.service),
       EncodeQueueReport(QueueReport{kNeverCounted, CountQueuedByRoute()})}};
  m_store.Commit(std::move(transaction),
                 m_lifetime.Guard([this, lapses = m_get_lapse_count()](
                                      const storage::RowCommitResult& result) {
                   m_is_confirming = false;
                   if (result.status == storage::RowCommitStatus::kCommitted) {
                     m_confirmed_lapse_count = lapses;
                     AddDeferredJobs();
                     Wake();
                   } else if (!IsStillOwner(result)) {
                     AbandonPool("owner row has changed");
                   }
                 }));
}

std::map<std::string, int64_t> PoolRunner::CountQueuedByRoute() const {
  std::map<std::string, int64_t> queued = m_scheduler.CountQueuedByRoute();
  for (const auto& [at, route] : m_handed_over) {
    ++queued[route];
  }
  return queued;
}

void PoolRunner::SetMovedRoutes(std::map<std::string, RoutePlacement> routes) {
  m_moved_routes = std::move(routes);
}

void PoolRunner::MoveJobs() {
  const bool can_move = !m_moved_routes.empty() && m_is_loaded && !m_is_lost &&
                        !m_on_quiesced && !m_mover.IsBusy() &&
                        IsOwnershipConfirmed();
  if (!can_move) {
    return;
  }
  std::set<std::string> routes;
  for (const auto& [route, placement] : m_moved_routes) {
    routes.insert(route);
  }
  std::vector<JobMover::Job> jobs;
  for (const std::string& id : m_scheduler.ListMovableJobs(
           routes, JobMover::GetBatchSize() + m_mover.CountRejected(),
           base::RuntimeClock::now())) {
    const auto version = m_progress_versions.find(id);
    const bool can_be_moved = version != m_progress_versions.end() &&
                              !m_mover.IsRejected(id) &&
                              jobs.size() < JobMover::GetBatchSize();
    if (can_be_moved) {
      scheduling::MovedJob moved = m_scheduler.BeginMove(id);
      const RoutePlacement& placement = m_moved_routes.at(moved.spec.route);
      jobs.push_back({std::move(moved), version->second, placement});
    }
  }
  if (!jobs.empty()) {
    m_mover.Move(std::move(jobs));
  }
}

void PoolRunner::OnMoveEnded(const scheduling::MovedJob& job,
                             uint64_t mark_version) {
  const std::string& id = job.spec.id;
  const bool has_left = mark_version != storage::kNoVersion;
  const bool is_row_removed = m_removed_while_moving.erase(id) > 0;
  m_scheduler.EndMove(id, has_left);
  if (has_left) {
    m_progress_versions.erase(id);
    m_rejected_jobs.erase(id);
    RecordEndedJob(id, scheduling::JobState::kMoved, mark_version);
    if (job.progress.state == scheduling::JobState::kQueued) {
      m_handed_over.emplace_back(base::RuntimeClock::now(), job.spec.route);
    }
    // The others follow.
    m_loop.RunAfter(kMovePeriod, m_lifetime.Guard([this] { MoveJobs(); }));
  } else if (is_row_removed) {
    RemoveCancelledJob(id);
  }
  Wake();
}

// A report lets a request for the number of waiting jobs read one small row
// instead of the rows of all jobs.
void PoolRunner::ReportQueues() {
  const auto now = base::RuntimeClock::now();
  const std::optional<int64_t> store_ms = m_get_store_ms();
  while (!m_handed_over.empty() &&
         m_handed_over.front().first + kHandedOverCountTime <= now) {
    m_handed_over.pop_front();
  }
  // Those whose progress is being read cannot be counted.
  const bool is_due = store_ms && !m_is_reporting_queues &&
                      m_arriving_jobs.empty() &&
                      now >= m_queues_reported_at + kQueueReportPeriod;
  if (!is_due || !IsOwnershipConfirmed()) {
    return;
  }
  // The feed of jobs may lag behind, above all after an outage.
  const auto lag = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - m_jobs.GetCurrentAsOf());
  m_is_reporting_queues = true;
  m_queues_reported_at = now;
  const QueueReport report{std::max(int64_t{0}, *store_ms - lag.count()),
                           CountQueuedByRoute()};
  storage::RowTransaction transaction;
  transaction.expected = {
      {MakeOwnerKey(m_options.service), m_options.owner_version}};
  transaction.writes = {
      {MakeQueueKey(m_options.service), EncodeQueueReport(report)}};
  // A lost report is replaced by the next one; without a fresh report, readers
  // count the progress rows.
  m_store.Commit(std::move(transaction),
                 m_lifetime.Guard([this](const storage::RowCommitResult&) {
                   m_is_reporting_queues = false;
                 }));
}

void PoolRunner::ScheduleCommit() {
  const auto now = base::RuntimeClock::now();
  while (now >= m_commit_not_before &&
         m_commits_in_flight < kMaxCommitsInFlight &&
         m_scheduler.CountReadyChanges() >= kMaxChangesPerCommit) {
    Commit();
  }
  LogBacklog(now);
  const bool is_urgent = m_scheduler.HasUrgentChanges();
  const bool is_due = is_urgent || m_scheduler.HasChanges();
  if (m_on_quiesced && m_orders_in_flight == 0 && !is_due &&
      m_commits_in_flight == 0 && !m_mover.IsBusy()) {
    std::exchange(m_on_quiesced, nullptr)();
    m_is_lost = true;
    return;
  }
  if (!is_due || m_commits_in_flight >= kMaxCommitsInFlight) {
    return;
  }
  const auto wanted = now + (is_urgent ? base::Duration(kUrgentCommitDelay)
                                       : base::Duration(kLazyCommitDelay));
  const auto at = std::max(wanted, m_commit_not_before);
  // An urgent commit may run before a planned lazy one, which then finds no
  // changes to write.
  if (m_is_commit_planned && !is_urgent) {
    return;
  }
  if (m_is_urgent_commit_planned) {
    return;
  }
  m_is_commit_planned = true;
  m_is_urgent_commit_planned = is_urgent;
  m_loop.RunAfter(at - now, m_lifetime.Guard([this] { Commit(); }));
}

// Logged because a job is not shown as ended, and its targets report with a
// delay, until its progress is stored.
void PoolRunner::LogBacklog(base::TimePoint now) {
  const size_t waiting = m_scheduler.CountReadyChanges();
  if (waiting <= kMaxChangesPerCommit * kMaxCommitsInFlight ||
      now < m_backlog_logged_at + kBacklogLogPeriod) {
    return;
  }
  m_backlog_logged_at = now;
  base::Log(base::events::kProgressBacklog,
            {{"pool", m_options.service},
             {"waiting", std::to_string(waiting)},
             {"commits", std::to_string(m_commits_in_flight)}});
}

void PoolRunner::Commit() {
  m_is_commit_planned = false;
  m_is_urgent_commit_planned = false;
  if (m_commits_in_flight >= kMaxCommitsInFlight || m_is_lost) {
    return;
  }
  const std::vector<scheduling::ProgressChange> changes =
      m_scheduler.DequeueChanges(kMaxChangesPerCommit);
  if (changes.empty()) {
    m_scheduler.OnCommitted(changes);
    Wake();
    return;
  }
  storage::RowTransaction transaction;
  transaction.expected.push_back(
      {MakeOwnerKey(m_options.service), m_options.owner_version});
  CommitBatch batch;
  std::vector<scheduling::ProgressChange> left;
  for (const scheduling::ProgressChange& change : changes) {
    const bool must_wait =
        !batch.empty() && (m_rejected_jobs.count(change.job) > 0 ||
                           m_rejected_jobs.count(batch[0].change.job) > 0);
    StoredChange stored{change, must_wait
                                    ? scheduling::ProgressRows{}
                                    : EncodeProgressRows(change.progress)};
    storage::RowTransaction entries = MakeEntries(stored);
    if (batch.empty() && !storage::FitsTogether(transaction, entries)) {
      // Without a checkpoint, a task starts anew.
      stored.rows = EncodeProgressRows(WithoutCheckpoints(change.progress));
      entries = MakeEntries(stored);
    }
    if (must_wait ||
        (!batch.empty() && !storage::FitsTogether(transaction, entries))) {
      left.push_back(change);
      continue;
    }
    storage::Append(entries, transaction);
    batch.push_back(std::move(stored));
  }
  m_scheduler.OnCommitFailed(left);
  ++m_commits_in_flight;
  m_store.Commit(std::move(transaction),
                 m_lifetime.Guard([this, batch = std::move(batch)](
                                      const storage::RowCommitResult& result) {
                   OnCommitted(result, batch);
                 }));
}

storage::RowTransaction PoolRunner::MakeEntries(
    const StoredChange& stored) const {
  const std::string& job = stored.change.job;
  const storage::RowKey key = MakeProgressKey(m_options.service, job);
  const auto version = m_progress_versions.find(job);
  storage::RowTransaction entries;
  entries.expected = {{key, version == m_progress_versions.end()
                                ? storage::kNoVersion
                                : version->second}};
  entries.writes = {{key, stored.rows.record}};
  m_progress_parts.AddChanges(job, stored.rows, entries);
  if (scheduling::IsTerminal(stored.change.progress.state)) {
    entries.removals = {MakeJobKey(m_options.service, job)};
  }
  return entries;
}

void PoolRunner::OnChangesStored(const storage::RowCommitResult& result,
                                 const CommitBatch& batch) {
  for (const auto& [change, rows] : batch) {
    m_progress_parts.OnStored(change.job, rows);
    m_rejected_jobs.erase(change.job);
    if (scheduling::IsTerminal(change.progress.state)) {
      m_progress_versions.erase(change.job);
      RecordEndedJob(change.job, change.progress.state);
      base::Log(base::events::kJobEndStored,
                {{"pool", m_options.service},
                 {"job", change.job},
                 {"state", scheduling::NameOf(change.progress.state)},
                 {"version", std::to_string(result.version)},
                 {"fence", std::to_string(m_options.owner_version)}});
    } else {
      m_progress_versions[change.job] = result.version;
    }
  }
}

void PoolRunner::OnCommitted(const storage::RowCommitResult& result,
                             const CommitBatch& batch) {
  --m_commits_in_flight;
  std::vector<scheduling::ProgressChange> changes;
  for (const StoredChange& stored : batch) {
    changes.push_back(stored.change);
  }
  const char* reason = "no-answer";
  switch (result.status) {
    case storage::RowCommitStatus::kCommitted:
      OnChangesStored(result, batch);
      m_scheduler.OnCommitted(changes);
      Wake();
      return;
    case storage::RowCommitStatus::kConflict:
      reason = "conflict";
      ResolveConflict(result, batch);
      break;
    case storage::RowCommitStatus::kRejected:
      reason = "rejected";
      IsolateRejectedJobs(batch, result.error);
      break;
    case storage::RowCommitStatus::kUnknown:
      for (const auto& [change, rows] : batch) {
        m_progress_parts.OnUncertain(change.job, rows);
      }
      m_commit_not_before = base::RuntimeClock::now() + kCommitRetryDelay;
      break;
    case storage::RowCommitStatus::kRefused:
      m_commit_not_before = base::RuntimeClock::now() + kCommitRetryDelay;
      break;
  }
  m_metrics
      .GetCounter("shallotwick_progress_commit_retries_total",
                  {{"reason", reason}})
      .Increment();
  m_scheduler.OnCommitFailed(changes);
  Wake();
}

void PoolRunner::IsolateRejectedJobs(const CommitBatch& batch,
                                     const std::string& error) {
  if (batch.size() > 1) {
    for (const StoredChange& stored : batch) {
      m_rejected_jobs.insert(stored.change.job);
    }
    return;
  }
  const std::string job = batch.front().change.job;
  m_rejected_jobs.insert(job);
  base::Log(base::events::kProgressRejected,
            {{"pool", m_options.service}, {"job", job}, {"fault", error}});
  m_metrics.GetCounter("shallotwick_progress_rejections_total", {}).Increment();
  m_scheduler.HoldChanges(job);
  m_loop.RunAfter(kRejectedRetryDelay, m_lifetime.Guard([this, job] {
    m_scheduler.ReleaseChanges(job);
    Wake();
  }));
}

// A conflict means that an earlier write of this owner took effect without a
// response, that a caller cancelled a job, or that another host owns the pool.
void PoolRunner::ResolveConflict(const storage::RowCommitResult& result,
                                 const CommitBatch& batch) {
  if (!IsStillOwner(result)) {
    AbandonPool("owner row has changed");
    return;
  }
  std::map<std::string, storage::VersionedRow> current;
  for (const storage::VersionedRow& row : result.current) {
    if (row.key.table == GetProgressTable(m_options.service)) {
      current[row.key.key] = row;
    }
  }
  for (const auto& [change, rows] : batch) {
    const auto row = current.find(change.job);
    const bool is_gone = row == current.end() ||
                         row->second.version == storage::kNoVersion ||
                         row->second.is_removed;
    if (is_gone) {
      // The result may list only the rows whose versions differ.
      continue;
    }
    const bool is_own = row->second.value == rows.record;
    const auto summary = is_own ? std::nullopt : ReadSummary(row->second);
    const bool has_left =
        summary && (summary->state == scheduling::JobState::kCancelled ||
                    summary->state == scheduling::JobState::kMoved);
    if (has_left) {
      RemoveCancelledJob(change.job);
    } else {
      m_progress_versions[change.job] = row->second.version;
    }
  }
}

bool PoolRunner::IsStillOwner(const storage::RowCommitResult& result) const {
  for (const storage::VersionedRow& row : result.current) {
    if (row.key.table == kOwnerTable) {
      return row.version == m_options.owner_version;
    }
  }
  return true;
}

}  // namespace shallotwick::scheduler
