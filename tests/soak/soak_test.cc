// Random faults around real scheduler processes; the promises are checked from
// what callers and executors see.
#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>

#include "fault_play.h"
#include "harness/process.h"
#include "harness/wait.h"
#include "http/blocking_client.h"
#include "pause_log.h"
#include "promises.h"

namespace {

constexpr uint32_t kUsualSeeds = 4;

uint32_t ReadNumber(const char* name, uint32_t usual) {
  const char* text = std::getenv(name);
  return text == nullptr ? usual : static_cast<uint32_t>(std::stoul(text));
}

// A job of one step whose caller got no answer.
shallotwick::soak::CalledJob MakeUnansweredJob(int tasks) {
  shallotwick::soak::CalledJob job;
  job.id = "5c0e7a21d94b36f8";
  job.counts = {tasks};
  job.is_unknown = true;
  return job;
}

// Starts all tasks of the job's first step on the first executor.
void StartTasks(const shallotwick::soak::CalledJob& job,
                const shallotwick::standin::ClusterStandin& cluster) {
  using nlohmann::json;
  const json entry =
      json::parse(cluster.GetRow("servers", "", cluster.GetExecutorId(0)));
  for (int i = 0; i < job.counts[0]; ++i) {
    shallotwick::http::Request request;
    request.method = "POST";
    request.target = "/v1/run-start";
    request.headers = {{"Content-Type", "application/json"}};
    request.body = json{
        {"task", shallotwick::soak::MakeTaskName(job, 0, i)},
        {"run", 1},
        {"spec", "text"},
        {"untilMs", 9'000},
        {"fence", 1}}.dump();
    const auto answer = shallotwick::http::SendAndWait(
        "http://" + entry.at("addr").get<std::string>() + request.target,
        request);
    LONGS_EQUAL(200, answer.response.status);
  }
}

}  // namespace

TEST_GROUP(Soak){};

TEST(Soak, OnlyTimeInWhichTheSenderOfAnOrderIsStoppedIsLeftOut) {
  const shallotwick::standin::ClusterStandin cluster(1, 100);
  const auto begin = std::chrono::steady_clock::now();
  const auto at = [begin](int seconds) {
    return begin + std::chrono::seconds(seconds);
  };
  shallotwick::soak::PauseLog pauses;
  pauses.AddOwner(5, 0);
  pauses.AddOwner(6, 1);
  pauses.Pause(0, at(1));
  pauses.Pause(0, at(2));
  pauses.Resume(0, at(4));
  pauses.Resume(0, at(5));
  constexpr uint64_t kTokens = 16'384;
  CHECK_TRUE(pauses.GetActiveTime(5 * kTokens + 3, at(0), at(6), cluster) ==
             std::chrono::seconds(3));
  CHECK_TRUE(pauses.GetActiveTime(5 * kTokens, at(3), at(6), cluster) ==
             std::chrono::seconds(2));
  CHECK_TRUE(pauses.GetActiveTime(6 * kTokens, at(0), at(6), cluster) ==
             std::chrono::seconds(6));
  CHECK_TRUE(pauses.GetActiveTime(7 * kTokens, at(0), at(6), cluster) ==
             std::chrono::seconds(6));
}

TEST(Soak, StartOnAFullExecutorIsFound) {
  const shallotwick::standin::ClusterStandin cluster(1, 60'000);
  shallotwick::soak::CalledJob job = MakeUnansweredJob(9);
  StartTasks(job, cluster);
  const auto broken = shallotwick::soak::FindBrokenPromises({job}, cluster, {});
  LONGS_EQUAL(1, broken.size());
  STRCMP_CONTAINS("start beyond the capacity", broken[0].c_str());
}

TEST(Soak, StartAfterItsJobWasShownAsCompletedIsFound) {
  const shallotwick::standin::ClusterStandin cluster(1, 60'000);
  shallotwick::soak::CalledJob job = MakeUnansweredJob(1);
  StartTasks(job, cluster);
  const auto started = cluster.GetEvents().front().ordered;
  job.shown_completed_at = started - std::chrono::milliseconds(1'001);
  job.shown_completed_by = 3;
  const auto broken = shallotwick::soak::FindBrokenPromises({job}, cluster, {});
  LONGS_EQUAL(1, broken.size());
  STRCMP_CONTAINS("start after its job was shown as completed by host-3",
                  broken[0].c_str());
  job.shown_completed_at = started - std::chrono::milliseconds(999);
  LONGS_EQUAL(0,
              shallotwick::soak::FindBrokenPromises({job}, cluster, {}).size());
}

TEST(Soak, JobShownAsCompletedBeforeItsTasksEndedIsFound) {
  const shallotwick::standin::ClusterStandin cluster(1, 50);
  shallotwick::soak::CalledJob job = MakeUnansweredJob(1);
  job.is_accepted = true;
  job.state = "completed";
  job.shown_completed_at = std::chrono::steady_clock::now();
  StartTasks(job, cluster);
  const auto count_broken = [&job, &cluster] {
    return shallotwick::soak::FindBrokenPromises({job}, cluster, {}).size();
  };
  LONGS_EQUAL(1, count_broken());
  CHECK_TRUE(shallotwick::harness::WaitFor(
      [&cluster] { return cluster.GetEvents().back().what == "done"; }));
  LONGS_EQUAL(1, count_broken());
  job.shown_completed_at = cluster.GetEvents().back().at;
  LONGS_EQUAL(0, count_broken());
}

TEST(Soak, OverlappingFaultsBreakNoPromiseToCallersOrExecutors) {
  const uint32_t first = ReadNumber("SHALLOTWICK_SOAK_FIRST_SEED", 1);
  const uint32_t seeds = ReadNumber("SHALLOTWICK_SOAK_SEEDS", kUsualSeeds);
  shallotwick::soak::FaultPlayOptions options;
  options.hosts = ReadNumber("SHALLOTWICK_SOAK_HOSTS", 0);
  options.executors = ReadNumber("SHALLOTWICK_SOAK_EXECUTORS", 0);
  if (const char* path = std::getenv("SHALLOTWICK_SOAK_SCHEDULER")) {
    options.scheduler = path;
  }
  options.late_orders_precede_reports =
      ReadNumber("SHALLOTWICK_SOAK_EARLY_ORDERS", 0) != 0;
  std::string report;
  for (uint32_t seed = first; seed < first + seeds; ++seed) {
    const std::string directory = shallotwick::harness::MakeLogDirectory();
    std::vector<std::string> broken;
    std::string summary;
    {
      shallotwick::soak::FaultPlay play(seed, options, directory);
      broken = play.Run();
      summary = play.GetSummary();
    }
    if (broken.empty()) {
      std::cout << "seed " << seed << ": kept; " << summary << std::endl;
      std::filesystem::remove_all(directory);
      continue;
    }
    std::string text = "seed " + std::to_string(seed) + ": broken; logs in " +
                       directory +
                       "; to repeat: SHALLOTWICK_SOAK_SEEDS=1 "
                       "SHALLOTWICK_SOAK_FIRST_SEED=" +
                       std::to_string(seed) + " process-soak-test\n";
    for (const std::string& promise : broken) {
      text += "  " + promise + "\n";
    }
    std::cout << text << std::flush;
    report += text;
  }
  CHECK_TEXT(report.empty(), report.c_str());
}
