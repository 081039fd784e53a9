#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <tuple>
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
  // Records a completion. The jobs that it changes must be marked directly
  // afterwards.
  void RecordCompletion(RunCompletion completion);
  // Discards all changes of a job whose final state another process has already
  // stored.
  void Remove(const std::string& job);

  bool IsEmpty() const { return m_queued.empty(); }
  // Returns the number of changes that the next batch could contain.
  size_t CountReady() const { return m_ready.size(); }

  std::vector<std::string> PopBatch(size_t max_count);
  void OnStored(const std::vector<std::string>& jobs);
  // Returns the jobs to the queue, at their previous position.
  void OnFailed(const std::vector<std::string>& jobs);

  // Returns the completions whose changes are all stored. Each is returned
  // once.
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

  static OrderKey MakeOrderKey(const std::string& job, const Change& change);
  void Enqueue(const std::string& job, const Change& change);
  void AddChange(const std::string& job, const Change& change);
  void RemoveUnstored(int64_t first_completion);

  int64_t m_last_completion = 0;
  std::map<std::string, Change> m_queued;
  std::map<std::string, Change> m_in_flight;
  // The queued jobs that are not in a batch in flight.
  std::set<OrderKey> m_ready;
  // The completion numbers of all changes that are not stored yet.
  std::multiset<int64_t> m_unstored_changes;
  std::deque<std::pair<int64_t, RunCompletion>> m_completions;
};

}  // namespace shallotwick::scheduling
