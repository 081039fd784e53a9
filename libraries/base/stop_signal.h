#pragma once

namespace shallotwick::base {

// Blocks SIGTERM and SIGINT in this thread and those that it starts. Call
// before the first thread.
void BlockStopSignals();

// Waits for SIGTERM or SIGINT.
void WaitForStopSignal();

}  // namespace shallotwick::base
