#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "scheduling/placement.h"

namespace shallotwick::scheduling {

// What one pass over the queue has learned and spent. A job that cannot be
// placed holds up no other: only its need is left out of the rest of the pass.
class PlacementPass {
 public:
  explicit PlacementPass(const std::vector<Candidate>& candidates);

  // A task of the step could not be placed.
  void AddFailure(const StepSpec& step,
                  const std::vector<Candidate>& candidates);
  // Returns whether no candidate has room for a task of this step, as for an
  // earlier one that needs the same or less.
  bool HasNoRoom(const StepSpec& step) const;

  // Counts a comparison of a task with all candidates.
  void AddSearch() { m_spent += m_candidate_count; }
  // The first half of the budget is for the jobs in their order, the second for
  // those that earlier passes have not reached.
  bool HasSpentHalf() const { return 2 * m_spent >= kBudget; }
  bool HasSpentAll() const { return m_spent >= kBudget; }

 private:
  // Comparisons with a candidate in one pass, for some milliseconds.
  static constexpr size_t kBudget = 200'000;

  // Long-running tasks may run on targets that take no others.
  using Kind = std::tuple<bool, std::string>;

  static Kind GetKind(const StepSpec& step) {
    return {step.long_running, step.required_label};
  }

  size_t m_candidate_count = 0;
  size_t m_spent = 0;
  // A quarantine may hold for a small need and not for a large one.
  bool m_has_quarantine = false;
  // Needs without room, none of which is at least as large as another.
  std::set<std::pair<Kind, Resources>> m_no_room;
};

}  // namespace shallotwick::scheduling
