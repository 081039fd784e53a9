#pragma once

#include "base/resources.h"

namespace shallotwick::scheduling {

using base::Resources;

// Returns the resources that a task reserves on its target. A best-effort task
// reserves no CPU because it uses processor time that other tasks leave unused.
inline Resources GetReservedResources(Resources demand, bool best_effort) {
  if (best_effort) {
    demand.cpu_milli = 0;
  }
  return demand;
}

}  // namespace shallotwick::scheduling
