#pragma once

#include <compare>

#include "base/runtime_clock.h"

namespace shallotwick::scheduling {

// The observed progress of a run.
struct RunPace {
  base::Duration elapsed{0};
  // The time since the reported percentage last increased or the run saved a
  // checkpoint.
  base::Duration since_progress{0};
  int percent = 0;
  // The longer of the submitter's estimate and the recent mean run time of such
  // tasks.
  base::Duration expected{0};

  auto operator<=>(const RunPace&) const = default;
};

// Returns whether a run makes no progress, or is so slow that its task would be
// done sooner if it were restarted on another target.
bool IsStalled(const RunPace& pace);

}  // namespace shallotwick::scheduling
