#pragma once

#include "bench_report.h"

namespace shallotwick::bench {

// Ways to share executors' slots among gateways, under demand that comes in
// turns of five times the mean: static shares, no shares at all (each gateway
// may use every slot it believes free), and shares lent by an owner.
void RunSharingBench(BenchReport* report);

}  // namespace shallotwick::bench
