#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>
#include <vector>

#include "scheduling/fill_pacing.h"
#include "scheduling/job.h"
#include "scheduling/job_record.h"
#include "scheduling/placement.h"
#include "scheduling/pool_scheduler.h"
#include "scheduling/progress.h"
#include "scheduling/queue_order.h"
#include "scheduling/serving_config.h"
#include "scheduling/stall_detection.h"

namespace base = shallotwick::base;
namespace scheduling = shallotwick::scheduling;
using std::chrono::milliseconds;

namespace {

scheduling::JobSpec MakeJob() {
  scheduling::JobSpec job;
  job.id = "5c0e7a21d94b36f8";
  job.route = "quotes";
  job.payload = "text";
  job.accepted_ms = 1'000;
  job.max_attempts = 4;
  scheduling::StepSpec step;
  step.count = 2;
  step.demand = {1'800, 256, 0};
  step.estimate_ms = 500;
  job.steps = {step, step, step};
  job.steps[1].after = {0};
  job.steps[2].after = {0, 1};
  return job;
}

scheduling::Candidate MakeCandidate(const char* id, int64_t cpu_milli) {
  scheduling::Candidate candidate;
  candidate.id = id;
  candidate.rack = "r1";
  candidate.labels = {"a", "r1"};
  candidate.room = {cpu_milli, 65'536, 0};
  return candidate;
}

scheduling::QueueRank RankAt(int64_t now_ms, int64_t due_since_ms,
                             int64_t chain_ms) {
  scheduling::QueueInput input;
  input.policy.stretch = 1.6;
  input.policy.allowance_ms = 600;
  input.due_since_ms = due_since_ms;
  input.full_chain_ms = chain_ms;
  input.remaining_chain_ms = chain_ms;
  return scheduling::RankJob(input, now_ms);
}

// Lets a target report that a run of the task of "job1" has failed.
void ReportFailure(scheduling::PoolScheduler& pool, const char* target,
                   int64_t run) {
  const auto now = base::TimePoint(std::chrono::seconds(100));
  scheduling::TargetEntry entry;
  entry.id = target;
  pool.AddRosterTarget(entry, now);
  scheduling::ReportOrder order;
  order.target = target;
  scheduling::TargetReport report;
  report.ended = {
      {1, {"job1", 0, 0, 0}, run, scheduling::RunOutcome::kFailed, ""}};
  pool.OnReport(order, now, now, report);
}

}  // namespace

TEST_GROUP(Policy){};

TEST(Policy, JobCheckReportsAllErrors) {
  LONGS_EQUAL(0, scheduling::CheckJob(MakeJob()).size());
  struct Case {
    const char* path;
    void (*corrupt)(scheduling::JobSpec&);
  };
  const Case cases[] = {
      {"payload", [](auto& job) { job.payload.assign(4'001, 'x'); }},
      {"steps", [](auto& job) { job.steps.clear(); }},
      {"steps[0].count", [](auto& job) { job.steps[0].count = 0; }},
      {"steps[1].count", [](auto& job) { job.steps[1].count = 3'000'000; }},
      {"steps[0].after", [](auto& job) { job.steps[0].after = {0}; }},
      {"steps[1].after", [](auto& job) { job.steps[1].after = {2}; }},
      {"steps[1].after", [](auto& job) { job.steps[1].after = {-1}; }},
      {"steps[2]", [](auto& job) { job.steps[2].demand.memory_mb = -1; }},
      {"occurrences", [](auto& job) { job.occurrences = 2'000'000; }}};
  for (const Case& invalid : cases) {
    scheduling::JobSpec job = MakeJob();
    invalid.corrupt(job);
    const auto findings = scheduling::CheckJob(job);
    CHECK_TEXT(!findings.empty(), invalid.path);
    STRCMP_EQUAL(invalid.path, findings[0].place.c_str());
  }
  scheduling::JobSpec job = MakeJob();
  job.steps[0].count = 0;
  job.steps[2].estimate_ms = -5;
  LONGS_EQUAL(2, scheduling::CheckJob(job).size());
}

TEST(Policy, LongestChainFollowsStepDependencies) {
  const scheduling::JobSpec job = MakeJob();
  LONGS_EQUAL(1'500, scheduling::FindLongestChain(job, {}).estimate_ms);
  LONGS_EQUAL(
      1'000,
      scheduling::FindLongestChain(job, {true, false, false}).estimate_ms);
  scheduling::JobSpec wide = job;
  wide.steps[1].after.clear();
  wide.steps[2].after.clear();
  LONGS_EQUAL(500, scheduling::FindLongestChain(wide, {}).estimate_ms);
}

TEST(Policy, RecordsSurviveARoundTrip) {
  scheduling::JobSpec job = MakeJob();
  job.steps[0].long_running = true;
  job.steps[0].most_per_target = 2;
  job.steps[1].required_label = "b";
  job.steps[2].best_effort = true;
  job.occurrences = 3;
  job.first_due_ms = 17;
  job.interval_ms = 4;
  CHECK_TRUE(scheduling::DecodeJobRecord(scheduling::EncodeJobRecord(job)) ==
             job);
  scheduling::JobProgress progress = scheduling::MakeInitialProgress(job);
  progress.state = scheduling::JobState::kRunning;
  progress.tasks[2][1][1].done = true;
  progress.tasks[0][0][1].failed_runs = {1'002, 1'004};
  progress.tasks[1][2][0].checkpoint = "00000bb8";
  const std::string text = scheduling::EncodeProgress(progress);
  CHECK_TRUE(scheduling::DecodeProgress(job, text) == progress);
  CHECK_TRUE(scheduling::DecodeSummary(text).state ==
             scheduling::JobState::kRunning);
  STRCMP_EQUAL("quotes", scheduling::DecodeSummary(text).route.c_str());
}

TEST(Policy, MalformedRecordsAreRejected) {
  const scheduling::JobSpec job = MakeJob();
  const char* const texts[] = {
      "", "[]", "{\"state\":3}", "{\"state\":\"flying\"}",
      "{\"state\":\"running\",\"tasks\":[[0,7,0,{\"done\":true}]]}"};
  for (const char* text : texts) {
    CHECK_THROWS(std::runtime_error, scheduling::DecodeProgress(job, text));
  }
  CHECK_THROWS(std::runtime_error, scheduling::DecodeJobRecord("{\"id\":1}"));
}

// Guards against an overload in which jobs that have become overdue delay those
// that can still meet their objective, so that all of them end late.
TEST(Policy, JobsThatCanMeetTheirObjectivePrecedeOverdueOnes) {
  const auto fresh = RankAt(10'000, 9'900, 1'000);
  const auto urgent = RankAt(10'000, 9'400, 1'000);
  // Only 100 ms of slack, which is less than the uncertainty of the run time.
  const auto at_risk = RankAt(10'000, 8'900, 1'000);
  const auto overdue = RankAt(10'000, 7'000, 1'000);
  const auto past_recovery = RankAt(10'000, 1'000, 1'000);
  CHECK_TRUE(urgent < fresh);
  CHECK_TRUE(fresh < at_risk);
  CHECK_TRUE(at_risk < overdue);
  CHECK_TRUE(overdue < past_recovery);
  CHECK_TRUE(fresh.IsOnSchedule());
  CHECK_TRUE(at_risk.IsOnSchedule());
  CHECK_FALSE(overdue.IsOnSchedule());
}

// Simulates a load of 1.5 times the pool's capacity with run times between 40%
// and 160% of the expected value. Guards against least slack first without a
// margin, where each job starts so late that a longer run time makes it miss
// its objective.
TEST(Policy, MarginIncreasesJobsOnScheduleUnderOverload) {
  constexpr int kSlots = 20;
  constexpr int64_t kExpectedMs = 640;
  constexpr int64_t kArrivalMs = kExpectedMs * 2 / kSlots / 3;
  constexpr int kJobs = 400;
  const auto get_true_ms = [](int job) {
    return kExpectedMs * (40 + job * 37 % 120) / 100;
  };
  const auto count_on_schedule = [&](bool by_rank) {
    std::vector<int64_t> free_at(kSlots, 0);
    std::set<int> waiting;
    int on_schedule = 0;
    int next = 0;
    for (int64_t now = 0; next < kJobs || !waiting.empty(); ++now) {
      for (; next < kJobs && next * kArrivalMs <= now; ++next) {
        waiting.insert(next);
      }
      for (int64_t& free : free_at) {
        if (free > now || waiting.empty()) {
          continue;
        }
        const auto key = [&](int job) {
          auto rank = RankAt(now, job * kArrivalMs, kExpectedMs);
          if (!by_rank) {
            rank.tier = rank.slack_ms < 0 ? 1 : 0;
          }
          return rank;
        };
        const int job = *std::min_element(
            waiting.begin(), waiting.end(),
            [&](int left, int right) { return key(left) < key(right); });
        waiting.erase(job);
        free = now + get_true_ms(job);
        const int64_t objective_ms = get_true_ms(job) * 16 / 10 + 600;
        on_schedule += free <= job * kArrivalMs + objective_ms ? 1 : 0;
      }
    }
    return on_schedule;
  };
  CHECK_TRUE(count_on_schedule(true) > count_on_schedule(false));
}

TEST(Policy, PlacementPrefersTheBestFit) {
  const scheduling::JobSpec job = MakeJob();
  scheduling::PlacementRequest request;
  request.step = &job.steps[0];
  const std::vector<scheduling::Candidate> candidates = {
      MakeCandidate("wide", 30'000), MakeCandidate("tight", 2'000),
      MakeCandidate("full", 1'000)};
  LONGS_EQUAL(1, *scheduling::PlaceTask(request, candidates));
  request.avoided = {"tight"};
  LONGS_EQUAL(0, *scheduling::PlaceTask(request, candidates));
  request.excluded = {"wide"};
  LONGS_EQUAL(1, *scheduling::PlaceTask(request, candidates));
  request.excluded = {"wide", "tight"};
  CHECK_FALSE(scheduling::PlaceTask(request, candidates).has_value());
}

TEST(Policy, PlacementRespectsLabelsSpreadAndRacks) {
  scheduling::JobSpec job = MakeJob();
  std::vector<scheduling::Candidate> candidates = {
      MakeCandidate("near", 30'000), MakeCandidate("far", 20'000)};
  candidates[1].rack = "r2";
  candidates[1].labels = {"b", "r2"};
  scheduling::PlacementRequest request;
  request.step = &job.steps[0];
  request.preferred_rack = "r1";
  LONGS_EQUAL(0, *scheduling::PlaceTask(request, candidates));
  job.steps[0].most_per_target = 1;
  request.sibling_counts = {{"near", 1}};
  LONGS_EQUAL(1, *scheduling::PlaceTask(request, candidates));
  job.steps[0].required_label = "c";
  CHECK_FALSE(scheduling::PlaceTask(request, candidates).has_value());
}

TEST(Policy, BestEffortIsThrottledBeforeTheLatencyTargetIsReached) {
  LONGS_EQUAL(100, scheduling::DecideBestEffortPercent(0.3, 100));
  LONGS_EQUAL(50, scheduling::DecideBestEffortPercent(0.9, 100));
  LONGS_EQUAL(0, scheduling::DecideBestEffortPercent(1.2, 100));
  LONGS_EQUAL(60, scheduling::DecideBestEffortPercent(0.7, 60));
  LONGS_EQUAL(20, scheduling::DecideBestEffortPercent(0.2, 0));
}

TEST(Policy, StallDetectionDistinguishesStalledSlowAndLongRuns) {
  scheduling::RunPace pace;
  pace.expected = milliseconds(600);
  pace.elapsed = milliseconds(2'500);
  pace.since_progress = milliseconds(2'500);
  CHECK_FALSE(scheduling::IsStalled(pace));
  pace.elapsed = milliseconds(2'900);
  CHECK_TRUE(scheduling::IsStalled(pace));
  // The run is nearly done, so a restart would take longer.
  pace.since_progress = milliseconds(200);
  pace.percent = 80;
  CHECK_FALSE(scheduling::IsStalled(pace));
  pace.percent = 20;
  CHECK_TRUE(scheduling::IsStalled(pace));
}

TEST(Policy, RouteWithTheLongestMatchingPrefixIsSelected) {
  scheduling::ServingConfig config;
  config.routes.resize(3);
  config.routes[0] = {"wide", "a.example", "/q/", "one", {}};
  config.routes[1] = {"narrow", "a.example", "/q/r/", "two", {}};
  config.routes[2] = {"other", "b.example", "/q/", "three", {}};
  STRCMP_EQUAL("wide", config.FindRoute("a.example", "/q/x")->name.c_str());
  STRCMP_EQUAL("narrow",
               config.FindRoute("a.example:80", "/q/r/x")->name.c_str());
  STRCMP_EQUAL("other", config.FindRoute("b.example", "/q/r/x")->name.c_str());
  POINTERS_EQUAL(nullptr, config.FindRoute("c.example", "/q/x"));
  POINTERS_EQUAL(nullptr, config.FindRoute("a.example", "/p"));
}

// Guards against losing failures that are reported out of order: after a change
// of ownership, the completions of one task arrive from several targets in any
// order.
TEST(Policy, FailuresAreCountedInAnyReportOrder) {
  scheduling::PoolScheduler pool({});
  pool.SetRoutes({{"quote", {0, 2, 1.0, 0}}});
  scheduling::JobSpec job;
  job.id = "job1";
  job.route = "quote";
  job.steps.emplace_back();
  pool.AddJob(job, scheduling::MakeInitialProgress(job), true);
  ReportFailure(pool, "i-2", 2);
  CHECK_TRUE(pool.IsActive("job1"));
  // The same completion, reported again by another target, does not count as a
  // second failure.
  ReportFailure(pool, "i-3", 2);
  CHECK_TRUE(pool.IsActive("job1"));
  ReportFailure(pool, "i-1", 1);
  CHECK_FALSE(pool.IsActive("job1"));
}

TEST(Policy, JobOfRouteThatConfigurationLacksKeepsItsAttempts) {
  scheduling::PoolScheduler pool({});
  pool.SetRoutes({{"other", {0, 9, 1.0, 0}}});
  scheduling::JobSpec job;
  job.id = "job1";
  job.route = "quote";
  job.max_attempts = 3;
  job.steps.emplace_back();
  pool.AddJob(job, scheduling::MakeInitialProgress(job), true);
  ReportFailure(pool, "i-1", 1);
  ReportFailure(pool, "i-2", 2);
  CHECK_TRUE(pool.IsActive("job1"));
  ReportFailure(pool, "i-3", 3);
  CHECK_FALSE(pool.IsActive("job1"));
}
