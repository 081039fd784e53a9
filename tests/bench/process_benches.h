#pragma once

#include "bench_report.h"

namespace shallotwick::bench {

// Requests through a gateway against calling the stand-in directly.
void RunPathBench(BenchReport* report);
// What the control costs each process, by the number of gateways.
void RunControlBench(BenchReport* report);
// What the lending of slots costs while requests wait.
void RunLendingBench(BenchReport* report);

}  // namespace shallotwick::bench
