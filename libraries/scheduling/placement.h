#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "scheduling/job.h"
#include "scheduling/target_messages.h"

namespace shallotwick::scheduling {

// A target that may receive new runs.
struct Candidate {
  std::string id;
  std::string rack;
  std::vector<std::string> labels;
  Resources room;
  // What an empty target has.
  Resources capacity;
  // What speaks against the target, see FailureEvidence.
  int failure_points = 0;
  // Receives long-running tasks alone.
  bool is_quarantined = false;
  // Receives no tasks at all.
  bool is_suspended = false;
  // Receives long-running tasks that fit nowhere else.
  bool is_cordoned = false;
  // How many more starts may be in flight to the target.
  int starts_left = 1;
  // Runs with a latency target, which best-effort tasks would slow down.
  int latency_bound_runs = 0;

  auto operator<=>(const Candidate&) const = default;
};

// The constraints and preferences for placing one task.
struct PlacementRequest {
  const StepSpec* step = nullptr;
  // The number of tasks of the same step and occurrence on each target.
  std::map<std::string, int> sibling_counts;
  // Targets to use only if no other target is suitable.
  std::set<std::string> avoided;
  // Targets that must not be used.
  std::set<std::string> excluded;
  // The rack that holds the input data or the other tasks of the step; empty
  // for no preference.
  std::string preferred_rack;
};

// Returns the rack label of a target. The first label is the kind of the target
// and the second one is its rack, such as "r1-3".
std::string FindRack(const std::vector<std::string>& labels);

// Lifts the quarantines of the targets with the least evidence against them
// until at most half of the processors is quarantined.
void BoundQuarantine(std::vector<Candidate>& candidates);

// Returns whether the target has what a task of the step needs when it is
// empty.
bool CouldRun(const StepSpec& step, const Candidate& candidate);

// Returns the index of the best candidate for a task, or std::nullopt if the
// task fits on none. A quarantine does not hold where all others could not run
// the task either. All else being equal, prefers the candidate with the least
// free CPU (best fit), which keeps larger gaps free for wide tasks.
std::optional<size_t> PlaceTask(const PlacementRequest& request,
                                const std::vector<Candidate>& candidates);

}  // namespace shallotwick::scheduling
