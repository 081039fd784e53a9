#pragma once

namespace shallotwick::base {

// Blocks SIGTERM and SIGINT in the calling thread and in the threads it starts
// afterwards, and ignores SIGPIPE. Must be called before any thread is started.
void BlockStopSignals();

// Blocks until the process receives SIGTERM or SIGINT.
void WaitForStopSignal();

}  // namespace shallotwick::base
