#include "scheduling/placement_pass.h"

#include <algorithm>

namespace shallotwick::scheduling {

PlacementPass::PlacementPass(const std::vector<Candidate>& candidates)
    : m_candidate_count(std::max<size_t>(1, candidates.size())),
      m_has_quarantine(std::any_of(
          candidates.begin(), candidates.end(),
          [](const Candidate& each) { return each.is_quarantined; })) {}

void PlacementPass::AddFailure(const StepSpec& step,
                               const std::vector<Candidate>& candidates) {
  // Other steps need not share this one's spread over targets and earlier runs.
  PlacementRequest any;
  any.step = &step;
  AddSearch();
  if (PlaceTask(any, candidates)) {
    return;
  }
  const Kind kind = GetKind(step);
  const Resources need = GetReservedResources(step.demand, step.best_effort);
  if (!m_has_quarantine) {
    std::erase_if(m_no_room, [&](const auto& entry) {
      return entry.first == kind && need.Fits(entry.second);
    });
  }
  m_no_room.insert({kind, need});
}

bool PlacementPass::HasNoRoom(const StepSpec& step) const {
  if (m_no_room.empty()) {
    return false;
  }
  const Resources need = GetReservedResources(step.demand, step.best_effort);
  const auto covers = [&](const std::string& label) {
    const Kind kind{step.long_running, label};
    if (m_has_quarantine) {
      return m_no_room.count({kind, need}) > 0;
    }
    for (auto entry = m_no_room.lower_bound({kind, Resources{}});
         entry != m_no_room.end() && entry->first == kind; ++entry) {
      if (entry->second.Fits(need)) {
        return true;
      }
    }
    return false;
  };
  // Without room anywhere, there is none on the targets with a label.
  return covers(step.required_label) ||
         (!step.required_label.empty() && !m_has_quarantine && covers(""));
}

}  // namespace shallotwick::scheduling
