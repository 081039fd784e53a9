#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "caller.h"
#include "standin-cluster/executor_model.h"

namespace shallotwick::soak {

// From the time at which a task can run until a run of its job is present.
inline constexpr auto kStallLimit = std::chrono::seconds(3);

struct CalmInterval {
  std::chrono::steady_clock::time_point from;
  std::chrono::steady_clock::time_point until;

  auto operator<=>(const CalmInterval&) const = default;
};

// A job of which nothing ran for at least the limit.
struct StalledJob {
  std::string job;
  std::chrono::steady_clock::time_point from;
  std::chrono::steady_clock::time_point until;

  auto operator<=>(const StalledJob&) const = default;
};

// Returns accepted jobs of which no run is present for kStallLimit although the
// turn of a task has come, there is room for it twice over, and less than half
// of the room is in use. Each job is listed once. Applies from `recovery` after
// the begin of each calm interval. `events` are in order of time; `slots` tasks
// fit on all executors, which are up in calm intervals.
std::vector<StalledJob> FindStalledJobs(
    const std::vector<CalledJob>& jobs,
    const std::vector<standin::RunEvent>& events,
    const std::vector<CalmInterval>& calm, std::chrono::milliseconds recovery,
    int64_t slots);

}  // namespace shallotwick::soak
