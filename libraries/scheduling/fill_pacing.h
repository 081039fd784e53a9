#pragma once

namespace shallotwick::scheduling {

// Returns the CPU share, in percent, at which best-effort tasks may run next to
// tasks with a latency target. `max_tail_ratio` is the highest ratio of a
// task's tail latency to its latency target in the last report; `percent` is
// the current share. The share is reduced at once and raised in steps, so that
// the tail latency returns below its target within one report.
int DecideBestEffortPercent(double max_tail_ratio, int percent);

}  // namespace shallotwick::scheduling
