#include "job_benches.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <stdexcept>
#include <string>
#include <thread>

#include "harness/process.h"
#include "harness/wait.h"
#include "http/blocking_client.h"
#include "standin-cluster/cluster_standin.h"

namespace shallotwick::bench {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kTargets = 60;
constexpr int64_t kRunMilliseconds = 500;
constexpr int kTasksPerJob = 10;
constexpr auto kLoadTime = std::chrono::seconds(5);
constexpr auto kLongestWait = std::chrono::seconds(20);

struct JobLoad {
  // Between the submissions of two jobs.
  std::chrono::milliseconds pause;
  int cpu_milli;
};

// The last one asks about twice what the targets can run at a time.
constexpr JobLoad kLoads[] = {{std::chrono::milliseconds(100), 100},
                              {std::chrono::milliseconds(20), 100},
                              {std::chrono::milliseconds(10), 1'000}};

size_t CountDone(const standin::ClusterStandin& cluster) {
  const auto events = cluster.GetEvents();
  return static_cast<size_t>(
      std::count_if(events.begin(), events.end(),
                    [](const auto& event) { return event.what == "done"; }));
}

void Submit(const std::string& address, int number, int cpu_milli) {
  constexpr int kDigits = 16;
  std::string id = std::to_string(number);
  id.insert(0, kDigits - id.size(), '0');
  http::Request request;
  request.method = "POST";
  request.target = "/quote/" + id;
  request.headers = {{"Content-Type", "application/json"}};
  request.body = R"({"spec":"text","steps":[{"count":)" +
                 std::to_string(kTasksPerJob) + R"(,"cpu":)" +
                 std::to_string(cpu_milli) + R"(,"memMb":10,"estMs":500}]})";
  const auto result =
      http::SendAndWait("http://" + address + request.target, request);
  if (result.response.status != 200) {
    throw std::runtime_error("a job was not accepted");
  }
}

void RunLoad(BenchReport* report, const JobLoad& load) {
  const std::string directory = harness::MakeLogDirectory();
  standin::ClusterStandin cluster(kTargets, kRunMilliseconds);
  harness::Process scheduler(
      "services/shallotwick-scheduler/shallotwick-scheduler",
      {"--name", "host", "--listen", "127.0.0.1:0", "--ready-listen",
       "127.0.0.1:0", "--platform", cluster.GetAddress(), "--hosts",
       cluster.GetAddress()},
      directory + "/host.log");
  const std::string address = scheduler.WaitForStarted("http");
  harness::WaitFor(
      [&] { return !scheduler.FindEvents("pool-loaded").empty(); });
  const double before = harness::ReadUsage(scheduler.GetPid()).cpu_seconds;
  const auto began = Clock::now();
  int jobs = 0;
  for (auto next = began; next < began + kLoadTime; next += load.pause) {
    std::this_thread::sleep_until(next);
    Submit(address, jobs++, load.cpu_milli);
  }
  const size_t tasks = static_cast<size_t>(jobs) * kTasksPerJob;
  const bool are_done = harness::WaitFor(
      [&] { return CountDone(cluster) >= tasks; }, kLongestWait);
  if (!are_done) {
    throw std::runtime_error("not all tasks have ended");
  }
  const double used =
      harness::ReadUsage(scheduler.GetPid()).cpu_seconds - before;
  const double seconds =
      std::chrono::duration<double>(Clock::now() - began).count();
  const double rate = static_cast<double>(tasks) / seconds;
  report->Add("scheduler-task", "tasks_a_second", rate, "processor_time",
              used * 1e6 / static_cast<double>(tasks), "us/task");
  report->Add("scheduler-task", "tasks_a_second", rate, "processor_share",
              used / seconds, "cores");
  scheduler.Stop();
  std::filesystem::remove_all(directory);
}

}  // namespace

void RunJobBench(BenchReport* report) {
  for (const JobLoad& load : kLoads) {
    RunLoad(report, load);
  }
}

}  // namespace shallotwick::bench
