#include "job_service.h"

#include <algorithm>
#include <utility>

#include "job_tables.h"
#include "queue_report.h"
#include "scheduling/job_record.h"

namespace shallotwick::scheduler {
namespace {

// Attempts per store request; with the store's timeout they fit into the time
// for which callers wait.
constexpr int kMaxAttempts = 3;
constexpr auto kRetryDelay = std::chrono::milliseconds(40);
// A job that is searched for moves rarely, and once or twice.
constexpr int kMaxMovesFollowed = 8;

// Makes a transaction fail if the job is stored or withdrawn already, or if its
// route has another service.
void RequireAbsence(const storage::RowKey& progress, const RouteFence& fence,
                    storage::RowTransaction& transaction) {
  transaction.expected.push_back({progress, storage::kNoVersion});
  // Jobs of one route share the fence, and a transaction names each row once.
  if (fence.expected &&
      std::find(transaction.expected.begin(), transaction.expected.end(),
                *fence.expected) == transaction.expected.end()) {
    transaction.expected.push_back(*fence.expected);
  }
}

}  // namespace

struct JobService::FoundJob {
  std::string service;
  uint64_t version = storage::kNoVersion;
  scheduling::JobState state = scheduling::JobState::kQueued;
};

JobService::JobService(base::EventLoop& loop, storage::RowStore& store)
    : m_loop(loop), m_store(store) {}

void JobService::AddSubmission(const std::string& service,
                               const scheduling::JobSpec& job,
                               const RouteFence& fence,
                               storage::RowTransaction& transaction) {
  // The progress row outlives the job, so a repeated submission is detected.
  const storage::RowKey progress = MakeProgressKey(service, job.id);
  scheduling::JobProgress initial;
  initial.route = job.route;
  RequireAbsence(progress, fence, transaction);
  transaction.writes.push_back(
      {MakeJobKey(service, job.id), scheduling::EncodeJobRecord(job)});
  transaction.writes.push_back({progress, scheduling::EncodeProgress(initial)});
}

void JobService::Submit(const std::string& service,
                        const scheduling::JobSpec& job, OnOutcome on_done) {
  PrepareSubmission(
      service, job,
      [this, service, job, on_done = std::move(on_done)](
          std::optional<JobCallOutcome> outcome, const RouteFence& fence) {
        if (outcome) {
          on_done(*outcome);
          return;
        }
        storage::RowTransaction transaction;
        AddSubmission(service, job, fence, transaction);
        TrySubmit(service, job.id, transaction, 1, on_done);
      });
}

// The fence is read before the former services are: from then on, a job that
// one of them accepts makes the fence fail.
void JobService::PrepareSubmission(const std::string& service,
                                   const scheduling::JobSpec& job,
                                   OnFence on_done) {
  const std::optional<RouteFence> fence = m_find_fence(service, job.route);
  if (!fence) {
    on_done(JobCallOutcome::kRefused, {});
    return;
  }
  if (fence->former_services.empty()) {
    on_done(std::nullopt, *fence);
    return;
  }
  Find({fence->former_services}, job.id,
       [fence, on_done = std::move(on_done)](JobCallOutcome outcome,
                                             const FoundJob& found) {
         const bool is_new = outcome == JobCallOutcome::kNotFound;
         on_done(
             is_new ? std::nullopt : std::optional(GetOutcome(outcome, found)),
             *fence);
       });
}

std::map<std::string, JobCallOutcome> JobService::FindStoredJobs(
    const std::string& service, const storage::RowCommitResult& result) {
  std::map<std::string, JobCallOutcome> stored;
  for (const storage::VersionedRow& row : result.current) {
    const bool is_stored = row.key.table == GetProgressTable(service) &&
                           row.version != storage::kNoVersion &&
                           !row.is_removed;
    if (is_stored) {
      const bool is_withdrawn = row.value == scheduling::EncodeWithdrawal();
      stored[row.key.key] =
          is_withdrawn ? JobCallOutcome::kNotFound : JobCallOutcome::kDone;
    }
  }
  return stored;
}

void JobService::TrySubmit(const std::string& service, const std::string& id,
                           const storage::RowTransaction& transaction,
                           int attempt, OnOutcome on_done) {
  m_store.Commit(
      transaction,
      m_lifetime.Guard([this, service, id, transaction, attempt,
                        on_done = std::move(on_done)](
                           const storage::RowCommitResult& result) mutable {
        switch (result.status) {
          case storage::RowCommitStatus::kCommitted:
            on_done(JobCallOutcome::kDone);
            return;
          // Either the job already exists: this is a repeated submission,
          // or an earlier attempt took effect without a response. Or its
          // route has another service by now, and no attempt can take
          // effect.
          case storage::RowCommitStatus::kConflict: {
            const auto stored = FindStoredJobs(service, result);
            if (stored.count(id) > 0) {
              on_done(stored.at(id));
              return;
            }
            m_on_fenced();
            on_done(JobCallOutcome::kRefused);
            return;
          }
          case storage::RowCommitStatus::kRefused:
            // An earlier attempt may still take effect.
            on_done(attempt == 1 ? JobCallOutcome::kRefused
                                 : JobCallOutcome::kUnknown);
            return;
          case storage::RowCommitStatus::kRejected:
            on_done(JobCallOutcome::kRejected);
            return;
          case storage::RowCommitStatus::kUnknown:
            break;
        }
        if (attempt >= kMaxAttempts) {
          on_done(JobCallOutcome::kUnknown);
          return;
        }
        TrySubmit(service, id, transaction, attempt + 1, std::move(on_done));
      }));
}

void JobService::Find(Search search, const std::string& id, OnFound on_done) {
  if (search.services.empty()) {
    on_done(JobCallOutcome::kNotFound, FoundJob{});
    return;
  }
  const std::string service = search.services.front();
  storage::RowRange range;
  range.table = GetProgressTable(service);
  range.part = service;
  range.from = id;
  range.until = id + '0';
  range.limit = 1;
  m_store.Read(
      range,
      m_lifetime.Guard([this, search = std::move(search), service, id,
                        on_done = std::move(on_done)](
                           const storage::RowReadResult& result) mutable {
        if (!result.is_read) {
          if (search.attempt >= kMaxAttempts) {
            on_done(JobCallOutcome::kRefused, FoundJob{});
            return;
          }
          ++search.attempt;
          m_loop.RunAfter(
              kRetryDelay,
              m_lifetime.Guard([this, search = std::move(search), id,
                                on_done = std::move(on_done)]() mutable {
                Find(std::move(search), id, std::move(on_done));
              }));
          return;
        }
        // A part without its record belongs to a job whose rows are removed.
        if (result.rows.empty() || result.rows.front().key.key != id) {
          search.services.erase(search.services.begin());
          Find(std::move(search), id, std::move(on_done));
          return;
        }
        const storage::VersionedRow& row = result.rows.front();
        const auto summary = ReadSummary(row);
        if (!summary) {
          on_done(JobCallOutcome::kRefused, FoundJob{});
          return;
        }
        if (summary->state != scheduling::JobState::kMoved) {
          on_done(JobCallOutcome::kDone,
                  FoundJob{service, row.version, summary->state});
          return;
        }
        // It may have moved after its new service was read.
        if (++search.moves_followed > kMaxMovesFollowed) {
          on_done(JobCallOutcome::kRefused, FoundJob{});
          return;
        }
        search.services.front() = summary->moved_to;
        Find(std::move(search), id, std::move(on_done));
      }));
}

void JobService::FindState(const std::vector<std::string>& services,
                           const std::string& id, OnState on_done) {
  Find({services}, id,
       [on_done = std::move(on_done)](JobCallOutcome outcome,
                                      const FoundJob& found) {
         on_done(GetOutcome(outcome, found), found.state);
       });
}

JobCallOutcome JobService::GetOutcome(JobCallOutcome outcome,
                                      const FoundJob& found) {
  const bool is_withdrawn = outcome == JobCallOutcome::kDone &&
                            found.state == scheduling::JobState::kWithdrawn;
  return is_withdrawn ? JobCallOutcome::kNotFound : outcome;
}

// As for a submission, the fence is read before the job is searched for.
void JobService::Cancel(const std::vector<std::string>& services,
                        const std::string& route, const std::string& id,
                        OnOutcome on_done) {
  const std::string& service = services.front();
  const std::optional<RouteFence> fence = m_find_fence(service, route);
  Find({services}, id,
       [this, service, id, fence, on_done = std::move(on_done)](
           JobCallOutcome outcome, const FoundJob& found) mutable {
         if (outcome == JobCallOutcome::kNotFound) {
           Withdraw(service, id, fence, 1, std::move(on_done));
         } else {
           CancelFound(id, outcome, found, std::move(on_done));
         }
       });
}

void JobService::CancelFound(const std::string& id, JobCallOutcome outcome,
                             const FoundJob& found, OnOutcome on_done) {
  const bool is_finished =
      outcome != JobCallOutcome::kDone || scheduling::IsTerminal(found.state);
  if (is_finished) {
    on_done(GetOutcome(outcome, found));
    return;
  }
  TryCancel(found, id, 1, false, std::move(on_done));
}

// The owner learns of the withdrawal from the job row, and removes both rows
// after the retention period.
void JobService::Withdraw(const std::string& service, const std::string& id,
                          const std::optional<RouteFence>& fence, int attempt,
                          OnOutcome on_done) {
  if (!fence) {
    on_done(JobCallOutcome::kRefused);
    return;
  }
  const storage::RowKey progress = MakeProgressKey(service, id);
  storage::RowTransaction transaction;
  RequireAbsence(progress, *fence, transaction);
  transaction.writes = {
      {progress, scheduling::EncodeWithdrawal()},
      {MakeJobKey(service, id), scheduling::EncodeWithdrawal()}};
  m_store.Commit(
      std::move(transaction),
      m_lifetime.Guard([this, service, id, fence, attempt,
                        on_done = std::move(on_done)](
                           const storage::RowCommitResult& result) mutable {
        switch (result.status) {
          case storage::RowCommitStatus::kCommitted:
            on_done(JobCallOutcome::kNotFound);
            return;
          case storage::RowCommitStatus::kConflict:
            if (FindStoredJobs(service, result).count(id) > 0) {
              Find({{service}}, id,
                   [this, id, on_done = std::move(on_done)](
                       JobCallOutcome outcome, const FoundJob& found) mutable {
                     CancelFound(id, outcome, found, std::move(on_done));
                   });
              return;
            }
            m_on_fenced();
            on_done(JobCallOutcome::kRefused);
            return;
          case storage::RowCommitStatus::kRefused:
          case storage::RowCommitStatus::kRejected:
            on_done(attempt == 1 ? JobCallOutcome::kRefused
                                 : JobCallOutcome::kUnknown);
            return;
          case storage::RowCommitStatus::kUnknown:
            break;
        }
        if (attempt >= kMaxAttempts) {
          on_done(JobCallOutcome::kUnknown);
          return;
        }
        Withdraw(service, id, fence, attempt + 1, std::move(on_done));
      }));
}

void JobService::TryCancel(const FoundJob& found, const std::string& id,
                           int attempt, bool may_be_cancelled,
                           OnOutcome on_done) {
  scheduling::JobProgress cancelled;
  cancelled.state = scheduling::JobState::kCancelled;
  const storage::RowKey key = MakeProgressKey(found.service, id);
  storage::RowTransaction transaction;
  transaction.expected = {{key, found.version}};
  transaction.writes = {{key, scheduling::EncodeProgress(cancelled)}};
  transaction.removals = {MakeJobKey(found.service, id)};
  m_store.Commit(
      std::move(transaction),
      m_lifetime.Guard([this, found, id, attempt, may_be_cancelled,
                        on_done = std::move(on_done)](
                           const storage::RowCommitResult& result) mutable {
        if (result.status == storage::RowCommitStatus::kCommitted) {
          on_done(JobCallOutcome::kDone);
          return;
        }
        const bool may_be_done =
            may_be_cancelled ||
            result.status == storage::RowCommitStatus::kUnknown;
        const auto not_done =
            may_be_done ? JobCallOutcome::kUnknown : JobCallOutcome::kRefused;
        if (attempt >= kMaxAttempts) {
          on_done(not_done);
          return;
        }
        // The owner updated the row in the meantime, or this attempt was lost
        // in transit.
        Find({{found.service}}, id,
             [this, id, attempt, may_be_done, not_done,
              on_done = std::move(on_done)](JobCallOutcome outcome,
                                            const FoundJob& latest) mutable {
               if (outcome == JobCallOutcome::kRefused) {
                 on_done(not_done);
                 return;
               }
               const bool is_finished = outcome != JobCallOutcome::kDone ||
                                        scheduling::IsTerminal(latest.state);
               if (is_finished) {
                 on_done(GetOutcome(outcome, latest));
                 return;
               }
               TryCancel(latest, id, attempt + 1, may_be_done,
                         std::move(on_done));
             });
      }));
}

// The progress rows of a busy pool amount to several hundred kilobytes, too
// much to read for each of many callers.
void JobService::CountQueued(const std::vector<std::string>& services,
                             const std::string& route, OnCount on_done) {
  AddReports(services, 0, route, 0, std::move(on_done));
}

void JobService::AddReports(const std::vector<std::string>& services,
                            size_t index, const std::string& route,
                            int64_t count, OnCount on_done) {
  if (index == services.size()) {
    on_done(JobCallOutcome::kDone, count);
    return;
  }
  storage::RowRange range;
  range.table = kQueueTable;
  range.part = services[index];
  m_store.Read(
      range,
      m_lifetime.Guard([this, services, index, route, count,
                        on_done = std::move(on_done)](
                           const storage::RowReadResult& result) mutable {
        if (!result.is_read) {
          on_done(JobCallOutcome::kRefused, 0);
          return;
        }
        const std::optional<int64_t> store_ms = m_get_store_ms();
        const auto report = result.rows.empty()
                                ? std::nullopt
                                : ReadQueueReport(result.rows.front());
        if (!report || !store_ms || !report->IsFresh(*store_ms)) {
          // A report of one service and rows of another, read at different
          // times, may both lack a job that has moved in between.
          AddRows(services, services.size() - 1, route, 0, std::move(on_done));
          return;
        }
        const auto queued = report->queued.find(route);
        const int64_t added =
            queued == report->queued.end() ? 0 : queued->second;
        AddReports(services, index + 1, route, count + added,
                   std::move(on_done));
      }));
}

// Reads former services first: a job that moves meanwhile is then counted twice
// rather than not at all.
void JobService::AddRows(const std::vector<std::string>& services, size_t index,
                         const std::string& route, int64_t count,
                         OnCount on_done) {
  const std::string& service = services[index];
  storage::ReadPartition(
      m_store, GetProgressTable(service), service,
      m_lifetime.Guard([this, services, index, route, count,
                        on_done = std::move(on_done)](
                           const storage::RowReadResult& result) mutable {
        if (!result.is_read) {
          on_done(JobCallOutcome::kRefused, 0);
          return;
        }
        for (const storage::VersionedRow& row : result.rows) {
          const bool is_part = !SplitProgressKey(row.key.key).second.empty();
          const auto summary = is_part ? std::nullopt : ReadSummary(row);
          const bool is_queued =
              summary && summary->state == scheduling::JobState::kQueued &&
              summary->route == route;
          count += is_queued ? 1 : 0;
        }
        if (index == 0) {
          on_done(JobCallOutcome::kDone, count);
        } else {
          AddRows(services, index - 1, route, count, std::move(on_done));
        }
      }));
}

}  // namespace shallotwick::scheduler
