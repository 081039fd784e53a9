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

}  // namespace shallotwick::scheduling::testing
