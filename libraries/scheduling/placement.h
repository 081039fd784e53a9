#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "scheduling/job.h"
#include "scheduling/target_messages.h"

namespace shallotwick::scheduling {

// A target that may take new runs.
struct Candidate {
  std::string id;
  std::string rack;
  std::vector<std::string> labels;
  Resources room;
  // Runs that failed here since the last that succeeded.
  int failure_streak = 0;
  // Serving tasks with a latency target, which best-effort ones would disturb.
  int latency_bound_runs = 0;

  auto operator<=>(const Candidate&) const = default;
};

// What placing one task has to respect.
struct PlacementRequest {
  const StepSpec* step = nullptr;
  // Tasks of the same step and occurrence by target.
  std::map<std::string, int> siblings;
  // Targets that are not to be taken if another one will do.
  std::set<std::string> avoided;
  // Targets that can't be taken.
  std::set<std::string> excluded;
  // Where the data or the other tasks are; empty if it makes no difference.
  std::string preferred_rack;
};

// The rack label of a target: the one that is not its kind. Racks are named
// like "r1-3"; the first label is the kind.
std::string FindRack(const std::vector<std::string>& labels);

// Picks the candidate for one task, or nothing if none fits. Takes the fullest
// that fits, so that wide tasks find room elsewhere.
std::optional<size_t> PlaceTask(const PlacementRequest& request,
                                const std::vector<Candidate>& candidates);

}  // namespace shallotwick::scheduling
