#include "submission_batcher.h"

#include <memory>
#include <set>
#include <utility>

#include "job_tables.h"
#include "scheduling/job_record.h"

namespace shallotwick::scheduler {
namespace {

// The owner's own transactions wait in the same queue.
constexpr int kMaxBatchesInFlight = 3;
// Callers wait for three seconds, and a transaction takes up to one.
constexpr auto kMaxWait = std::chrono::milliseconds(1'500);
constexpr auto kRefusalDelay = std::chrono::milliseconds(100);

}  // namespace

void SubmissionBatcher::Submit(const scheduling::JobSpec& job,
                               JobService::OnOutcome on_done) {
  m_jobs.PrepareSubmission(
      m_pool, job,
      m_lifetime.Guard(
          [this, job, on_done = std::move(on_done)](
              std::optional<JobCallOutcome> outcome, const RouteFence& fence) {
            if (outcome) {
              on_done(*outcome);
              return;
            }
            m_waiting.push_back({job, fence, on_done, false,
                                 base::RuntimeClock::now() + kMaxWait});
            SendBatch();
          }));
}

void SubmissionBatcher::SendBatch() {
  const auto now = base::RuntimeClock::now();
  if (m_batches_in_flight >= kMaxBatchesInFlight || m_waiting.empty() ||
      now < m_not_before) {
    return;
  }
  ++m_batches_in_flight;
  std::vector<Submission> batch;
  std::vector<Submission> repeated;
  std::set<std::string> jobs;
  storage::RowTransaction transaction;
  while (!m_waiting.empty()) {
    Submission& first = m_waiting.front();
    storage::RowTransaction addition;
    JobService::AddSubmission(m_pool, first.job, first.fence, addition);
    const bool is_full =
        !batch.empty() && (first.must_be_alone || batch.front().must_be_alone ||
                           !storage::FitsTogether(transaction, addition));
    if (is_full) {
      break;
    }
    Submission submission = std::move(first);
    m_waiting.pop_front();
    // A transaction names each row once.
    if (!jobs.insert(submission.job.id).second) {
      repeated.push_back(std::move(submission));
      continue;
    }
    JobService::AddSubmission(m_pool, submission.job, submission.fence,
                              transaction);
    batch.push_back(std::move(submission));
  }
  for (Submission& submission : repeated) {
    m_waiting.push_front(std::move(submission));
  }
  m_store.Commit(
      std::move(transaction),
      m_lifetime.Guard([this, batch = std::move(batch)](
                           const storage::RowCommitResult& result) mutable {
        --m_batches_in_flight;
        OnCommitted(result, std::move(batch));
        SendBatch();
      }));
}

bool SubmissionBatcher::IsFenced(const Submission& submission,
                                 const storage::RowCommitResult& result) {
  const auto& expected = submission.fence.expected;
  if (!expected) {
    return false;
  }
  uint64_t version = storage::kNoVersion;
  for (const storage::VersionedRow& row : result.current) {
    if (row.key == expected->key && !row.is_removed) {
      version = row.version;
    }
  }
  return version != expected->version;
}

void SubmissionBatcher::OnCommitted(const storage::RowCommitResult& result,
                                    std::vector<Submission> batch) {
  const auto now = base::RuntimeClock::now();
  if (result.status == storage::RowCommitStatus::kRefused) {
    m_not_before = now + kRefusalDelay;
    m_loop.RunAfter(kRefusalDelay, m_lifetime.Guard([this] { SendBatch(); }));
  }
  const auto stored = JobService::FindStoredJobs(m_pool, result);
  for (Submission& submission : batch) {
    switch (result.status) {
      case storage::RowCommitStatus::kCommitted:
        submission.on_done(JobCallOutcome::kDone);
        continue;
      case storage::RowCommitStatus::kConflict:
        // The jobs that exist already made the others fail.
        if (stored.count(submission.job.id) > 0) {
          submission.on_done(stored.at(submission.job.id));
          continue;
        }
        if (IsFenced(submission, result)) {
          m_jobs.m_on_fenced();
          submission.on_done(JobCallOutcome::kRefused);
          continue;
        }
        break;
      case storage::RowCommitStatus::kRefused:
        break;
      // One job may have caused it.
      case storage::RowCommitStatus::kRejected:
        if (batch.size() == 1) {
          submission.on_done(submission.may_be_stored
                                 ? JobCallOutcome::kUnknown
                                 : JobCallOutcome::kRejected);
          continue;
        }
        submission.must_be_alone = true;
        break;
      case storage::RowCommitStatus::kUnknown:
        submission.may_be_stored = true;
        break;
    }
    if (now >= submission.deadline) {
      submission.on_done(submission.may_be_stored ? JobCallOutcome::kUnknown
                                                  : JobCallOutcome::kRefused);
      continue;
    }
    m_waiting.push_front(std::move(submission));
  }
}

}  // namespace shallotwick::scheduler
