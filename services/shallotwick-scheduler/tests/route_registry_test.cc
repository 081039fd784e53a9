// A job is one job, whichever service serves its route.
#include "../route_registry.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <optional>

#include "../job_service.h"
#include "../job_tables.h"
#include "../submission_batcher.h"
#include "fakes/fake_row_store.h"
#include "fakes/paused_loop.h"

namespace base = shallotwick::base;
namespace fakes = shallotwick::fakes;
namespace scheduler = shallotwick::scheduler;
namespace scheduling = shallotwick::scheduling;
namespace storage = shallotwick::storage;
using scheduler::JobCallOutcome;
using storage::RowCommitStatus;

namespace {

constexpr char kJob[] = "5c0e7a21d94b36f8";

scheduling::ServingConfig MakeConfig(int64_t version, const char* service) {
  scheduling::ServingConfig config;
  config.version = version;
  config.services = {"alpha", "beta", "gamma"};
  scheduling::Route route;
  route.name = "quote";
  route.host = "quotes.example";
  route.prefix = "/quote/";
  route.service = service;
  config.routes = {route};
  return config;
}

scheduling::JobSpec MakeJob() {
  scheduling::JobSpec job;
  job.id = kJob;
  job.route = "quote";
  job.steps.resize(1);
  job.steps[0].count = 1;
  return job;
}

}  // namespace

TEST_GROUP(RouteRegistry) {
  base::EventLoop m_loop;
  fakes::FakeRowStore m_store{m_loop};

  // A host with the configuration that is in force there.
  struct Host {
    Host(base::EventLoop& loop, storage::RowStore& store)
        : routes(loop, store), jobs(loop, store) {
      jobs.m_find_fence = [this](const std::string& service,
                                 const std::string& route) {
        return routes.FindFence(service, route);
      };
      jobs.m_on_fenced = [this] { routes.Refresh(); };
    }
    scheduler::RouteRegistry routes;
    scheduler::JobService jobs;
  };

  void setup() override { base::RuntimeClock::Pause(); }
  void teardown() override { base::RuntimeClock::Resume(); }

  void ProcessDueEvents() { fakes::ProcessDueEvents(m_loop); }

  std::unique_ptr<Host> MakeHost(const scheduling::ServingConfig& config) {
    auto host = std::make_unique<Host>(m_loop, m_store);
    host->routes.SetConfig(config);
    ProcessDueEvents();
    return host;
  }

  JobCallOutcome Submit(Host & host, const char* service) {
    std::optional<JobCallOutcome> outcome;
    host.jobs.Submit(service, MakeJob(),
                     [&outcome](JobCallOutcome result) { outcome = result; });
    ProcessDueEvents();
    return outcome.value();
  }

  // The number of services that have the job.
  int CountCopies() const {
    int copies = 0;
    for (const char* service : {"alpha", "beta", "gamma"}) {
      const auto row = m_store.Get(scheduler::MakeJobKey(service, kJob));
      copies += row.version != storage::kNoVersion ? 1 : 0;
    }
    return copies;
  }
};

TEST(RouteRegistry, RepeatedJobOfRouteWithNewServiceIsNotStoredAgain) {
  const auto host = MakeHost(MakeConfig(3, "alpha"));
  CHECK_TRUE(Submit(*host, "alpha") == JobCallOutcome::kDone);
  host->routes.SetConfig(MakeConfig(12, "beta"));
  ProcessDueEvents();
  CHECK_TRUE(Submit(*host, "beta") == JobCallOutcome::kDone);
  LONGS_EQUAL(1, CountCopies());
}

// The configuration is in force on some hosts only.
TEST(RouteRegistry, HostWithFormerConfigurationStoresNothingAnyMore) {
  const auto former = MakeHost(MakeConfig(3, "alpha"));
  const auto latest = MakeHost(MakeConfig(12, "beta"));
  CHECK_TRUE(Submit(*latest, "beta") == JobCallOutcome::kDone);
  CHECK_TRUE(Submit(*former, "alpha") == JobCallOutcome::kRefused);
  LONGS_EQUAL(1, CountCopies());
  // It does not take the route back either.
  former->routes.Refresh();
  ProcessDueEvents();
  CHECK_TRUE(Submit(*former, "alpha") == JobCallOutcome::kRefused);
  CHECK_TRUE(latest->routes.FindFence("beta", "quote").has_value());
}

TEST(RouteRegistry, JobOfEitherServiceIsFoundAfterTheRouteHasComeBack) {
  const auto host = MakeHost(MakeConfig(3, "alpha"));
  host->routes.SetConfig(MakeConfig(5, "beta"));
  ProcessDueEvents();
  CHECK_TRUE(Submit(*host, "beta") == JobCallOutcome::kDone);
  for (const char* service : {"gamma", "alpha"}) {
    const int64_t version = service[0] == 'g' ? 7 : 9;
    host->routes.SetConfig(MakeConfig(version, service));
    ProcessDueEvents();
    CHECK_TRUE(Submit(*host, service) == JobCallOutcome::kDone);
    LONGS_EQUAL(1, CountCopies());
  }
}

// It was sent while the route had this service for the first time.
TEST(RouteRegistry, LateTransactionIsFencedAfterTheRouteHasComeBack) {
  const auto host = MakeHost(MakeConfig(3, "alpha"));
  storage::RowTransaction late;
  scheduler::JobService::AddSubmission(
      "alpha", MakeJob(), host->routes.FindFence("alpha", "quote").value(),
      late);
  host->routes.SetConfig(MakeConfig(5, "beta"));
  ProcessDueEvents();
  host->routes.SetConfig(MakeConfig(7, "alpha"));
  ProcessDueEvents();
  RowCommitStatus status = RowCommitStatus::kUnknown;
  m_store.Commit(late, [&status](const storage::RowCommitResult& result) {
    status = result.status;
  });
  ProcessDueEvents();
  CHECK_TRUE(status == RowCommitStatus::kConflict);
  LONGS_EQUAL(0, CountCopies());
}

// As stored by earlier versions.
TEST(RouteRegistry, JobStoredBeforeThereWereRecordsIsNotStoredAgain) {
  m_store.Put(scheduler::MakeProgressKey("alpha", kJob),
              R"({"state":"running","route":"quote"})");
  m_store.Put(scheduler::MakeJobKey("alpha", kJob), "{}");
  const auto host = MakeHost(MakeConfig(3, "alpha"));
  host->routes.SetConfig(MakeConfig(12, "beta"));
  ProcessDueEvents();
  CHECK_TRUE(Submit(*host, "beta") == JobCallOutcome::kDone);
  LONGS_EQUAL(1, CountCopies());
}

TEST(RouteRegistry, MalformedRecordMakesEveryServiceAFormerOne) {
  {
    const auto host = MakeHost(MakeConfig(3, "alpha"));
    CHECK_TRUE(Submit(*host, "alpha") == JobCallOutcome::kDone);
  }
  storage::RowRange range;
  range.table = scheduler::kRouteTable;
  std::vector<storage::RowKey> keys;
  m_store.Read(range, [&keys](const storage::RowReadResult& result) {
    for (const storage::VersionedRow& row : result.rows) {
      keys.push_back(row.key);
    }
  });
  ProcessDueEvents();
  LONGS_EQUAL(1, keys.size());
  m_store.Put(keys[0], R"({"service":7})");
  const auto host = MakeHost(MakeConfig(12, "beta"));
  CHECK_TRUE(Submit(*host, "beta") == JobCallOutcome::kDone);
  LONGS_EQUAL(1, CountCopies());
}

TEST(RouteRegistry, BatchOfFencedJobsIsRefused) {
  const auto former = MakeHost(MakeConfig(3, "alpha"));
  scheduler::SubmissionBatcher batcher(m_loop, m_store, former->jobs, "alpha");
  const auto latest = MakeHost(MakeConfig(12, "beta"));
  std::optional<JobCallOutcome> outcome;
  batcher.Submit(MakeJob(),
                 [&outcome](JobCallOutcome result) { outcome = result; });
  ProcessDueEvents();
  CHECK_TRUE(outcome == JobCallOutcome::kRefused);
  LONGS_EQUAL(0, CountCopies());
}
