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

// An end of a run that a target has listed, in one life of that target.
struct NotedEnd {
  std::string target;
  uint64_t generation = 0;
  int64_t number = 0;

  auto operator<=>(const NotedEnd&) const = default;
};

// The jobs whose progress has to be stored, in the order in which they are, and
// the ends of runs that may be acknowledged once that is done.
//
// Several batches may be under way; no job is in two of them. Jobs that have
// ended go first, as callers ask for them, then those that have waited longest:
// under load the store takes fewer changes than come, and no job may wait for
// others that keep changing.
class ChangeQueue {
 public:
  // The end noted last has changed the job; `is_final`: the job has ended.
  void Mark(const std::string& job, bool is_final);
  // The job's first task runs; no end depends on that being stored.
  void MarkBegun(const std::string& job);
  // What the end changes must be marked right after it.
  void NoteEnd(NotedEnd end);
  // Whoever ended the job has stored that already.
  void Forget(const std::string& job);

  bool IsEmpty() const { return m_waiting.empty(); }
  // Changes that could be taken now.
  size_t CountReady() const { return m_order.size(); }

  std::vector<std::string> Take(size_t most);
  void OnStored(const std::vector<std::string>& jobs);
  // They wait again, in their former place.
  void OnFailed(const std::vector<std::string>& jobs);

  // The ends since the last call all of whose changes are stored.
  std::vector<NotedEnd> TakeStoredEnds();

 private:
  struct Change {
    // The number of the newest end when the job first changed.
    int64_t since = 0;
    bool is_final = false;
  };

  // Final ones first.
  using Place = std::tuple<bool, int64_t, std::string>;

  static Place MakePlace(const std::string& job, const Change& change);
  void Wait(const std::string& job, const Change& change);
  void Add(const std::string& job, const Change& change);
  void Release(int64_t since);

  int64_t m_newest_end = 0;
  std::map<std::string, Change> m_waiting;
  std::map<std::string, Change> m_under_way;
  // Of the waiting ones, those that are not under way as well.
  std::set<Place> m_order;
  // Of all that is not stored.
  std::multiset<int64_t> m_open;
  std::deque<std::pair<int64_t, NotedEnd>> m_ends;
};

}  // namespace shallotwick::scheduling
