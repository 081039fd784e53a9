#include "scheduling/step_fit.h"

#include <algorithm>
#include <limits>

namespace shallotwick::scheduling {
namespace {

// Needs of the jobs of a pool; beyond it, all are determined anew.
constexpr size_t kMaxKnownNeeds = 10'000;

// Returns how many tasks an empty target has room for.
int64_t CountTasks(const Resources& demand, const Resources& capacity) {
  if (!demand.Fits(capacity)) {
    return 0;
  }
  int64_t count = std::numeric_limits<int>::max();
  const auto bound = [&count](int64_t needed, int64_t offered) {
    count = needed > 0 ? std::min(count, offered / needed) : count;
  };
  bound(demand.cpu_milli, capacity.cpu_milli);
  bound(demand.memory_mb, capacity.memory_mb);
  bound(demand.accelerators, capacity.accelerators);
  return count;
}

}  // namespace

bool HasLabel(const std::vector<std::string>& labels,
              const std::string& label) {
  return label.empty() ||
         std::find(labels.begin(), labels.end(), label) != labels.end();
}

void StepFit::SetTargets(const Shapes& shapes) {
  if (shapes != m_shapes) {
    m_shapes = shapes;
    m_known.clear();
  }
}

StepFit::Need StepFit::GetNeed(const StepSpec& step) {
  return {step.required_label,
          GetReservedResources(step.demand, step.best_effort),
          step.gang ? step.count : 1, step.gang ? step.most_per_target : 0};
}

bool StepFit::CouldRun(const StepSpec& step) const {
  if (m_shapes.empty()) {
    return true;
  }
  const Need need = GetNeed(step);
  const auto known = m_known.find(need);
  if (known != m_known.end()) {
    return known->second;
  }
  if (m_known.size() >= kMaxKnownNeeds) {
    m_known.clear();
  }
  return m_known[need] = Compute(need);
}

bool StepFit::Compute(const Need& need) const {
  const auto& [label, demand, members, most_per_target] = need;
  int64_t room = 0;
  for (const auto& [shape, count] : m_shapes) {
    if (HasLabel(shape.labels, label)) {
      int64_t tasks = CountTasks(demand, shape.capacity);
      if (most_per_target > 0) {
        tasks = std::min<int64_t>(tasks, most_per_target);
      }
      room += tasks * count;
    }
  }
  return room >= members;
}

}  // namespace shallotwick::scheduling
