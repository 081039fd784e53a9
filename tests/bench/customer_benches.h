#pragma once

#include "bench_report.h"

namespace shallotwick::bench {

// Cost for the owner of a pool of dividing customers' limits, by the number of
// customers, with 164 pools.
void RunCustomerBench(BenchReport* report);

}  // namespace shallotwick::bench
