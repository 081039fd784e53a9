#pragma once

#include <cstdint>

#include "scheduling/tests/pool_model.h"

namespace shallotwick::scheduling::testing {

// Returns options with targets that restart under their ids.
PoolModelOptions MakeRestartOptions();

// Plays jobs whose tasks take `task_ms` on average with the first `in_ci`
// seeds, or as many as SHALLOTWICK_MODEL_SEEDS says, and fails if one of them
// has a violation. SHALLOTWICK_MODEL_TRACE prints events.
void CheckSeeds(const PoolModelOptions& options, uint32_t in_ci,
                int64_t task_ms = 400);

// Plays bursts of faults, each followed by a calm time, with long-running jobs
// beside short ones. `poison_jobs` fail wherever they run; `unplaceable_jobs`
// are long-running and fit on no target. Otherwise as CheckSeeds.
struct LongRunningPlay {
  PoolModelOptions options;
  int poison_jobs = 0;
  int unplaceable_jobs = 0;
};
void CheckLongRunningSeeds(const LongRunningPlay& play, uint32_t in_ci);

}  // namespace shallotwick::scheduling::testing
