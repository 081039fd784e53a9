#pragma once

namespace shallotwick::scheduling {

// Decides at which share best-effort tasks may work beside tasks that serve.
// `worst_tail_ratio` is the highest tail latency of these over its target, as
// of the last report; `percent` is the share in force. Falls at once and rises
// in steps, so that the tail is under its target again within one report.
int DecideFillPercent(double worst_tail_ratio, int percent);

}  // namespace shallotwick::scheduling
