// The store turns the owner of a pool away; a submission ends and is shown as
// completed, and the executor that ran it crashes.

#include "../world.h"

namespace {

using review::Json;

constexpr char kPath[] = "/quote/5c0e7a21d94b36f8";
constexpr char kTask[] = "5c0e7a21d94b36f8.0.0.0";
constexpr int64_t kRunMs = 3'000;
constexpr int64_t kTurnedAwayMs = 9'000;
constexpr int64_t kNoteMs = 1'000;

int Run(const review::CaseContext& context, review::Record& record) {
  review::Deployment deployment(context, record);
  deployment.PutConfig(
      3, Json::array({review::MakeRoute("quote", "/quote/", "quotes", 4)}),
      {"quotes"});
  review::Executors& executors = deployment.m_executors;
  executors.m_plan = [](const std::string&, int64_t) {
    return review::RunPlan{kRunMs, "done"};
  };
  for (int i = 0; i < 4; ++i) {
    executors.Add("m-" + std::to_string(i), "quotes", "r1-1");
  }
  deployment.StartSchedulers(3);
  const auto owner = deployment.FindOwner("quotes");
  const Json job = {
      {"spec", "quote"},
      {"steps", {{{"count", 1}, {"cpu", 1'000}, {"estMs", kRunMs}}}}};
  if (!owner || deployment.Request(*owner, "POST", kPath, job.dump()) != 200 ||
      !review::WaitFor(3'000,
                       [&] { return executors.CountPresent(kTask) == 1; })) {
    return review::kExitNotRun;
  }
  review::SleepMs(kRunMs - 500);
  const int64_t turned_away_at = record.GetMs();
  if (context.has_trouble) {
    record.Note("case", "the store turns " +
                            deployment.GetScheduler(*owner).GetName() +
                            ", the owner, away");
    deployment.m_store.SetTurnedAway(*owner, true);
  }
  std::string state;
  review::WaitFor(2'500, [&] {
    state = deployment.GetState(*owner, kPath);
    return state == "completed";
  });
  const int64_t shown_at = record.GetMs();
  if (state != "completed") {
    return review::kExitNotRun;
  }
  if (context.has_trouble) {
    const std::lock_guard<std::mutex> lock(executors.GetMutex());
    for (const review::RunEvent& event : std::vector(executors.PeekEvents())) {
      for (const auto& executor : executors.Get()) {
        if (event.what == "done" && executor->GetId() == event.executor) {
          record.Note("case", "executor " + executor->GetId() + " crashes");
          executor->Crash();
        }
      }
    }
  }
  review::SleepMs(turned_away_at + kTurnedAwayMs - record.GetMs());
  deployment.m_store.SetTurnedAway(*owner, false);
  review::SleepMs(8'000);
  int late_starts = 0;
  for (const review::RunEvent& event : executors.GetEvents()) {
    late_starts +=
        event.what == "start" && event.at_ms > shown_at + kNoteMs ? 1 : 0;
  }
  deployment.GetState(0, kPath);
  record.Note("case",
              "starts over a second after the submission was shown as "
              "completed: " +
                  std::to_string(late_starts));
  return late_starts > 0 ? review::kExitBroken : review::kExitHeld;
}

}  // namespace

int main(int argc, char** argv) { return review::RunCase(argc, argv, Run); }
