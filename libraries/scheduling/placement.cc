#include "scheduling/placement.h"

#include <algorithm>
#include <tuple>

#include "scheduling/step_fit.h"

namespace shallotwick::scheduling {
namespace {

bool IsKeptOut(const StepSpec& step, const Candidate& candidate) {
  return candidate.is_suspended ||
         (candidate.is_quarantined && !step.long_running);
}

bool IsAllowed(const PlacementRequest& request, const Candidate& candidate,
               bool heeds_quarantine) {
  const StepSpec& step = *request.step;
  const Resources demand = GetReservedResources(step.demand, step.best_effort);
  if (!demand.Fits(candidate.room) || candidate.starts_left <= 0 ||
      (heeds_quarantine && IsKeptOut(step, candidate)) ||
      (candidate.is_cordoned && !step.long_running) ||
      !HasLabel(candidate.labels, step.required_label) ||
      request.excluded.count(candidate.id) > 0) {
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

bool CouldRun(const StepSpec& step, const Candidate& candidate) {
  return HasLabel(candidate.labels, step.required_label) &&
         GetReservedResources(step.demand, step.best_effort)
             .Fits(candidate.capacity);
}

void BoundQuarantine(std::vector<Candidate>& candidates) {
  int64_t cpu_milli = 0;
  std::vector<Candidate*> quarantined;
  for (Candidate& candidate : candidates) {
    cpu_milli += candidate.is_cordoned ? 0 : candidate.capacity.cpu_milli;
    if (candidate.is_quarantined && !candidate.is_cordoned) {
      quarantined.push_back(&candidate);
    }
  }
  std::stable_sort(quarantined.begin(), quarantined.end(),
                   [](const Candidate* left, const Candidate* right) {
                     return left->failure_points > right->failure_points;
                   });
  int64_t quarantined_cpu_milli = 0;
  for (Candidate* candidate : quarantined) {
    const int64_t sum = quarantined_cpu_milli + candidate->capacity.cpu_milli;
    if (2 * sum <= cpu_milli) {
      quarantined_cpu_milli = sum;
      continue;
    }
    candidate->is_quarantined = false;
    candidate->is_suspended = false;
  }
}

std::optional<size_t> PlaceTask(const PlacementRequest& request,
                                const std::vector<Candidate>& candidates) {
  const StepSpec& step = *request.step;
  const bool heeds_quarantine =
      std::any_of(candidates.begin(), candidates.end(),
                  [&step](const Candidate& candidate) {
                    return !IsKeptOut(step, candidate) &&
                           !candidate.is_cordoned && CouldRun(step, candidate);
                  });
  // Lower cost is better.
  using Cost = std::tuple<bool, bool, int, bool, int, int64_t, size_t>;
  std::optional<Cost> best;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const Candidate& candidate = candidates[i];
    if (!IsAllowed(request, candidate, heeds_quarantine)) {
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
                    candidate.failure_points + sibling_count,
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
