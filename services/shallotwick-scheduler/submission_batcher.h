#pragma once

#include <deque>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "job_service.h"
#include "scheduling/job.h"
#include "storage/row_store.h"

namespace shallotwick::scheduler {

// Stores jobs of one pool, many per transaction. Transactions of a pool are
// carried out one after another, so a slow store accepts only a few per second,
// however many hosts send them.
class SubmissionBatcher {
 public:
  SubmissionBatcher(base::EventLoop& loop, storage::RowStore& store,
                    JobService& jobs, std::string pool)
      : m_loop(loop), m_store(store), m_jobs(jobs), m_pool(std::move(pool)) {}

  // Stores a job; repeating the call has no further effect.
  void Submit(const scheduling::JobSpec& job, JobService::OnOutcome on_done);

 private:
  struct Submission {
    scheduling::JobSpec job;
    RouteFence fence;
    JobService::OnOutcome on_done;
    // An earlier transaction with this job got no response.
    bool may_be_stored = false;
    // No transaction begins later.
    base::TimePoint deadline;
    // The store has rejected a transaction with this job and others.
    bool must_be_alone = false;
  };

  void SendBatch();
  static bool IsFenced(const Submission& submission,
                       const storage::RowCommitResult& result);
  void OnCommitted(const storage::RowCommitResult& result,
                   std::vector<Submission> batch);

  base::EventLoop& m_loop;
  storage::RowStore& m_store;
  JobService& m_jobs;
  std::string m_pool;
  std::deque<Submission> m_waiting;
  int m_batches_in_flight = 0;
  // Until when no batch is sent, after the store has refused one.
  base::TimePoint m_not_before;
  base::Lifetime m_lifetime;
};

}  // namespace shallotwick::scheduler
