// A large submission comes among small ones.

#include <chrono>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "review/fleet.h"

namespace shallotwick::review {
namespace {

constexpr char kService[] = "corte";
constexpr int kExecutors = 4;
constexpr int kLargeTasks = 6'000;
constexpr int kParts = 6;
constexpr int kSmallTasks = 6;
constexpr int64_t kLargeCpuMilli = 100;
constexpr int64_t kSmallCpuMilli = 2'300;
constexpr int64_t kRunMs = 640;

std::string MakeJob(int width, int64_t cpu_milli) {
  return nlohmann::json{{"spec", MakeSpec({kRunMs, cpu_milli, false})},
                        {"steps",
                         {{{"count", width},
                           {"cpu", cpu_milli},
                           {"memMb", 50},
                           {"estMs", kRunMs}}}}}
      .dump();
}

std::string MakeIdentifier(int number) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016x", 0x6000 + number);
  return text;
}

int Play(bool has_trouble) {
  FleetOptions options;
  options.services = {{kService, kExecutors}};
  options.routes = {{{"name", "cut-plan"},
                     {"host", "caller.example"},
                     {"prefix", "/cut/"},
                     {"service", kService},
                     {"attempts", 4},
                     {"priority", 0},
                     {"stretch", 1.6},
                     {"sloMs", 600}}};
  options.record_path = "review/8/record.txt";
  Fleet fleet(options);
  fleet.StartSchedulers();
  std::this_thread::sleep_for(std::chrono::seconds(6));
  std::vector<SoundJob> jobs;
  int number = 0;
  const auto submit = [&](int width, int64_t cpu_milli) {
    const std::string id = MakeIdentifier(number++);
    const Answer answer = fleet.CallUntilAnswered("POST", "/cut/" + id,
                                                  MakeJob(width, cpu_milli), 5);
    if (answer.status == 200) {
      jobs.push_back({id, width, cpu_milli});
    }
  };
  if (has_trouble) {
    submit(kLargeTasks, kLargeCpuMilli);
  } else {
    for (int i = 0; i < kParts; ++i) {
      submit(kLargeTasks / kParts, kLargeCpuMilli);
    }
  }
  for (int i = 0; i < 60; ++i) {
    submit(kSmallTasks, kSmallCpuMilli);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
  }
  fleet.Record("end of the traffic");
  IdleWatch watch(fleet, kService, jobs);
  const int broken = watch.Run(std::chrono::seconds(14));
  for (const SoundJob& job : jobs) {
    fleet.Call(0, "GET", "/cut/" + job.id);
  }
  fleet.RecordEvents();
  std::printf("%d submissions with nothing running for 3 s\n", broken);
  return broken > 0 ? 1 : 0;
}

}  // namespace
}  // namespace shallotwick::review

int main() { return shallotwick::review::RunCase(shallotwick::review::Play); }
