#include "job_service.h"

#include <utility>

#include "job_tables.h"
#include "queue_report.h"
#include "scheduling/job_record.h"

namespace shallotwick::scheduler {
namespace {

// Tries of one call at the store; with its timeout they fit into the time that
// callers wait.
constexpr int kMostAttempts = 3;
constexpr auto kRetryDelay = std::chrono::milliseconds(40);

}  // namespace

struct JobService::Found {
  std::string service;
  uint64_t version = storage::kNoVersion;
  scheduling::JobState state = scheduling::JobState::kQueued;
};

JobService::JobService(base::EventLoop& loop, storage::RowStore& store)
    : m_loop(loop), m_store(store) {}

void JobService::Submit(const std::string& service,
                        const scheduling::JobSpec& job, OnOutcome on_end) {
  storage::RowTransaction transaction;
  // The progress stays when the job has ended, so it tells of a repetition.
  const storage::RowKey progress = MakeProgressKey(service, job.id);
  scheduling::JobProgress initial;
  initial.route = job.route;
  transaction.expected = {{progress, storage::kNoVersion}};
  transaction.writes = {
      {MakeJobKey(service, job.id), scheduling::EncodeJobRecord(job)},
      {progress, scheduling::EncodeProgress(initial)}};
  TrySubmit(service, transaction, 1, std::move(on_end));
}

void JobService::TrySubmit(const std::string& service,
                           const storage::RowTransaction& transaction,
                           int attempt, OnOutcome on_end) {
  m_store.Commit(
      transaction,
      m_lifetime.Guard(
          [this, service, transaction, attempt, on_end = std::move(on_end)](
              const storage::RowCommitResult& result) mutable {
            switch (result.status) {
              case storage::RowCommitStatus::kCommitted:
              // The job is there already: a repetition, or an attempt before
              // this one took effect without an answer.
              case storage::RowCommitStatus::kConflict:
                on_end(JobCallOutcome::kDone);
                return;
              case storage::RowCommitStatus::kRefused:
                // An attempt before may still take effect.
                on_end(attempt == 1 ? JobCallOutcome::kRefused
                                    : JobCallOutcome::kUnknown);
                return;
              case storage::RowCommitStatus::kUnknown:
                break;
            }
            if (attempt >= kMostAttempts) {
              on_end(JobCallOutcome::kUnknown);
              return;
            }
            TrySubmit(service, transaction, attempt + 1, std::move(on_end));
          }));
}

void JobService::Find(std::vector<std::string> services, const std::string& id,
                      int attempt, OnFound on_end) {
  if (services.empty()) {
    on_end(JobCallOutcome::kNotFound, Found{});
    return;
  }
  const std::string service = services.front();
  storage::RowRange range;
  range.table = GetProgressTable(service);
  range.part = service;
  range.from = id;
  range.until = id + '0';
  range.limit = 1;
  m_store.Read(range, m_lifetime.Guard([this, services = std::move(services),
                                        service, id, attempt,
                                        on_end = std::move(on_end)](
                                           const storage::RowReadResult&
                                               result) mutable {
    if (!result.is_read) {
      if (attempt >= kMostAttempts) {
        on_end(JobCallOutcome::kRefused, Found{});
        return;
      }
      m_loop.RunAfter(
          kRetryDelay,
          m_lifetime.Guard([this, services = std::move(services), id, attempt,
                            on_end = std::move(on_end)]() mutable {
            Find(std::move(services), id, attempt + 1, std::move(on_end));
          }));
      return;
    }
    if (result.rows.empty()) {
      services.erase(services.begin());
      Find(std::move(services), id, attempt, std::move(on_end));
      return;
    }
    const storage::VersionedRow& row = result.rows.front();
    const auto summary = ReadSummary(row);
    if (!summary) {
      on_end(JobCallOutcome::kRefused, Found{});
      return;
    }
    on_end(JobCallOutcome::kDone, Found{service, row.version, summary->state});
  }));
}

void JobService::FindState(const std::vector<std::string>& services,
                           const std::string& id, OnState on_end) {
  Find(
      services, id, 1,
      [on_end = std::move(on_end)](JobCallOutcome outcome, const Found& found) {
        on_end(outcome, found.state);
      });
}

void JobService::Cancel(const std::vector<std::string>& services,
                        const std::string& id, OnOutcome on_end) {
  Find(services, id, 1,
       [this, id, on_end = std::move(on_end)](JobCallOutcome outcome,
                                              const Found& found) mutable {
         const bool is_over = outcome != JobCallOutcome::kDone ||
                              scheduling::IsTerminal(found.state);
         if (is_over) {
           on_end(outcome);
           return;
         }
         TryCancel(found, id, 1, std::move(on_end));
       });
}

void JobService::TryCancel(const Found& found, const std::string& id,
                           int attempt, OnOutcome on_end) {
  scheduling::JobProgress cancelled;
  cancelled.state = scheduling::JobState::kCancelled;
  const storage::RowKey key = MakeProgressKey(found.service, id);
  storage::RowTransaction transaction;
  transaction.expected = {{key, found.version}};
  transaction.writes = {{key, scheduling::EncodeProgress(cancelled)}};
  transaction.removals = {MakeJobKey(found.service, id)};
  m_store.Commit(
      std::move(transaction),
      m_lifetime.Guard([this, found, id, attempt, on_end = std::move(on_end)](
                           const storage::RowCommitResult& result) mutable {
        if (result.status == storage::RowCommitStatus::kCommitted) {
          on_end(JobCallOutcome::kDone);
          return;
        }
        const bool is_refused =
            result.status == storage::RowCommitStatus::kRefused;
        if (attempt >= kMostAttempts) {
          on_end(is_refused ? JobCallOutcome::kRefused
                            : JobCallOutcome::kUnknown);
          return;
        }
        // The owner wrote in between, or this attempt was lost on its way.
        Find({found.service}, id, 1,
             [this, id, attempt, on_end = std::move(on_end)](
                 JobCallOutcome outcome, const Found& again) mutable {
               const bool is_over = outcome != JobCallOutcome::kDone ||
                                    scheduling::IsTerminal(again.state);
               if (is_over) {
                 on_end(outcome);
                 return;
               }
               TryCancel(again, id, attempt + 1, std::move(on_end));
             });
      }));
}

// The rows of a busy pool are some hundred kilobytes, and many callers ask.
void JobService::CountQueued(const std::string& service,
                             const std::string& route, OnCount on_end) {
  storage::RowRange range;
  range.table = kQueueTable;
  range.part = service;
  m_store.Read(
      range,
      m_lifetime.Guard([this, service, route, on_end = std::move(on_end)](
                           const storage::RowReadResult& result) mutable {
        if (!result.is_read) {
          on_end(JobCallOutcome::kRefused, 0);
          return;
        }
        const std::optional<int64_t> store_ms = m_get_store_ms();
        const auto report = result.rows.empty()
                                ? std::nullopt
                                : ReadQueueReport(result.rows.front());
        if (!report || !store_ms || !report->IsFresh(*store_ms)) {
          CountRows(service, route, std::move(on_end));
          return;
        }
        const auto queued = report->queued.find(route);
        on_end(JobCallOutcome::kDone,
               queued == report->queued.end() ? 0 : queued->second);
      }));
}

void JobService::CountRows(const std::string& service, const std::string& route,
                           OnCount on_end) {
  storage::ReadWholePart(
      m_store, GetProgressTable(service), service,
      [route,
       on_end = std::move(on_end)](const storage::RowReadResult& result) {
        if (!result.is_read) {
          on_end(JobCallOutcome::kRefused, 0);
          return;
        }
        int64_t count = 0;
        for (const storage::VersionedRow& row : result.rows) {
          const auto summary = ReadSummary(row);
          const bool is_queued =
              summary && summary->state == scheduling::JobState::kQueued &&
              summary->route == route;
          count += is_queued ? 1 : 0;
        }
        on_end(JobCallOutcome::kDone, count);
      });
}

}  // namespace shallotwick::scheduler
