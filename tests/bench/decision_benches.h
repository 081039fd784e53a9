#pragma once

#include "bench_report.h"

namespace shallotwick::bench {

// Cost of the pure decisions and sizes of what is kept and sent, by size.
void RunPlannerBench(BenchReport* report);
void RunViewBench(BenchReport* report);
void RunDocumentBench(BenchReport* report);
void RunDigestBench(BenchReport* report);
// The brief's three measures, each against its baseline.
void RunMeasuresBench(BenchReport* report);

}  // namespace shallotwick::bench
