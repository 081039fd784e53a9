#pragma once

#include <string>
#include <vector>

#include "caller.h"
#include "pause_log.h"
#include "standin-cluster/cluster_standin.h"

namespace shallotwick::soak {

// Holds what executors saw against what callers were told. Returns what is
// broken.
std::vector<std::string> FindBrokenPromises(
    const std::vector<CalledJob>& jobs, const standin::ClusterStandin& cluster,
    const PauseLog& pauses);

}  // namespace shallotwick::soak
