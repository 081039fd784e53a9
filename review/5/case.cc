// An executor crashes on which a member of a gang runs that checkpoints its
// progress.

#include "../world.h"

namespace {

using review::Json;

constexpr char kGang[] = "5c0e7a21d94b36f8";
constexpr char kPath[] = "/quote/5c0e7a21d94b36f8";
constexpr char kFirstTask[] = "5c0e7a21d94b36f8.0.0.0";
constexpr char kOtherPath[] = "/quote/11117a21d94b36f8";
constexpr int kMembers = 3;
constexpr int kExecutors = 5;
// Until runs count for which the crash is near: contactMs, and gangMs.
constexpr int64_t kNearMs = 3'000 + review::Executors::kGangMs;

void CrashFirstMember(review::Executors& executors, review::Record& record) {
  const std::lock_guard<std::mutex> lock(executors.GetMutex());
  for (const auto& executor : executors.Get()) {
    if (executor->HasRun(kFirstTask)) {
      record.Note("case", "executor " + executor->GetId() + " crashes");
      executor->Crash();
      return;
    }
  }
}

int Run(const review::CaseContext& context, review::Record& record) {
  review::Deployment deployment(context, record);
  deployment.PutConfig(
      3, Json::array({review::MakeRoute("quote", "/quote/", "quotes", 4)}),
      {"quotes"});
  review::Executors& executors = deployment.m_executors;
  const auto is_gang = [](const std::string& task) {
    return task.find(kGang) == 0;
  };
  executors.m_plan = [is_gang](const std::string& task, int64_t) {
    return is_gang(task) ? review::RunPlan{9'000, "done"}
                         : review::RunPlan{750, "done"};
  };
  executors.m_gang_size = [is_gang](const std::string& task) {
    return is_gang(task) ? kMembers : 0;
  };
  for (int i = 0; i < kExecutors; ++i) {
    executors.Add("m-" + std::to_string(i), "quotes", "r1-1");
  }
  deployment.StartSchedulers(3);
  const Json job = {{"spec", "quote"},
                    {"steps",
                     {{{"count", kMembers},
                       {"cpu", 20'000},
                       {"estMs", 9'000},
                       {"gang", true},
                       {"checkpointing", true}}}}};
  // Other work, whose ends make the executors report at other moments than
  // those at which new checkpoints come.
  const Json other = {{"spec", "other"},
                      {"steps",
                       {{{"count", kExecutors},
                         {"cpu", 1'000},
                         {"estMs", 750},
                         {"maxPerServer", 1}}}}};
  if (deployment.Request(0, "POST", kPath, job.dump()) != 200 ||
      deployment.Request(0, "POST", kOtherPath, other.dump()) != 200 ||
      !review::WaitFor(
          5'000, [&] { return executors.CountPresent(kFirstTask) == 1; })) {
    return review::kExitNotRun;
  }
  review::SleepMs(2 * review::Executors::kCheckpointMs + 60);
  const int64_t crashed_at = record.GetMs();
  if (context.has_trouble) {
    CrashFirstMember(executors, record);
  }
  std::string state;
  review::WaitFor(30'000, [&] {
    state = deployment.GetState(1, kPath);
    review::SleepMs(500);
    return state == "completed" || state == "failed";
  });
  // What the members of each run were told to resume from.
  std::map<int64_t, std::set<std::string>> carried;
  int alone = 0;
  for (const review::RunEvent& event : executors.GetEvents()) {
    if (is_gang(event.task) && event.what == "start") {
      carried[event.run].insert(event.checkpoint);
    }
    alone +=
        event.what == "alone" && event.at_ms > crashed_at + kNearMs ? 1 : 0;
  }
  for (const auto& [run, values] : carried) {
    record.Note("case", "run " + std::to_string(run) + " carries " +
                            Json(values).dump());
  }
  record.Note("case", "the gang is shown as " + state +
                          "; ends alone with no disturbance near: " +
                          std::to_string(alone));
  return alone == 0 && state == "completed" ? review::kExitHeld
                                            : review::kExitBroken;
}

}  // namespace

int main(int argc, char** argv) { return review::RunCase(argc, argv, Run); }
