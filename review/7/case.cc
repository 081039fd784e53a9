// The owner of a pool is stopped while the platform refuses its order to move a
// machine; the next owner puts tasks on that machine.

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "review/fleet.h"

namespace shallotwick::review {
namespace {

constexpr char kGiving[] = "tinturaria";
constexpr char kNeedy[] = "encomendas";
constexpr char kStandby[] = "escritorio";
constexpr int kLastingTasks = 6;
constexpr int kMayMiss = 1;
constexpr int64_t kCpuMilli = 5'000;

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

std::string MakeLastingJob() {
  return nlohmann::json{{"spec", MakeSpec({0, kCpuMilli, false, true})},
                        {"steps",
                         {{{"count", kLastingTasks},
                           {"cpu", kCpuMilli},
                           {"memMb", 1'000},
                           {"estMs", 700},
                           {"longRunning", true},
                           {"mayMiss", kMayMiss}}}}}
      .dump();
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
  std::snprintf(text, sizeof(text), "%016x", 0x4000 + number);
  return text;
}

// Returns how many orders ended more tasks of the lasting step at once than it
// may miss.
int CountBrokenBudgets(Fleet& fleet) {
  int broken = 0;
  for (const MachineOrder& order : fleet.GetMachineOrders()) {
    if (static_cast<int>(order.ended_tasks.size()) > kMayMiss) {
      ++broken;
      fleet.Record(
          "AVAIL: the move of " + order.machine + " by " + order.holder +
          " ended " + std::to_string(order.ended_tasks.size()) +
          " tasks at work of a step that may miss " + std::to_string(kMayMiss));
    }
  }
  return broken;
}

int Play(bool has_trouble) {
  FleetOptions options;
  options.services = {{kGiving, 2}, {kNeedy, 2}, {kStandby, 1}};
  options.standby = kStandby;
  options.routes = {MakeRoute("dye", kGiving), MakeRoute("order", kNeedy)};
  options.record_path = "review/7/record.txt";
  Fleet fleet(options);
  fleet.StartSchedulers();
  std::this_thread::sleep_for(std::chrono::seconds(9));
  const int owner = fleet.FindOwner(kGiving);
  const int other = (owner + 1) % options.schedulers;
  if (owner < 0) {
    std::fprintf(stderr, "no scheduler owns the pool\n");
    return 2;
  }
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
  const auto until = Clock::now() + std::chrono::milliseconds(1'500);
  while (has_trouble && fleet.CountRefusedOrders() == 0 &&
         Clock::now() < until) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  if (has_trouble) {
    fleet.SignalScheduler(owner, SIGTERM);
  }
  fleet.Call(other, "POST", "/dye/" + MakeIdentifier(0), MakeLastingJob());
  std::this_thread::sleep_for(std::chrono::milliseconds(2'000));
  if (has_trouble) {
    fleet.SetCloudDown(false);
  }
  std::this_thread::sleep_for(std::chrono::seconds(6));
  const int broken = CountBrokenBudgets(fleet);
  fleet.Call(other, "DELETE", "/dye/" + MakeIdentifier(0));
  fleet.RecordEvents();
  std::printf("%d orders broke a disruption budget\n", broken);
  return broken > 0 ? 1 : 0;
}

}  // namespace
}  // namespace shallotwick::review

int main() { return shallotwick::review::RunCase(shallotwick::review::Play); }
