#include "customer_benches.h"

#include <malloc.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "customers/share_planner.h"
#include "scheduling/customer_budget.h"

namespace shallotwick::bench {
namespace {

constexpr int kPools = 164;
constexpr int kRepeats = 200;
constexpr int kRunsPerCustomer = 5;

std::string MakeName(const char* kind, int number) {
  return std::string(kind) + "-" + std::to_string(number);
}

customers::CustomerRegistry MakeRegistry(int count) {
  std::vector<customers::Customer> listed;
  for (int i = 0; i < count; ++i) {
    listed.push_back({MakeName("customer", i),
                      {MakeName("key-of-some-length", i)},
                      10,
                      {1'000'000, 2'000'000, 0}});
  }
  base::Findings findings;
  return {listed, findings};
}

double GetHeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

}  // namespace

void RunCustomerBench(BenchReport* report) {
  customers::LimitShares division;
  for (int pool = 0; pool < kPools; ++pool) {
    division = division.WithShare(MakeName("pool", pool), {5'000, 9'000, 0});
  }
  report->Add("customers", "pools", kPools, "row of a customer",
              static_cast<double>(division.Format().size()), "bytes");
  for (const int count : {50, 100, 200}) {
    const double before = GetHeapBytes();
    const customers::CustomerRegistry registry = MakeRegistry(count);
    customers::SharePlanner planner(MakeName("pool", 0));
    planner.SetCustomers(registry);
    scheduling::CustomerBudget budget;
    budget.SetCustomers(registry);
    std::vector<int> numbers;
    for (const auto& [name, customer] : registry.GetCustomers()) {
      planner.OnRead({name, 1, division});
      numbers.push_back(budget.GetNumber(name));
    }
    budget.SetAllowances(planner.GetAllowances());
    report->Add("customers", "customers", count, "state of a pool's owner",
                GetHeapBytes() - before, "bytes");
    const auto started = std::chrono::steady_clock::now();
    for (int repeat = 0; repeat < kRepeats; ++repeat) {
      budget.BeginPass();
      for (const int number : numbers) {
        budget.AddJob(number);
        for (int run = 0; run < kRunsPerCustomer; ++run) {
          budget.AddUse(number, {800, 1'000, 0});
        }
      }
      budget.DividePool({320'000, 640'000, 0});
      budget.EndPass({10'000, 20'000, 0});
      planner.Plan(budget.GetNeeds(), true, base::TimePoint());
    }
    const double seconds = std::chrono::duration<double>(
                               std::chrono::steady_clock::now() - started)
                               .count() /
                           kRepeats;
    report->Add("customers", "customers", count, "pass and plan of an owner",
                seconds * 1e3, "ms");
  }
}

}  // namespace shallotwick::bench
