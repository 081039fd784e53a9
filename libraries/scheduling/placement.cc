#include "scheduling/placement.h"

#include <algorithm>
#include <tuple>

namespace shallotwick::scheduling {
namespace {

bool IsAllowed(const PlacementRequest& request, const Candidate& candidate) {
  const StepSpec& step = *request.step;
  const Resources demand = GetReservedResources(step.demand, step.best_effort);
  if (!demand.Fits(candidate.room) || candidate.starts_left <= 0 ||
      ((candidate.is_quarantined || candidate.is_cordoned) &&
       !step.long_running) ||
      request.excluded.count(candidate.id) > 0) {
    return false;
  }
  if (!step.required_label.empty() &&
      std::find(candidate.labels.begin(), candidate.labels.end(),
                step.required_label) == candidate.labels.end()) {
    return false;
  }
  if (step.most_per_target > 0) {
    const auto found = request.sibling_counts.find(candidate.id);
    return found == request.sibling_counts.end() ||
           found->second < step.most_per_target;
  }
  return true;
}

}  // namespace

std::string FindRack(const std::vector<std::string>& labels) {
  return labels.size() > 1 ? labels[1] : "";
}

std::optional<size_t> PlaceTask(const PlacementRequest& request,
                                const std::vector<Candidate>& candidates) {
  const StepSpec& step = *request.step;
  // Lower cost is better.
  using Cost = std::tuple<bool, bool, int, bool, int, int64_t, size_t>;
  std::optional<Cost> best;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const Candidate& candidate = candidates[i];
    if (!IsAllowed(request, candidate)) {
      continue;
    }
    const auto sibling_entry = request.sibling_counts.find(candidate.id);
    const int sibling_count =
        step.long_running && sibling_entry != request.sibling_counts.end()
            ? sibling_entry->second
            : 0;
    const bool is_in_other_rack = !request.preferred_rack.empty() &&
                                  request.preferred_rack != candidate.rack;
    const int disturbed_runs =
        step.best_effort ? candidate.latency_bound_runs : 0;
    const Cost cost{candidate.is_cordoned,
                    request.avoided.count(candidate.id) > 0,
                    candidate.failure_streak + sibling_count,
                    is_in_other_rack,
                    disturbed_runs,
                    candidate.room.cpu_milli,
                    i};
    if (!best || cost < *best) {
      best = cost;
    }
  }
  if (!best) {
    return std::nullopt;
  }
  return std::get<6>(*best);
}

}  // namespace shallotwick::scheduling
