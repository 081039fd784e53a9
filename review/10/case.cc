// A host freezes with a submission that it has not read yet; the caller leaves
// and cancels the submission elsewhere.

#include <chrono>
#include <csignal>
#include <cstdio>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "review/fleet.h"

namespace shallotwick::review {
namespace {

constexpr char kService[] = "encomendas";
constexpr int kSubmissions = 5;
constexpr int64_t kRunMs = 1'300;
constexpr int64_t kCpuMilli = 5'000;
// The bound of the rule.
constexpr int64_t kCancelMs = 3'000;
constexpr auto kFreeze = std::chrono::milliseconds(3'500);

std::string MakeJob() {
  return nlohmann::json{{"spec", MakeSpec({kRunMs, kCpuMilli, false})},
                        {"steps",
                         {{{"count", 8},
                           {"cpu", kCpuMilli},
                           {"memMb", 1'000},
                           {"estMs", kRunMs}}}}}
      .dump();
}

std::string MakeIdentifier(int number) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016x", 0x3000 + number);
  return text;
}

int Play(bool has_trouble) {
  FleetOptions options;
  options.services = {{kService, 12}};
  options.routes = {{{"name", "order-price"},
                     {"host", "caller.example"},
                     {"prefix", "/order/"},
                     {"service", kService},
                     {"attempts", 2},
                     {"priority", 1},
                     {"stretch", 1.6},
                     {"sloMs", 600}}};
  options.record_path = "review/10/record.txt";
  Fleet fleet(options);
  fleet.StartSchedulers();
  std::this_thread::sleep_for(std::chrono::seconds(8));
  const int owner = fleet.FindOwner(kService);
  if (owner < 0) {
    std::fprintf(stderr, "no scheduler owns the pool\n");
    return 2;
  }
  const int frozen = (owner + 1) % options.schedulers;
  const int other = (owner + 2) % options.schedulers;
  if (has_trouble) {
    fleet.SignalScheduler(frozen, SIGSTOP);
  }
  const auto thaw_at = Clock::now() + kFreeze;
  std::map<std::string, int64_t> cancelled_at_ms;
  std::vector<std::thread> callers;
  for (int i = 0; i < kSubmissions; ++i) {
    callers.emplace_back([&fleet, frozen, i] {
      fleet.Call(frozen, "POST", "/order/" + MakeIdentifier(i), MakeJob(),
                 std::chrono::milliseconds(300));
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (int i = 0; i < kSubmissions; ++i) {
    const std::string id = MakeIdentifier(i);
    const Answer answer = fleet.Call(other, "DELETE", "/order/" + id);
    if (answer.status == 410 || answer.status / 100 == 2) {
      cancelled_at_ms[id] = GetUnixMs();
    }
  }
  std::this_thread::sleep_until(thaw_at);
  if (has_trouble) {
    fleet.SignalScheduler(frozen, SIGCONT);
  }
  std::this_thread::sleep_for(std::chrono::seconds(8));
  int late = 0;
  for (const RunEvent& event : fleet.GetEvents()) {
    const std::string id = event.task.substr(0, event.task.find('.'));
    const auto cancelled = cancelled_at_ms.find(id);
    if (event.what == "start" && cancelled != cancelled_at_ms.end() &&
        event.at_ms > cancelled->second + kCancelMs) {
      ++late;
      fleet.Record("UNASKED: task " + event.task + " was started " +
                   std::to_string(event.at_ms - cancelled->second) +
                   " ms after its submission's cancelling was acknowledged");
    }
  }
  for (const auto& [id, time] : cancelled_at_ms) {
    fleet.Call(other, "GET", "/order/" + id);
  }
  fleet.RecordEvents();
  std::printf("%d starts after an acknowledged cancel\n", late);
  return late > 0 ? 1 : 0;
}

}  // namespace
}  // namespace shallotwick::review

int main() { return shallotwick::review::RunCase(shallotwick::review::Play); }
