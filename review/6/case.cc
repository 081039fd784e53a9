// Submissions that can never run, beside sound ones that a busy moment has made
// late.

#include <chrono>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "review/fleet.h"

namespace shallotwick::review {
namespace {

constexpr char kService[] = "montagem";
constexpr int kExecutors = 11;
constexpr int64_t kRunMs = 640;
constexpr int64_t kCpuMilli = 2'300;
constexpr int64_t kMachineCpuMilli = 32'000;
constexpr int kWidth = 6;
constexpr int kPeakWidth = 10;
constexpr int kPeakPerSecond = 55;
constexpr int kPeakMs = 4'500;

std::string MakeJob(int width, int64_t cpu_milli, int64_t run_ms) {
  return nlohmann::json{{"spec", MakeSpec({run_ms, cpu_milli, false})},
                        {"steps",
                         {{{"count", width},
                           {"cpu", cpu_milli},
                           {"memMb", 1'000},
                           {"estMs", run_ms}}}}}
      .dump();
}

std::string MakeIdentifier(int number) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016x", 0x2000 + number);
  return text;
}

int Play(bool has_trouble) {
  FleetOptions options;
  options.services = {{kService, kExecutors}};
  options.routes = {{{"name", "buckle-fit"},
                     {"host", "caller.example"},
                     {"prefix", "/fit/"},
                     {"service", kService},
                     {"attempts", 4},
                     {"priority", 0},
                     {"stretch", 1.6},
                     {"sloMs", 600}}};
  options.record_path = "review/6/record.txt";
  Fleet fleet(options);
  fleet.StartSchedulers();
  std::this_thread::sleep_for(std::chrono::seconds(5));
  std::vector<std::thread> callers;
  std::vector<SoundJob> sound;
  int number = 0;
  const auto submit = [&](int width, int64_t cpu_milli, int64_t run_ms) {
    const std::string id = MakeIdentifier(number++);
    const std::string job = MakeJob(width, cpu_milli, run_ms);
    if (cpu_milli <= kMachineCpuMilli) {
      sound.push_back({id, width, cpu_milli});
    }
    callers.emplace_back([&fleet, id, job] {
      fleet.CallUntilAnswered("POST", "/fit/" + id, job, 5);
    });
  };
  // 14 submissions a second. One in twenty asks for more than any executor has.
  constexpr int kPerSecond = 14;
  constexpr int kLengthS = 66;
  constexpr int kNever = 20;
  for (int i = 0; i < kPerSecond * kLengthS; ++i) {
    const bool is_never = has_trouble && i % kNever == kNever - 1;
    submit(kWidth, is_never ? kMachineCpuMilli + 100 + i : kCpuMilli, kRunMs);
    std::this_thread::sleep_for(std::chrono::milliseconds(1'000 / kPerSecond));
  }
  // The queue's turn: five times as many for some seconds, more than the pool
  // holds.
  for (int i = 0; i < kPeakPerSecond * kPeakMs / 1'000; ++i) {
    submit(kPeakWidth, kCpuMilli, kRunMs);
    std::this_thread::sleep_for(
        std::chrono::milliseconds(1'000 / kPeakPerSecond));
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
