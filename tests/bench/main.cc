// Measures what docs/CAPACITY.md is worked out from.
// Usage: bench JSON-FILE, or bench jobs or customers for these alone.
#include <exception>
#include <iostream>
#include <string>

#include "bench_report.h"
#include "customer_benches.h"
#include "decision_benches.h"
#include "job_benches.h"
#include "process_benches.h"
#include "sharing_simulation.h"

int main(int argc, char** argv) {
  namespace bench = shallotwick::bench;
  if (argc != 2) {
    std::cerr << "usage: bench JSON-FILE|jobs|customers\n";
    return 2;
  }
  try {
    bench::BenchReport report;
    if (std::string(argv[1]) == "jobs") {
      bench::RunJobBench(&report);
      return 0;
    }
    if (std::string(argv[1]) == "customers") {
      bench::RunCustomerBench(&report);
      return 0;
    }
    bench::RunPathBench(&report);
    bench::RunJobBench(&report);
    bench::RunControlBench(&report);
    bench::RunLendingBench(&report);
    bench::RunPlannerBench(&report);
    bench::RunViewBench(&report);
    bench::RunDocumentBench(&report);
    bench::RunDigestBench(&report);
    bench::RunMeasuresBench(&report);
    bench::RunSharingBench(&report);
    bench::RunCustomerBench(&report);
    report.WriteJson(argv[1]);
  } catch (const std::exception& error) {
    std::cerr << "bench failed: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
