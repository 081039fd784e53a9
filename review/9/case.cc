// A few submissions that can never be done, among sound ones.

#include <chrono>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "review/fleet.h"

namespace shallotwick::review {
namespace {

constexpr char kService[] = "corte";
constexpr int64_t kRunMs = 640;
constexpr int64_t kCpuMilli = 2'300;
constexpr int kWidth = 6;
constexpr int kWidestWidth = 24;

std::string MakeJob(int width, bool fails) {
  return nlohmann::json{{"spec", MakeSpec({kRunMs, kCpuMilli, fails})},
                        {"steps",
                         {{{"count", width},
                           {"cpu", kCpuMilli},
                           {"memMb", 2'300},
                           {"estMs", 600}}}}}
      .dump();
}

std::string MakeIdentifier(int number) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016x", 0x1000 + number);
  return text;
}

int Play(bool has_trouble) {
  FleetOptions options;
  options.services = {{kService, 9}};
  options.routes = {{{"name", "cut-plan"},
                     {"host", "caller.example"},
                     {"prefix", "/cut/"},
                     {"service", kService},
                     {"attempts", 4},
                     {"priority", 0},
                     {"stretch", 1.6},
                     {"sloMs", 600}}};
  options.record_path = "review/9/record.txt";
  Fleet fleet(options);
  fleet.StartSchedulers();
  std::this_thread::sleep_for(std::chrono::seconds(6));
  // Submissions at 11 a second for 9 s, and at twice that for 3 s. Of the
  // latter, one in twenty can never be done.
  constexpr int kPerSecond = 11;
  constexpr int kCalm = 9 * kPerSecond;
  constexpr int kBusy = 3 * 2 * kPerSecond;
  constexpr int kPoisonEvery = 20;
  std::vector<std::thread> callers;
  std::vector<SoundJob> sound;
  for (int i = 0; i < kCalm + kBusy; ++i) {
    const bool is_poison = has_trouble && i >= kCalm &&
                           (i - kCalm) % kPoisonEvery == kPoisonEvery - 1;
    const std::string id = MakeIdentifier(i);
    const std::string job =
        MakeJob(is_poison ? kWidestWidth : kWidth, is_poison);
    if (!is_poison) {
      sound.push_back({id, kWidth, kCpuMilli});
    }
    callers.emplace_back([&fleet, id, job] {
      fleet.CallUntilAnswered("POST", "/cut/" + id, job, 5);
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(
        1'000 / (i < kCalm ? kPerSecond : 2 * kPerSecond)));
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  fleet.Record("end of the traffic");
  IdleWatch watch(fleet, kService, sound);
  const int broken = watch.Run(std::chrono::seconds(14));
  fleet.RecordEvents();
  std::printf("%d submissions with nothing running for 3 s\n", broken);
  return broken > 0 ? 1 : 0;
}

}  // namespace
}  // namespace shallotwick::review

int main() { return shallotwick::review::RunCase(shallotwick::review::Play); }
