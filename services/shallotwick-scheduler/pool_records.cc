// What the runner of a pool writes to the store.

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

namespace shallotwick::scheduler {
namespace {

// Ends and final states gather so long before they are stored together.
constexpr auto kUrgentCommitDelay = std::chrono::milliseconds(25);
// Marks that a job has begun; a reader may see them somewhat late.
constexpr auto kLazyCommitDelay = std::chrono::milliseconds(250);
// Commits under way at a time. One takes some 10 ms; a pool of 130 hosts has a
// thousand changes a second and more at its busiest.
constexpr int kMostCommitsInFlight = 4;
// Between two reports of how many jobs wait.
constexpr auto kQueueReportPeriod = std::chrono::seconds(1);
// Between two log lines about a backlog of one pool.
constexpr auto kBacklogLogPeriod = std::chrono::seconds(1);
constexpr auto kCommitRetryDelay = std::chrono::milliseconds(150);
// A job takes up to three entries of a transaction; one is the owner's row.
constexpr size_t kMostChangesPerCommit =
    (storage::kMostTransactionEntries - 1) / 3;
// Between writes of the roster that only leave targets out.
constexpr auto kRosterShrinkPeriod = std::chrono::milliseconds(500);
// Rows of ended jobs that are removed together.
constexpr size_t kMostForgottenAtOnce = 50;

}  // namespace

// The roster is stored before the first start on a target, so that a successor
// knows all that may run something, also what the registry no longer lists.
void PoolRunner::WriteRoster() {
  const std::map<std::string, std::string> roster = m_scheduler.GetRoster();
  bool has_new = false;
  for (const auto& [id, address] : roster) {
    has_new = has_new || m_stored_roster.count(id) == 0;
  }
  // A successor waits for the lease of each target that it can't reach, so
  // those that have ended must leave the roster soon.
  bool has_gone = false;
  for (const auto& [id, address] : m_stored_roster) {
    has_gone = has_gone || roster.count(id) == 0;
  }
  const auto now = base::RuntimeClock::now();
  const bool is_due =
      has_new || (has_gone && now >= m_roster_written + kRosterShrinkPeriod);
  if (!is_due || m_is_writing_roster || m_is_lost) {
    return;
  }
  m_is_writing_roster = true;
  m_roster_written = now;
  storage::RowTransaction transaction;
  transaction.expected = {
      {MakeOwnerKey(m_options.service), m_options.owner_version},
      {MakeRosterKey(m_options.service), m_roster_version}};
  transaction.writes = {
      {MakeRosterKey(m_options.service), nlohmann::json(roster).dump()}};
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
      Lose("the owner's row has changed");
      return;
    }
    // An earlier write took effect without an answer.
    for (const storage::VersionedRow& row : result.current) {
      if (row.key.table == kRosterTable) {
        m_roster_version = row.version;
      }
    }
  }
  m_loop.RunAfter(kCommitRetryDelay,
                  m_lifetime.Guard([this] { WriteRoster(); }));
}

void PoolRunner::DropCancelled(const std::string& job) {
  m_scheduler.CancelJob(job);
  m_progress_versions.erase(job);
  NoteEnded(job);
}

void PoolRunner::NoteEnded(const std::string& job) {
  if (m_ended_jobs.insert(job).second) {
    m_ended_order.emplace_back(base::RuntimeClock::now(), job);
  }
}

void PoolRunner::NoteIfEnded(const storage::VersionedRow& row) {
  const auto summary = ReadSummary(row);
  if (summary && scheduling::IsTerminal(summary->state)) {
    NoteEnded(row.key.key);
  }
}

// Removes the progress of jobs whose state nobody may ask for any more.
void PoolRunner::ForgetOldJobs() {
  if (m_is_forgetting) {
    return;
  }
  const auto now = base::RuntimeClock::now();
  std::vector<std::string> old;
  while (!m_ended_order.empty() && old.size() < kMostForgottenAtOnce &&
         m_ended_order.front().first + m_options.retention <= now) {
    old.push_back(m_ended_order.front().second);
    m_ended_order.pop_front();
  }
  if (old.empty()) {
    return;
  }
  m_is_forgetting = true;
  storage::RowTransaction transaction;
  transaction.expected = {
      {MakeOwnerKey(m_options.service), m_options.owner_version}};
  for (const std::string& job : old) {
    m_ended_jobs.erase(job);
    transaction.removals.push_back(MakeProgressKey(m_options.service, job));
  }
  m_store.Commit(
      std::move(transaction),
      m_lifetime.Guard([this, old](const storage::RowCommitResult& result) {
        m_is_forgetting = false;
        if (result.status != storage::RowCommitStatus::kCommitted) {
          // Later again; a row that is gone is removed in vain.
          for (const std::string& job : old) {
            NoteEnded(job);
          }
        }
      }));
}

// So that a caller's question for the number of waiting jobs takes one small
// row, not those of all jobs.
void PoolRunner::ReportQueues() {
  const auto now = base::RuntimeClock::now();
  const std::optional<int64_t> store_ms = m_get_store_ms();
  const bool is_due = store_ms && !m_is_reporting_queues &&
                      now >= m_queues_reported + kQueueReportPeriod;
  if (!is_due) {
    return;
  }
  m_is_reporting_queues = true;
  m_queues_reported = now;
  const QueueReport report{*store_ms, m_scheduler.CountQueuedByRoute()};
  storage::RowTransaction transaction;
  transaction.expected = {
      {MakeOwnerKey(m_options.service), m_options.owner_version}};
  transaction.writes = {
      {MakeQueueKey(m_options.service), EncodeQueueReport(report)}};
  // A report that is lost is made up for by the next one; without one, readers
  // count the rows themselves.
  m_store.Commit(std::move(transaction),
                 m_lifetime.Guard([this](const storage::RowCommitResult&) {
                   m_is_reporting_queues = false;
                 }));
}

void PoolRunner::CommitSoon() {
  const auto now = base::RuntimeClock::now();
  while (now >= m_commit_not_before &&
         m_commits_in_flight < kMostCommitsInFlight &&
         m_scheduler.CountReadyChanges() >= kMostChangesPerCommit) {
    Commit();
  }
  LogBacklog(now);
  const bool is_urgent = m_scheduler.HasUrgentChanges();
  const bool is_due = is_urgent || m_scheduler.HasChanges();
  if (m_on_quiet && m_orders_in_flight == 0 && !is_due &&
      m_commits_in_flight == 0) {
    std::exchange(m_on_quiet, nullptr)();
    m_is_lost = true;
    return;
  }
  if (!is_due || m_commits_in_flight >= kMostCommitsInFlight) {
    return;
  }
  const auto wanted = now + (is_urgent ? base::Duration(kUrgentCommitDelay)
                                       : base::Duration(kLazyCommitDelay));
  const auto at = std::max(wanted, m_commit_not_before);
  // A lazy plan is overtaken by an urgent one; Commit then finds nothing left.
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

// Until its progress is stored, a job is not shown as ended, and its targets
// report later.
void PoolRunner::LogBacklog(base::TimePoint now) {
  const size_t waiting = m_scheduler.CountReadyChanges();
  if (waiting <= kMostChangesPerCommit * kMostCommitsInFlight ||
      now < m_backlog_logged + kBacklogLogPeriod) {
    return;
  }
  m_backlog_logged = now;
  base::Log(base::events::kProgressBacklog,
            {{"pool", m_options.service},
             {"waiting", std::to_string(waiting)},
             {"commits", std::to_string(m_commits_in_flight)}});
}

void PoolRunner::Commit() {
  m_is_commit_planned = false;
  m_is_urgent_commit_planned = false;
  if (m_commits_in_flight >= kMostCommitsInFlight || m_is_lost) {
    return;
  }
  const std::vector<scheduling::ProgressChange> batch =
      m_scheduler.TakeChanges(kMostChangesPerCommit);
  if (batch.empty()) {
    m_scheduler.OnCommitted(batch);
    Wake();
    return;
  }
  ++m_commits_in_flight;
  storage::RowTransaction transaction;
  transaction.expected.push_back(
      {MakeOwnerKey(m_options.service), m_options.owner_version});
  for (const scheduling::ProgressChange& change : batch) {
    const storage::RowKey key = MakeProgressKey(m_options.service, change.job);
    transaction.expected.push_back({key, m_progress_versions[change.job]});
    transaction.writes.push_back(
        {key, scheduling::EncodeProgress(change.progress)});
    if (scheduling::IsTerminal(change.progress.state)) {
      transaction.removals.push_back(MakeJobKey(m_options.service, change.job));
    }
  }
  m_store.Commit(
      std::move(transaction),
      m_lifetime.Guard([this, batch](const storage::RowCommitResult& result) {
        OnCommitted(result, batch);
      }));
}

void PoolRunner::OnCommitted(
    const storage::RowCommitResult& result,
    const std::vector<scheduling::ProgressChange>& batch) {
  --m_commits_in_flight;
  if (result.status == storage::RowCommitStatus::kCommitted) {
    for (const scheduling::ProgressChange& change : batch) {
      if (scheduling::IsTerminal(change.progress.state)) {
        m_progress_versions.erase(change.job);
        NoteEnded(change.job);
      } else {
        m_progress_versions[change.job] = result.version;
      }
    }
    m_scheduler.OnCommitted(batch);
    Wake();
    return;
  }
  m_metrics
      .GetCounter(
          "shallotwick_progress_commit_retries_total",
          {{"reason", result.status == storage::RowCommitStatus::kConflict
                          ? "conflict"
                          : "no-answer"}})
      .Increment();
  if (result.status == storage::RowCommitStatus::kConflict) {
    ResolveConflict(result, batch);
  } else {
    m_commit_not_before = base::RuntimeClock::now() + kCommitRetryDelay;
  }
  m_scheduler.OnCommitFailed(batch);
  Wake();
}

// Either this owner's own write took effect without an answer, or a caller has
// cancelled a job, or another host owns the pool.
void PoolRunner::ResolveConflict(
    const storage::RowCommitResult& result,
    const std::vector<scheduling::ProgressChange>& batch) {
  if (!IsStillOwner(result)) {
    Lose("the owner's row has changed");
    return;
  }
  std::map<std::string, storage::VersionedRow> current;
  for (const storage::VersionedRow& row : result.current) {
    if (row.key.table == GetProgressTable(m_options.service)) {
      current[row.key.key] = row;
    }
  }
  for (const scheduling::ProgressChange& change : batch) {
    const auto row = current.find(change.job);
    const bool is_gone = row == current.end() ||
                         row->second.version == storage::kNoVersion ||
                         row->second.is_removed;
    if (is_gone) {
      // Only rows that differ may be listed.
      continue;
    }
    const bool is_own =
        row->second.value == scheduling::EncodeProgress(change.progress);
    const auto summary = is_own ? std::nullopt : ReadSummary(row->second);
    if (summary && summary->state == scheduling::JobState::kCancelled) {
      DropCancelled(change.job);
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
