#include "scheduling/failed_placements.h"

namespace shallotwick::scheduling {
namespace {

// The pool is considered full after this number of steps.
constexpr int kMaxFailedSteps = 40;

}  // namespace

std::pair<std::string, Resources> FailedPlacements::GetNeed(
    const StepSpec& step) {
  return {step.required_label,
          GetReservedResources(step.demand, step.best_effort)};
}

void FailedPlacements::Add(const StepSpec& step,
                           const std::vector<Candidate>& candidates) {
  if (!step.long_running) {
    ++m_count;
    return;
  }
  // Other steps need not share this one's spread over targets and earlier runs.
  PlacementRequest any;
  any.step = &step;
  if (!PlaceTask(any, candidates)) {
    m_hopeless.insert(GetNeed(step));
  }
}

bool FailedPlacements::IsHopeless(const StepSpec& step) const {
  return step.long_running && m_hopeless.count(GetNeed(step)) > 0;
}

bool FailedPlacements::IsPoolFull() const { return m_count >= kMaxFailedSteps; }

}  // namespace shallotwick::scheduling
