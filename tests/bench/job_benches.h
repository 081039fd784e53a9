#pragma once

#include "bench_report.h"

namespace shallotwick::bench {

// Processor time of a scheduler process for each task that it runs on targets
// of the platform's stand-in.
void RunJobBench(BenchReport* report);

}  // namespace shallotwick::bench
