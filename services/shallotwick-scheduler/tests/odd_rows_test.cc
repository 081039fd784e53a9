// What the scheduler makes of rows and bodies that other writers got wrong.
#include <CppUTest/TestHarness.h>

#include <memory>
#include <vector>

#include "../job_tables.h"
#include "../peer_api.h"
#include "../queue_report.h"
#include "../session_renewer.h"
#include "../table_follower.h"
#include "fakes/fake_row_store.h"
#include "platform/names.h"
#include "scheduling/job_record.h"

namespace base = shallotwick::base;
namespace fakes = shallotwick::fakes;
namespace http = shallotwick::http;
namespace platform = shallotwick::platform;
namespace scheduler = shallotwick::scheduler;
namespace scheduling = shallotwick::scheduling;
namespace storage = shallotwick::storage;

TEST_GROUP(OddRows) {
  base::EventLoop m_loop;
  fakes::FakeRowStore m_store{m_loop};

  void ProcessDueEvents() {
    m_loop.GetContext().restart();
    m_loop.GetContext().poll();
  }
};

TEST(OddRows, RowOfAnotherPartitionIsNoRowOfTheTable) {
  scheduler::TableFollower follower(
      m_loop, m_store,
      {platform::kRegistryTable, {platform::kSharedPartition}});
  std::vector<std::string> seen;
  follower.m_on_reset = [](const std::vector<storage::VersionedRow>&) {};
  follower.m_on_change = [&seen](const storage::VersionedRow& row) {
    seen.push_back(row.key.part + "/" + row.key.key);
  };
  follower.Start();
  ProcessDueEvents();
  m_store.Put({platform::kRegistryTable, "other", "i-1"}, "{}");
  ProcessDueEvents();
  m_store.Put({platform::kRegistryTable, platform::kSharedPartition, "i-2"},
              "{}");
  ProcessDueEvents();
  LONGS_EQUAL(1, seen.size());
  STRCMP_EQUAL("/i-2", seen[0].c_str());
  follower.Stop();
}

TEST(OddRows, SessionWithOddFieldIsNoSession) {
  const char* const values[] = {
      R"({"boot":"b","cores":1e300})",
      R"({"boot":"b","cores":-1})",
      R"({"boot":"b","cores":1,"clock_offset_ms":1e300})",
      R"({"boot":"b","cores":1,"clock_offset_ms":1.5})",
      R"({"boot":"b","cores":1,"peer":"10.0.0.1:99999"})",
      R"({"boot":"b","cores":1,"peer":"10.0.0.1:80\r\nX: y"})",
      R"({"boot":"","cores":1})"};
  int number = 0;
  for (const char* value : values) {
    m_store.Put(scheduler::MakeSessionKey("odd-" + std::to_string(++number)),
                value);
  }
  m_store.Put(scheduler::MakeSessionKey("good"),
              R"({"boot":"b","cores":2,"peer":"10.0.0.1:80"})");
  scheduler::SessionRenewer session(m_loop, m_store, {"self", "1"}, 1);
  session.m_on_sessions_read = [] {};
  session.Start();
  ProcessDueEvents();
  const auto live = session.GetMonitor().GetLiveHosts();
  LONGS_EQUAL(2, live.size());
  LONGS_EQUAL(2, live.at({"good", "b"}));
  session.Release();
  ProcessDueEvents();
}

TEST(OddRows, QueueReportWithOddNumberIsNoReport) {
  storage::VersionedRow row;
  row.version = 1;
  row.value = R"({"counted_store_ms":7,"queued":{"quote":3}})";
  LONGS_EQUAL(3, scheduler::ReadQueueReport(row)->queued.at("quote"));
  for (const char* value :
       {R"({"counted_store_ms":1e300,"queued":{}})",
        R"({"counted_store_ms":7,"queued":{"quote":1e300}})",
        R"({"counted_store_ms":7,"queued":{"quote":-3}})",
        R"({"counted_store_ms":7,"queued":[3]})"}) {
    row.value = value;
    CHECK_TEXT(!scheduler::ReadQueueReport(row).has_value(), value);
  }
}

TEST(OddRows, JobOfPeerBeyondTheLimitsOfAJobIsRejected) {
  scheduler::PeerApi api;
  api.m_submit = [](const std::string&, const scheduling::JobSpec&,
                    const scheduler::JobService::OnOutcome&) {
    FAIL("an impossible job was submitted");
  };
  scheduling::JobSpec job;
  job.id = "5c0e7a21d94b36f8";
  for (const int count : {-5, 0, 2'000'000'000}) {
    scheduling::StepSpec step;
    step.count = count;
    job.steps = {step};
    http::Request request;
    request.method = "POST";
    request.target = "/jobs/quotes/" + job.id;
    request.body = scheduling::EncodeJobRecord(job);
    int status = 0;
    api.Handle(request, [&status](const http::Response& response) {
      status = response.status;
    });
    LONGS_EQUAL(400, status);
  }
}
