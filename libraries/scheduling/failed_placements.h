#pragma once

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "scheduling/placement.h"

namespace shallotwick::scheduling {

// The steps that could not be placed completely in one pass over the queue.
class FailedPlacements {
 public:
  void Add(const StepSpec& step, const std::vector<Candidate>& candidates);
  // Returns whether no candidate has room for a task of this step, as for an
  // earlier one like it, or most likely none has.
  bool IsHopeless(const StepSpec& step) const;
  // Returns whether the pass should end. Long-running steps do not count: each
  // has its turn, however many before it do not fit.
  bool IsPoolFull() const;

 private:
  // Long-running tasks may run on targets that take no others.
  using Need = std::tuple<bool, std::string, Resources>;

  static Need GetNeed(const StepSpec& step);
  bool IsFull(const std::string& label) const;

  // The number of short steps by required label for which there was no room.
  std::map<std::string, int> m_counts;
  // Steps that did not fit for other reasons.
  int m_others = 0;
  // The needs for which no candidate has room.
  std::set<Need> m_hopeless;
};

}  // namespace shallotwick::scheduling
