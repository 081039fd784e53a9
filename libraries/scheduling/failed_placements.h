#pragma once

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "scheduling/placement.h"

namespace shallotwick::scheduling {

// The steps that could not be placed completely in one pass over the queue.
class FailedPlacements {
 public:
  void Add(const StepSpec& step, const std::vector<Candidate>& candidates);
  // Returns whether no candidate has room for a task of this long-running step,
  // as for an earlier one like it.
  bool IsHopeless(const StepSpec& step) const;
  // Returns whether the pass should end. Long-running steps do not count: each
  // has its turn, however many before it do not fit.
  bool IsPoolFull() const;

 private:
  static std::pair<std::string, Resources> GetNeed(const StepSpec& step);

  int m_count = 0;
  // The labels and resources for which no candidate has room.
  std::set<std::pair<std::string, Resources>> m_hopeless;
};

}  // namespace shallotwick::scheduling
