#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace shallotwick::scheduling {

// The completion of a run, with any outcome, as listed by one incarnation of a
// target.
struct RunCompletion {
  std::string target;
  uint64_t generation = 0;
  int64_t number = 0;

  auto operator<=>(const RunCompletion&) const = default;
};

// Queues the jobs whose progress has to be stored, and tracks which run
// completions may be acknowledged to their targets because every job change
// that they caused is stored.
//
// Several batches may be in flight, but a job is in at most one of them. Jobs
// that have ended come first because callers wait for their results; the others
// follow in the order of their first unstored change. Under load the store
// accepts fewer changes than arrive, and this order prevents jobs that keep
// changing from starving other jobs.
class ChangeQueue {
 public:
  // Records that the completion recorded last has changed the job. `is_final`:
  // the job has ended.
  void MarkChanged(const std::string& job, bool is_final);
  // Records that the job's first task has started. No completion waits for this
  // change to be stored.
  void MarkStarted(const std::string& job);
  // Records a completion of a run of the job. Must be called before
  // MarkChanged.
  void RecordCompletion(RunCompletion completion, std::string job);
  // Discards all changes of a job whose final state another process has already
  // stored.
  void Remove(const std::string& job);

  // Keeps the job's changes out of batches until Release: they cannot be stored
  // for the time being.
  void Hold(const std::string& job);
  void Release(const std::string& job);

  // Returns whether a change of the job is not stored.
  bool HasChanges(const std::string& job) const {
    return m_queued.count(job) > 0 || m_in_flight.count(job) > 0;
  }
  // Returns whether no change waits for a batch, other than held ones.
  bool IsEmpty() const;
  // Returns the number of changes that the next batch could contain.
  size_t CountReady() const { return m_ready.size(); }

  std::vector<std::string> PopBatch(size_t max_count);
  void OnStored(const std::vector<std::string>& jobs);
  // Returns the jobs to the queue, at their previous position.
  void OnFailed(const std::vector<std::string>& jobs);

  // Returns the completions whose changes are all stored, together with those
  // of all earlier completions of the same target. Each is returned once.
  std::vector<RunCompletion> PopStoredCompletions();

 private:
  struct Change {
    // The number of the last completion that was recorded when the job first
    // changed.
    int64_t first_completion = 0;
    bool is_final = false;
  };

  // Sorts jobs that have ended before all others, then by the first unstored
  // change.
  using OrderKey = std::tuple<bool, int64_t, std::string>;

  struct Completion {
    int64_t recorded = 0;
    RunCompletion completion;
    std::string job;
  };

  using Incarnation = std::pair<std::string, uint64_t>;

  static OrderKey MakeOrderKey(const std::string& job, const Change& change);
  void Enqueue(const std::string& job, const Change& change);
  // Returns whether a change of the job up to a completion is not stored. A
  // change that was first made at or before a completion may include the
  // effects of that completion.
  bool IsUnstored(const std::string& job, int64_t completion) const;

  int64_t m_last_completion = 0;
  std::map<std::string, Change> m_queued;
  std::map<std::string, Change> m_in_flight;
  // The queued jobs that are not in a batch in flight.
  std::set<OrderKey> m_ready;
  std::set<std::string> m_held;
  // Those that cannot be acknowledged yet. Targets are independent of each
  // other, so that a job that cannot be stored holds up only its own targets.
  std::map<Incarnation, std::deque<Completion>> m_completions;
};

}  // namespace shallotwick::scheduling
