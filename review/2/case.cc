// A queue is removed and added again with another service, and a consumer's
// request for a submission of it arrives once more.

#include <algorithm>

#include "../world.h"

namespace {

using review::Json;

constexpr char kPath[] = "/quote/5c0e7a21d94b36f8";
constexpr char kTask[] = "5c0e7a21d94b36f8.0.0.0";
constexpr int64_t kRunMs = 15'000;
constexpr int64_t kConfigMs = 2'000;

int Run(const review::CaseContext& context, review::Record& record) {
  review::Deployment deployment(context, record);
  const std::vector<std::string> services = {"alpha", "beta"};
  const Json other = review::MakeRoute("other", "/other/", "alpha", 2);
  deployment.PutConfig(
      3,
      Json::array({other, review::MakeRoute("quote", "/quote/", "alpha", 2)}),
      services);
  deployment.m_executors.m_plan = [](const std::string&, int64_t) {
    return review::RunPlan{kRunMs, "done"};
  };
  for (int i = 0; i < 3; ++i) {
    const std::string number = std::to_string(i);
    deployment.m_executors.Add("m-a" + number, "alpha", "r1-1");
    deployment.m_executors.Add("m-b" + number, "beta", "r1-2");
  }
  deployment.StartSchedulers(3);
  const Json job = {
      {"spec", "quote"},
      {"steps", {{{"count", 1}, {"cpu", 1'000}, {"estMs", kRunMs}}}}};
  const int accepted = deployment.Request(0, "POST", kPath, job.dump());
  if (accepted != 200 || !review::WaitFor(3'000, [&] {
        return deployment.m_executors.CountPresent(kTask) == 1;
      })) {
    return review::kExitNotRun;
  }
  if (context.has_trouble) {
    deployment.PutConfig(7, Json::array({other}), services);
    review::SleepMs(500);
    deployment.PutConfig(
        12,
        Json::array({other, review::MakeRoute("quote", "/quote/", "beta", 2)}),
        services);
  }
  review::SleepMs(kConfigMs + 500);
  deployment.Request(1, "POST", kPath, job.dump());
  int most_present = 0;
  review::WaitFor(6'000, [&] {
    most_present =
        std::max(most_present, deployment.m_executors.CountPresent(kTask));
    return most_present > 1;
  });
  review::SleepMs(500);
  record.Note("case", "runs of " + std::string(kTask) +
                          " at the same time: " + std::to_string(most_present));
  if (most_present == 0) {
    return review::kExitNotRun;
  }
  return most_present > 1 ? review::kExitBroken : review::kExitHeld;
}

}  // namespace

int main(int argc, char** argv) { return review::RunCase(argc, argv, Run); }
