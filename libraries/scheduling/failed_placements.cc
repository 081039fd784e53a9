#include "scheduling/failed_placements.h"

namespace shallotwick::scheduling {
namespace {

// The targets with a label, or all, are considered full after this number of
// steps.
constexpr int kMaxFailedSteps = 40;
// Bounds the time of a pass. Gangs and steps with a bound for each target may
// not fit where others do.
constexpr int kMaxOtherFailedSteps = 400;

}  // namespace

FailedPlacements::Need FailedPlacements::GetNeed(const StepSpec& step) {
  return {step.long_running, step.required_label,
          GetReservedResources(step.demand, step.best_effort)};
}

void FailedPlacements::Add(const StepSpec& step,
                           const std::vector<Candidate>& candidates) {
  // Other steps need not share this one's spread over targets and earlier runs.
  PlacementRequest any;
  any.step = &step;
  if (PlaceTask(any, candidates)) {
    m_others += step.long_running ? 0 : 1;
    return;
  }
  m_hopeless.insert(GetNeed(step));
  if (!step.long_running) {
    ++m_counts[step.required_label];
  }
}

bool FailedPlacements::IsHopeless(const StepSpec& step) const {
  return (!step.long_running && IsFull(step.required_label)) ||
         m_hopeless.count(GetNeed(step)) > 0;
}

bool FailedPlacements::IsFull(const std::string& label) const {
  const auto found = m_counts.find(label);
  return found != m_counts.end() && found->second >= kMaxFailedSteps;
}

bool FailedPlacements::IsPoolFull() const {
  return IsFull("") || m_others >= kMaxOtherFailedSteps;
}

}  // namespace shallotwick::scheduling
