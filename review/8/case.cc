// The platform refuses orders for machines for some seconds. A pool in need has
// ordered a standby machine; a wave wants the same machine.

#include <chrono>
#include <cstdio>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "review/fleet/fleet.h"

namespace shallotwick::review {
namespace {

constexpr char kGiving[] = "tinturaria";
constexpr char kNeedy[] = "encomendas";
constexpr char kStandby[] = "escritorio";
constexpr int kExecutors = 2;
constexpr int64_t kCpuMilli = 5'000;
constexpr auto kOutage = std::chrono::milliseconds(5'000);
// The rule's bound.
constexpr int64_t kLeaseMs = 3'000;

nlohmann::json MakeRoute(const std::string& name, const std::string& service) {
  return {{"name", name},
          {"host", "caller.example"},
          {"prefix", "/" + name + "/"},
          {"service", service},
          {"attempts", 2},
          {"priority", 0},
          {"stretch", 1.6},
          {"sloMs", 600}};
}

std::string MakeShortJob() {
  return nlohmann::json{{"spec", MakeSpec({1'300, kCpuMilli, false})},
                        {"steps",
                         {{{"count", 16},
                           {"cpu", kCpuMilli},
                           {"memMb", 1'000},
                           {"estMs", 1'300}}}}}
      .dump();
}

std::string MakeIdentifier(int number) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016x", 0x5000 + number);
  return text;
}

// Returns how often a holder ordered a machine again after another holder had,
// all within the bound.
int CountTurns(Fleet& fleet) {
  int turns = 0;
  std::map<std::string, std::vector<ReceivedOrder>> by_machine;
  for (const ReceivedOrder& order : fleet.GetReceivedOrders()) {
    by_machine[order.machine].push_back(order);
  }
  for (const auto& [machine, orders] : by_machine) {
    // The last order before the holder changed.
    const ReceivedOrder* before_change = nullptr;
    for (size_t i = 1; i < orders.size(); ++i) {
      if (orders[i].holder == orders[i - 1].holder) {
        continue;
      }
      if (before_change != nullptr &&
          before_change->holder == orders[i].holder &&
          orders[i].at_ms - before_change->at_ms <= kLeaseMs) {
        ++turns;
        fleet.Record("ONE: " + machine + " was ordered by " + orders[i].holder +
                     " within " +
                     std::to_string(orders[i].at_ms - before_change->at_ms) +
                     " ms before and after " + orders[i - 1].holder);
      }
      before_change = &orders[i - 1];
    }
  }
  return turns;
}

int Play(bool has_trouble) {
  FleetOptions options;
  options.services = {
      {kGiving, kExecutors}, {kNeedy, kExecutors}, {kStandby, 1}};
  options.standby = kStandby;
  options.routes = {MakeRoute("dye", kGiving), MakeRoute("order", kNeedy)};
  options.record_path = "review/8/record.txt";
  Fleet fleet(options);
  fleet.StartSchedulers();
  std::this_thread::sleep_for(std::chrono::seconds(9));
  if (fleet.FindOwner(kNeedy) == fleet.FindOwner(kStandby)) {
    std::fprintf(stderr, "one scheduler owns both pools\n");
    return 2;
  }
  const auto outage_end = Clock::now() + kOutage;
  if (has_trouble) {
    fleet.SetCloudDown(true);
  }
  std::vector<std::thread> callers;
  for (int i = 1; i <= 12; ++i) {
    callers.emplace_back([&fleet, i] {
      fleet.CallUntilAnswered("POST", "/order/" + MakeIdentifier(i),
                              MakeShortJob(), 5);
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  // The standby machine is the one after those of the first service.
  fleet.RequestWave(1, {fleet.ListMachines().at(kExecutors)}, 30, 1);
  std::this_thread::sleep_until(outage_end);
  if (has_trouble) {
    fleet.SetCloudDown(false);
  }
  std::this_thread::sleep_for(std::chrono::seconds(6));
  const int turns = CountTurns(fleet);
  std::printf("%d turns of two holders\n", turns);
  return turns > 0 ? 1 : 0;
}

}  // namespace
}  // namespace shallotwick::review

int main() { return shallotwick::review::RunCase(shallotwick::review::Play); }
