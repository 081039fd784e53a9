#include "storage/commit_settler.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <deque>

#include "fakes/fake_table_service.h"

namespace base = shallotwick::base;
namespace fakes = shallotwick::fakes;
namespace storage = shallotwick::storage;

using fakes::TableFault;
using storage::CommitStatus;

namespace {

constexpr int kAttempts = 4;

storage::CommitRetryOptions MakeOptions() {
  storage::CommitRetryOptions options;
  options.attempts = kAttempts;
  options.sleep = [](base::Duration) {};
  return options;
}

// Injects the listed faults into the next calls, one each, and none afterwards.
void SetFaults(fakes::FakeTableService& table, std::deque<TableFault> faults) {
  auto remaining = std::make_shared<std::deque<TableFault>>(std::move(faults));
  table.SetChooseFault([remaining](bool) {
    if (remaining->empty()) {
      return TableFault::kNone;
    }
    const TableFault fault = remaining->front();
    remaining->pop_front();
    return fault;
  });
}

storage::Transaction MakeIncrement(const std::string& write_id,
                                   uint64_t generation, int value) {
  return {write_id,
          {storage::Condition::GenerationIs("n", generation)},
          {{"n", "{\"value\":" + std::to_string(value) + "}"}}};
}

}  // namespace

TEST_GROUP(CommitSettler){};

TEST(CommitSettler, CommitsOnceDespiteTransientFaults) {
  struct Case {
    const char* description;
    std::deque<TableFault> faults;
    CommitStatus expected;
  };
  const Case cases[] = {
      {"no fault", {}, CommitStatus::kCommitted},
      {"response lost", {TableFault::kAnswerLost}, CommitStatus::kCommitted},
      {"unavailable once", {TableFault::kDown}, CommitStatus::kCommitted},
      {"response lost, read-back fails",
       {TableFault::kAnswerLost, TableFault::kDown},
       CommitStatus::kCommitted},
      {"response lost after a failed attempt",
       {TableFault::kDown, TableFault::kNone, TableFault::kAnswerLost},
       CommitStatus::kCommitted},
  };
  for (const Case& test : cases) {
    fakes::FakeTableService table;
    SetFaults(table, test.faults);
    const auto result = storage::CommitAndResolve(
        table, MakeIncrement("w1", storage::kAbsent, 1), MakeOptions());
    CHECK_TEXT(result.status == test.expected, test.description);
    LONGS_EQUAL(table.Find("n")->generation, result.generation);
    LONGS_EQUAL(1, result.generation);
  }
}

TEST(CommitSettler, ConflictWithoutLostResponseIsReported) {
  fakes::FakeTableService table;
  table.Commit(MakeIncrement("other", storage::kAbsent, 5));
  const auto result = storage::CommitAndResolve(
      table, MakeIncrement("w1", storage::kAbsent, 1), MakeOptions());
  CHECK_TRUE(result.status == CommitStatus::kConflict);
}

TEST(CommitSettler, LostCommitThatIsOverwrittenIsNotAConflict) {
  fakes::FakeTableService table;
  int calls = 0;
  table.SetChooseFault([&](bool is_commit) {
    ++calls;
    return calls == 1 && is_commit ? TableFault::kAnswerLost
                                   : TableFault::kNone;
  });
  int commits = 0;
  table.SetBeforeCommit([&] {
    if (++commits == 1) {
      return;
    }
    // Another writer overwrites the row between the commit whose response is
    // lost and its retry.
    table.SetBeforeCommit(nullptr);
    table.Commit(MakeIncrement("other", 1, 9));
  });
  // The read-back fails, so that the commit is retried.
  table.SetChooseFault([&](bool is_commit) {
    ++calls;
    if (calls == 1) {
      return TableFault::kAnswerLost;
    }
    return calls == 2 && !is_commit ? TableFault::kDown : TableFault::kNone;
  });
  calls = 0;
  const auto result = storage::CommitAndResolve(
      table, MakeIncrement("w1", storage::kAbsent, 1), MakeOptions());
  CHECK_TRUE(result.status == CommitStatus::kCommitted ||
             result.status == CommitStatus::kUnknown);
}

TEST(CommitSettler, ThrowsUnavailableAfterMaxAttempts) {
  fakes::FakeTableService table;
  table.SetChooseFault([](bool) { return TableFault::kDown; });
  CHECK_THROWS(
      storage::Unavailable,
      storage::CommitAndResolve(table, MakeIncrement("w1", storage::kAbsent, 1),
                                MakeOptions()));
}

// Increments a counter under random faults. The number of writes to the row
// must equal the increments reported as committed plus those that took effect
// although their outcome was not resolved.
TEST(CommitSettler, ReportedCommitsTakeEffectExactlyOnce) {
  CHECK_TRUE(rc::check("increments under faults", [] {
    fakes::FakeTableService table;
    const auto faults = *rc::gen::container<std::vector<TableFault>>(
        60,
        rc::gen::weightedElement<TableFault>({{5, TableFault::kNone},
                                              {2, TableFault::kDown},
                                              {2, TableFault::kAnswerLost}}));
    SetFaults(table, {faults.begin(), faults.end()});
    int committed = 0;
    int unresolved = 0;
    for (int step = 0; step < 15; ++step) {
      const auto row = table.Find("n");
      const uint64_t generation = row ? row->generation : storage::kAbsent;
      const int value = committed + unresolved + 1;
      try {
        const auto result = storage::CommitAndResolve(
            table, MakeIncrement("w" + std::to_string(step), generation, value),
            MakeOptions());
        RC_ASSERT(result.status == CommitStatus::kCommitted);
        ++committed;
      } catch (const storage::Unavailable&) {
        const auto after = table.Find("n");
        const bool took_effect = after && after->generation != generation;
        unresolved += took_effect ? 1 : 0;
      }
    }
    const auto row = table.Find("n");
    const uint64_t commits = row ? row->generation : 0;
    RC_ASSERT(commits == static_cast<uint64_t>(committed + unresolved));
  }));
}
