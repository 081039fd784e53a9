#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "base/metrics.h"
#include "route_registry.h"
#include "scheduling/pool_scheduler_types.h"
#include "storage/row_store.h"

namespace shallotwick::scheduler {

// Hands jobs of a pool over to the services that serve their routes now. One
// transaction moves a few: the progress row at the former service becomes a
// mark that names the new one, and the job's rows are written there. It depends
// on the owner row of the pool, on the record of the route's placement and on
// the job's progress row, so that a job is at one service at any time and a
// concurrent cancellation is not lost.
class JobMover {
 public:
  // A job to move.
  struct Job {
    scheduling::MovedJob moved;
    // The version of its progress row at the former service.
    uint64_t version = storage::kNoVersion;
    RoutePlacement placement;
  };

  JobMover(base::EventLoop& loop, storage::RowStore& store,
           base::MetricRegistry& metrics, std::string service,
           uint64_t owner_version);

  // Called for each job whose move has ended: with the version of its mark, or
  // with kNoVersion if it stays for the time being.
  std::function<void(const scheduling::MovedJob& job, uint64_t mark_version)>
      m_on_end;
  // Called before for a job that stays if the store has shown another version
  // of its progress row.
  std::function<void(const storage::VersionedRow& progress)> m_on_changed;
  // Called when a job has moved by an attempt without an answer, and has come
  // back since: what is known of it is out of date.
  std::function<void()> m_on_returned;
  // Called when another host has become the owner of the pool.
  std::function<void()> m_on_owner_changed;
  // Called when a route has got another placement.
  std::function<void()> m_on_placement_changed;

  // The most jobs that one transaction moves.
  static size_t GetBatchSize();

  // Whether a batch is under way.
  bool IsBusy() const { return !m_batch.empty(); }
  bool IsMoving(const std::string& job) const {
    return m_moving.count(job) > 0;
  }
  // Whether the store has refused for good to move the job.
  bool IsRejected(const std::string& job) const {
    return m_rejected.count(job) > 0;
  }
  size_t CountRejected() const { return m_rejected.size(); }
  // Moves as many of the jobs as fit into one transaction. The others end at
  // once. Must not be called while a batch is under way.
  void Move(std::vector<Job> jobs);

 private:
  storage::RowTransaction MakeEntries(const Job& job) const;
  void Send();
  void SendAfterDelay();
  void OnCommitted(const storage::RowCommitResult& result);
  void OnConflict(const storage::RowCommitResult& result);
  void OnRejected(const std::string& error);
  // Returns whether the row is the mark of a move of the batch.
  bool IsOwnMark(const storage::VersionedRow& row) const;
  void End(uint64_t mark_version);

  base::EventLoop& m_loop;
  storage::RowStore& m_store;
  base::MetricRegistry& m_metrics;
  std::string m_service;
  uint64_t m_owner_version;
  std::vector<Job> m_batch;
  std::set<std::string> m_moving;
  // An earlier attempt of the batch may still be committed.
  bool m_may_be_committed = false;
  // Versions of rows that a job left at the new service when it was there
  // before.
  std::map<storage::RowKey, uint64_t> m_former_marks;
  std::set<std::string> m_rejected;
  // After a rejection, jobs are moved one by one.
  bool m_moves_one_by_one = false;
  base::Lifetime m_lifetime;
};

}  // namespace shallotwick::scheduler
