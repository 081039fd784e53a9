#include "job_mover.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "base/log_catalogue.h"
#include "job_tables.h"
#include "scheduling/job_record.h"
#include "scheduling/progress_rows.h"

namespace shallotwick::scheduler {
namespace {

constexpr auto kRetryDelay = std::chrono::milliseconds(150);
// Two versions, three rows written and one removed, besides a few parts of the
// progress. The owner row and the placements are common to all.
constexpr size_t kEntriesPerJob = 6;
constexpr size_t kCommonEntries = 4;

}  // namespace

JobMover::JobMover(base::EventLoop& loop, storage::RowStore& store,
                   base::MetricRegistry& metrics, std::string service,
                   uint64_t owner_version)
    : m_loop(loop),
      m_store(store),
      m_metrics(metrics),
      m_service(std::move(service)),
      m_owner_version(owner_version) {}

size_t JobMover::GetBatchSize() {
  return (storage::kMaxTransactionEntries - kCommonEntries) / kEntriesPerJob;
}

storage::RowTransaction JobMover::MakeEntries(const Job& job) const {
  const std::string& id = job.moved.spec.id;
  const std::string& service = job.placement.service;
  const storage::RowKey destination = MakeProgressKey(service, id);
  const auto mark = m_former_marks.find(destination);
  const scheduling::ProgressRows rows =
      scheduling::EncodeProgressRows(job.moved.progress);
  storage::RowTransaction entries;
  entries.expected = {
      {MakeProgressKey(m_service, id), job.version},
      {destination,
       mark == m_former_marks.end() ? storage::kNoVersion : mark->second}};
  entries.writes = {
      {MakeProgressKey(m_service, id), scheduling::EncodeMove(service)},
      {MakeJobKey(service, id), scheduling::EncodeJobRecord(job.moved.spec)},
      {destination, rows.record}};
  for (const auto& [part, text] : rows.parts) {
    entries.writes.push_back({MakeProgressPartKey(service, id, part), text});
  }
  entries.removals = {MakeJobKey(m_service, id)};
  return entries;
}

void JobMover::Move(std::vector<Job> jobs) {
  std::vector<Job> left;
  storage::RowTransaction transaction;
  transaction.expected = {{MakeOwnerKey(m_service), m_owner_version}};
  std::set<storage::RowKey> placements;
  for (Job& job : jobs) {
    storage::RowTransaction entries = MakeEntries(job);
    if (placements.count(job.placement.record.key) == 0) {
      entries.expected.push_back(job.placement.record);
    }
    const bool fits =
        m_batch.empty() ||
        (!m_moves_one_by_one && storage::FitsTogether(transaction, entries));
    if (!fits) {
      left.push_back(std::move(job));
      continue;
    }
    placements.insert(job.placement.record.key);
    storage::Append(entries, transaction);
    m_moving.insert(job.moved.spec.id);
    m_batch.push_back(std::move(job));
  }
  m_may_be_committed = false;
  Send();
  for (const Job& job : left) {
    m_on_end(job.moved, storage::kNoVersion);
  }
}

void JobMover::Send() {
  storage::RowTransaction transaction;
  transaction.expected = {{MakeOwnerKey(m_service), m_owner_version}};
  for (const Job& job : m_batch) {
    storage::Append(MakeEntries(job), transaction);
    // A transaction names each row once.
    if (std::find(transaction.expected.begin(), transaction.expected.end(),
                  job.placement.record) == transaction.expected.end()) {
      transaction.expected.push_back(job.placement.record);
    }
  }
  m_store.Commit(
      std::move(transaction),
      m_lifetime.Guard([this](const storage::RowCommitResult& result) {
        OnCommitted(result);
      }));
}

void JobMover::SendAfterDelay() {
  m_loop.RunAfter(kRetryDelay, m_lifetime.Guard([this] { Send(); }));
}

void JobMover::OnCommitted(const storage::RowCommitResult& result) {
  switch (result.status) {
    case storage::RowCommitStatus::kCommitted:
      End(result.version);
      return;
    case storage::RowCommitStatus::kConflict:
      OnConflict(result);
      return;
    case storage::RowCommitStatus::kUnknown:
      m_may_be_committed = true;
      SendAfterDelay();
      return;
    case storage::RowCommitStatus::kRefused:
      if (m_may_be_committed) {
        SendAfterDelay();
      } else {
        End(storage::kNoVersion);
      }
      return;
    case storage::RowCommitStatus::kRejected:
      OnRejected(result.error);
      return;
  }
}

void JobMover::OnRejected(const std::string& error) {
  if (m_batch.size() > 1) {
    m_moves_one_by_one = true;
  } else {
    const std::string& job = m_batch.front().moved.spec.id;
    m_rejected.insert(job);
    base::Log(base::events::kJobMoveRejected,
              {{"pool", m_service}, {"job", job}, {"fault", error}});
  }
  End(storage::kNoVersion);
}

bool JobMover::IsOwnMark(const storage::VersionedRow& row) const {
  return std::any_of(m_batch.begin(), m_batch.end(), [&](const Job& job) {
    return row.key == MakeProgressKey(m_service, job.moved.spec.id) &&
           row.value == scheduling::EncodeMove(job.placement.service);
  });
}

// The attempts of a batch are alike, and each is committed as a whole or not at
// all. After a conflict, none can be committed any more.
void JobMover::OnConflict(const storage::RowCommitResult& result) {
  bool has_owner_changed = false;
  bool has_placement_changed = false;
  uint64_t mark_version = storage::kNoVersion;
  std::vector<storage::VersionedRow> changed;
  std::map<storage::RowKey, uint64_t> expected;
  for (const Job& job : m_batch) {
    expected[job.placement.record.key] = job.placement.record.version;
    expected[MakeProgressKey(m_service, job.moved.spec.id)] = job.version;
    // Its retention may have ended.
    m_former_marks.erase(
        MakeProgressKey(job.placement.service, job.moved.spec.id));
  }
  for (const storage::VersionedRow& row : result.current) {
    const auto found = expected.find(row.key);
    if (row.key.table == kOwnerTable) {
      has_owner_changed = row.version != m_owner_version;
    } else if (row.key.table == kRouteTable) {
      has_placement_changed |=
          found != expected.end() && row.version != found->second;
    } else if (row.is_removed || row.version == storage::kNoVersion) {
      continue;
    } else if (IsOwnMark(row)) {
      mark_version = row.version;
    } else if (found == expected.end()) {
      const auto summary = ReadSummary(row);
      if (summary && summary->state == scheduling::JobState::kMoved) {
        m_former_marks[row.key] = row.version;
      }
    } else if (row.version != found->second) {
      changed.push_back(row);
    }
  }
  bool has_job_returned = false;
  if (mark_version == storage::kNoVersion) {
    for (const storage::VersionedRow& row : changed) {
      const auto summary = ReadSummary(row);
      has_job_returned |= m_may_be_committed &&
                          !(summary && scheduling::IsTerminal(summary->state));
      m_on_changed(row);
    }
  }
  End(mark_version);
  if (has_job_returned) {
    m_on_returned();
  }
  if (has_placement_changed) {
    m_on_placement_changed();
  }
  if (has_owner_changed) {
    m_on_owner_changed();
  }
}

void JobMover::End(uint64_t mark_version) {
  const std::vector<Job> batch = std::exchange(m_batch, {});
  m_moving.clear();
  if (mark_version != storage::kNoVersion) {
    m_metrics.GetCounter("shallotwick_moved_jobs_total", {{"pool", m_service}})
        .Increment(batch.size());
  }
  for (const Job& job : batch) {
    if (mark_version != storage::kNoVersion) {
      base::Log(base::events::kJobMoved,
                {{"pool", m_service},
                 {"job", job.moved.spec.id},
                 {"to", job.placement.service},
                 {"version", std::to_string(mark_version)}});
    }
    m_on_end(job.moved, mark_version);
  }
}

}  // namespace shallotwick::scheduler
