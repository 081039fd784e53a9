#include "../claim_store.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <future>
#include <map>
#include <nlohmann/json.hpp>

#include "base/random_identifier.h"
#include "fakes/fake_host_list.h"
#include "fakes/fake_table_service.h"
#include "records/keys.h"

namespace base = shallotwick::base;
namespace fakes = shallotwick::fakes;
namespace gateway = shallotwick::gateway;
namespace records = shallotwick::records;

using fakes::TableFault;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

gateway::ClaimStoreOptions MakeOptions() {
  gateway::ClaimStoreOptions options;
  options.retry_delay = milliseconds(1);
  options.max_inline_body_bytes = 100;
  return options;
}

records::ClaimRecord MakeClaim(const std::string& attempt) {
  records::ClaimRecord record;
  record.attempt = attempt;
  record.request_digest = "digest";
  return record;
}

records::ClaimRecord MakeOutcome(const std::string& attempt,
                                 const std::string& body) {
  records::ClaimRecord record = MakeClaim(attempt);
  record.state = records::ClaimState::kFinished;
  record.status = 200;
  record.body = body;
  return record;
}

gateway::ClaimResult AcquireAndWait(gateway::ClaimStore& store,
                                    const std::string& key,
                                    const std::string& attempt) {
  std::promise<gateway::ClaimResult> result;
  store.Acquire(key, MakeClaim(attempt), base::RuntimeClock::now() + seconds(9),
                [&result](gateway::ClaimResult claimed) {
                  result.set_value(std::move(claimed));
                });
  return result.get_future().get();
}

std::optional<records::ClaimRecord> ReadAndWait(gateway::ClaimStore& store,
                                                const std::string& key) {
  std::promise<std::optional<records::ClaimRecord>> result;
  store.Read(key, [&result](const std::optional<records::ClaimRecord>& record,
                            bool available) {
    CHECK_TRUE(available);
    result.set_value(record);
  });
  return result.get_future().get();
}

void RecordAndWait(gateway::ClaimStore& store, const std::string& key,
                   const records::ClaimRecord& record) {
  std::promise<void> ended;
  store.Record(key, record, [&ended] { ended.set_value(); });
  ended.get_future().get();
}

}  // namespace

TEST_GROUP(ClaimStore) {
  fakes::FakeTableService m_table;
  fakes::FakeObjectStore m_objects;
};

TEST(ClaimStore, AcquireFailsIfAnotherGatewayHasClaimedTheKey) {
  gateway::ClaimStore one(m_table, m_objects, MakeOptions());
  gateway::ClaimStore other(m_table, m_objects, MakeOptions());
  CHECK_TRUE(std::holds_alternative<gateway::Claimed>(
      AcquireAndWait(one, "claim/k", "a1")));
  const auto second = AcquireAndWait(other, "claim/k", "a2");
  STRCMP_EQUAL("a1",
               std::get<gateway::ClaimConflict>(second).record.attempt.c_str());
}

TEST(ClaimStore, SmallAndLargeResponseBodiesAreReadBackInFull) {
  gateway::ClaimStore store(m_table, m_objects, MakeOptions());
  for (size_t size : {10UL, 100'000UL}) {
    const std::string key = "claim/" + std::to_string(size);
    AcquireAndWait(store, key, "a");
    RecordAndWait(store, key, MakeOutcome("a", std::string(size, '\xfe')));
    LONGS_EQUAL(size, ReadAndWait(store, key)->body.size());
  }
}

TEST(ClaimStore, OnlyTheOwnerRecordsOrReleasesAClaim) {
  gateway::ClaimStore store(m_table, m_objects, MakeOptions());
  AcquireAndWait(store, "claim/k", "a1");
  RecordAndWait(store, "claim/k", MakeOutcome("other", "x"));
  store.Release("claim/k", "other");
  CHECK_TRUE(ReadAndWait(store, "claim/k")->state ==
             records::ClaimState::kClaimed);
  store.Release("claim/k", "a1");
  CHECK_TRUE(store.Drain(seconds(9)));
  CHECK_FALSE(m_table.Find("claim/k").has_value());
}

TEST(ClaimStore, ConcurrentClaimsShareATransaction) {
  gateway::ClaimStore store(m_table, m_objects, MakeOptions());
  constexpr int kClaims = 200;
  std::atomic<int> claimed{0};
  // Blocks the first commit while the other claims are queued.
  std::promise<void> release;
  std::shared_future<void> released = release.get_future().share();
  m_table.SetBeforeCommit([released] { released.wait(); });
  for (int number = 0; number < kClaims; ++number) {
    store.Acquire(
        "claim/" + std::to_string(number), MakeClaim(std::to_string(number)),
        base::RuntimeClock::now() + seconds(9),
        [&claimed](const gateway::ClaimResult& result) {
          claimed += std::holds_alternative<gateway::Claimed>(result) ? 1 : 0;
        });
  }
  release.set_value();
  CHECK_TRUE(store.Drain(seconds(9)));
  LONGS_EQUAL(kClaims, claimed.load());
  CHECK_TRUE(m_table.CountCommits() <= 6);
}

TEST(ClaimStore, AClaimThatFailsWhileTheStoreIsDownIsReleasedLater) {
  gateway::ClaimStore store(m_table, m_objects, MakeOptions());
  // The first write takes effect but its response is lost. All later calls fail
  // without effect.
  std::atomic<bool> down{true};
  std::atomic<int> calls{0};
  m_table.SetChooseFault([&](bool) {
    if (!down.load()) {
      return TableFault::kNone;
    }
    return ++calls == 1 ? TableFault::kAnswerLost : TableFault::kDown;
  });
  CHECK_TRUE(std::holds_alternative<gateway::ClaimUnavailable>(
      AcquireAndWait(store, "claim/k", "a1")));
  CHECK_TRUE(m_table.Find("claim/k").has_value());
  down.store(false);
  CHECK_TRUE(store.Drain(seconds(9)));
  CHECK_FALSE(m_table.Find("claim/k").has_value());
}

TEST(ClaimStore, AnOutcomeIsStoredOnceTheStoreHasRecovered) {
  gateway::ClaimStore store(m_table, m_objects, MakeOptions());
  AcquireAndWait(store, "claim/k", "a1");
  std::atomic<bool> down{true};
  m_table.SetChooseFault([&down](bool) {
    return down.load() ? TableFault::kDown : TableFault::kNone;
  });
  // The callback is called after the first, failed attempt.
  RecordAndWait(store, "claim/k", MakeOutcome("a1", "answer"));
  down.store(false);
  CHECK_TRUE(store.Drain(seconds(9)));
  STRCMP_EQUAL("answer", ReadAndWait(store, "claim/k")->body.c_str());
}

TEST(ClaimStore, DestructorDoesNotWaitForAStoreThatIsDown) {
  const auto started = std::chrono::steady_clock::now();
  {
    gateway::ClaimStore store(m_table, m_objects, gateway::ClaimStoreOptions{});
    m_table.SetChooseFault([](bool) { return TableFault::kDown; });
    store.Release("claim/k", "a1");
  }
  // Far less than the record timeout of one minute, for which a release would
  // be retried.
  CHECK_TRUE(std::chrono::steady_clock::now() - started < seconds(30));
}

// Several gateways use the same keys while the table service fails at random.
// The test counts the runs of each key: no key may run more than once, and a
// request that was refused as not run must never have run.
TEST(ClaimStore, NoKeyRunsTwiceUnderRandomStoreFaults) {
  CHECK_TRUE(rc::check("claims under faults", [] {
    fakes::FakeTableService table;
    fakes::FakeObjectStore objects;
    const auto faults = *rc::gen::container<std::vector<TableFault>>(
        80,
        rc::gen::weightedElement<TableFault>({{6, TableFault::kNone},
                                              {2, TableFault::kDown},
                                              {2, TableFault::kAnswerLost}}));
    std::atomic<size_t> next{0};
    table.SetChooseFault([&](bool) {
      const size_t call = next.fetch_add(1);
      return call < faults.size() ? faults[call] : TableFault::kNone;
    });
    std::vector<std::unique_ptr<gateway::ClaimStore>> stores;
    for (int number = 0; number < 3; ++number) {
      stores.push_back(
          std::make_unique<gateway::ClaimStore>(table, objects, MakeOptions()));
    }
    std::map<std::string, int> runs;
    for (int step = 0; step < 40; ++step) {
      const std::string key =
          "claim/k" + std::to_string(*rc::gen::inRange(0, 5));
      auto& store = *stores[*rc::gen::inRange<size_t>(0, stores.size())];
      const std::string attempt = "a" + std::to_string(step);
      const auto result = AcquireAndWait(store, key, attempt);
      if (!std::holds_alternative<gateway::Claimed>(result)) {
        continue;
      }
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          // The gateway is killed after the claim, before or after the send.
          ++runs[key];
          break;
        case 1:
          // The request is refused before any byte is sent, so it did not run.
          store.Release(key, attempt);
          break;
        default:
          ++runs[key];
          RecordAndWait(store, key, MakeOutcome(attempt, "answer " + attempt));
          break;
      }
    }
    for (const auto& [key, count] : runs) {
      RC_ASSERT(count <= 1);
    }
  }));
}
