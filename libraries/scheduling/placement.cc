#include "scheduling/placement.h"

#include <algorithm>
#include <tuple>

namespace shallotwick::scheduling {
namespace {

bool IsAllowed(const PlacementRequest& request, const Candidate& candidate) {
  const StepSpec& step = *request.step;
  const Resources demand = GetReserved(step.demand, step.best_effort);
  if (!demand.Fits(candidate.room) ||
      request.excluded.count(candidate.id) > 0) {
    return false;
  }
  if (!step.required_label.empty() &&
      std::find(candidate.labels.begin(), candidate.labels.end(),
                step.required_label) == candidate.labels.end()) {
    return false;
  }
  if (step.most_per_target > 0) {
    const auto found = request.siblings.find(candidate.id);
    return found == request.siblings.end() ||
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
  // Smaller is better.
  using Cost = std::tuple<bool, int, bool, int, int64_t, size_t>;
  std::optional<Cost> best;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const Candidate& candidate = candidates[i];
    if (!IsAllowed(request, candidate)) {
      continue;
    }
    const auto sibling = request.siblings.find(candidate.id);
    const int siblings = step.long_running && sibling != request.siblings.end()
                             ? sibling->second
                             : 0;
    const bool is_far = !request.preferred_rack.empty() &&
                        request.preferred_rack != candidate.rack;
    const int disturbed = step.best_effort ? candidate.latency_bound_runs : 0;
    const Cost cost{request.avoided.count(candidate.id) > 0,
                    candidate.failure_streak + siblings,
                    is_far,
                    disturbed,
                    candidate.room.cpu_milli,
                    i};
    if (!best || cost < *best) {
      best = cost;
    }
  }
  if (!best) {
    return std::nullopt;
  }
  return std::get<5>(*best);
}

}  // namespace shallotwick::scheduling
