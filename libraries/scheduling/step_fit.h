#pragma once

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "scheduling/job.h"

namespace shallotwick::scheduling {

// What a target offers when it is empty.
struct TargetShape {
  Resources capacity;
  std::vector<std::string> labels;

  auto operator<=>(const TargetShape&) const = default;
};

bool HasLabel(const std::vector<std::string>& labels, const std::string& label);

// Tells steps that can never run on some targets, even when these are empty,
// from those that wait for room. Results are kept by need.
class StepFit {
 public:
  // The number of targets of each shape.
  using Shapes = std::map<TargetShape, int>;

  // Forgets the results if the targets differ from those known.
  void SetTargets(const Shapes& shapes);
  bool HasTargets() const { return !m_shapes.empty(); }
  // Returns whether the step could run. Without any target nothing is known,
  // and all steps could.
  bool CouldRun(const StepSpec& step) const;

 private:
  // Label and resources of a task, and the members and the bound for each
  // target of a gang.
  using Need = std::tuple<std::string, Resources, int, int>;

  static Need GetNeed(const StepSpec& step);
  bool Compute(const Need& need) const;

  Shapes m_shapes;
  mutable std::map<Need, bool> m_known;
};

}  // namespace shallotwick::scheduling
