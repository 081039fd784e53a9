#pragma once

#include <compare>

#include "base/runtime_clock.h"

namespace shallotwick::scheduling {

// What is known of a run's pace.
struct RunPace {
  base::Duration elapsed{0};
  // Since its percentage last grew or it saved a checkpoint.
  base::Duration since_progress{0};
  int percent = 0;
  // The longer of the submitter's estimate and what such tasks took lately.
  base::Duration expected{0};

  auto operator<=>(const RunPace&) const = default;
};

// Whether a run has stood still, or is so slow that its task is done sooner if
// it begins again on another target.
bool IsStalled(const RunPace& pace);

}  // namespace shallotwick::scheduling
