// A queue is removed from the config while a submission of it runs, and added
// again. One of the submission's runs fails meanwhile, of four allowed.

#include "../standin/world.h"

namespace {

using review::Json;

constexpr char kPath[] = "/quote/5c0e7a21d94b36f8";
constexpr int kAttempts = 4;
constexpr int64_t kRunsPerTerm = 1'000;

int Run(const review::CaseContext& context, review::Record& record) {
  review::Deployment deployment(context, record);
  const Json kept = review::MakeRoute("kept", "/kept/", "quotes", kAttempts);
  const Json quote = review::MakeRoute("quote", "/quote/", "quotes", kAttempts);
  deployment.PutConfig(3, Json::array({kept, quote}), {"quotes"});
  // The first run fails, the next one ends well.
  deployment.m_executors.m_plan = [](const std::string&, int64_t run) {
    return run % kRunsPerTerm == 1 ? review::RunPlan{5'000, "failed"}
                                   : review::RunPlan{500, "done"};
  };
  for (int i = 0; i < 4; ++i) {
    deployment.m_executors.Add("m-" + std::to_string(i), "quotes",
                               "r1-" + std::to_string(i / 2));
  }
  deployment.StartSchedulers(3);
  const Json job = {
      {"spec", "quote"},
      {"steps", {{{"count", 1}, {"cpu", 1'000}, {"estMs", 4'000}}}}};
  if (deployment.Request(0, "POST", kPath, job.dump()) != 200) {
    return review::kExitNotRun;
  }
  review::SleepMs(1'500);
  if (context.has_trouble) {
    deployment.PutConfig(7, Json::array({kept}), {"quotes"});
  }
  review::SleepMs(5'500);
  if (context.has_trouble) {
    deployment.PutConfig(12, Json::array({kept, quote}), {"quotes"});
  }
  review::SleepMs(3'000);
  std::string state;
  review::WaitFor(14'000, [&] {
    state = deployment.GetState(1, kPath);
    review::SleepMs(500);
    return state == "completed" || state == "failed";
  });
  int failed = 0;
  for (const review::RunEvent& event : deployment.m_executors.GetEvents()) {
    failed += event.what == "failed" ? 1 : 0;
  }
  record.Note("case", "shown as " + state + " after " + std::to_string(failed) +
                          " failed runs of " + std::to_string(kAttempts) +
                          " allowed");
  if (failed != 1) {
    return review::kExitNotRun;
  }
  return state == "completed" ? review::kExitHeld : review::kExitBroken;
}

}  // namespace

int main(int argc, char** argv) { return review::RunCase(argc, argv, Run); }
