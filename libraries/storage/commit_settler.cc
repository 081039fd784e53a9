#include "storage/commit_settler.h"

#include <optional>
#include <thread>

#include "base/backoff.h"
#include "base/random_identifier.h"

namespace shallotwick::storage {
namespace {

std::vector<std::string> CollectWrittenKeys(const Transaction& transaction) {
  std::vector<std::string> keys;
  for (const Write& write : transaction.writes) {
    if (write.value) {
      keys.push_back(write.key);
    }
  }
  return keys;
}

// Returns the result of a commit whose response was lost, if one of the rows
// that it would have written carries its write id.
std::optional<CommitResult> FindCommittedResult(
    TableService& table, const Transaction& transaction) {
  const std::vector<Row> rows =
      table.Read(ReadRequest{CollectWrittenKeys(transaction), {}});
  for (const Row& row : rows) {
    if (row.write_id == transaction.write_id) {
      CommitResult result;
      result.generation = row.generation;
      return result;
    }
  }
  return std::nullopt;
}

}  // namespace

void SleepFor(base::Duration duration) {
  std::this_thread::sleep_for(duration);
}

CommitResult CommitAndResolve(TableService& table,
                              const Transaction& transaction,
                              const CommitRetryOptions& options) {
  const auto sleep = options.sleep ? options.sleep : SleepFor;
  base::Backoff backoff(options.initial_delay, options.max_delay);
  bool response_was_lost = false;
  for (int attempt = 1;; ++attempt) {
    try {
      if (response_was_lost) {
        if (const auto committed = FindCommittedResult(table, transaction)) {
          return *committed;
        }
      }
      CommitResult result = table.Commit(transaction);
      if (result.status != CommitStatus::kConflict || !response_was_lost) {
        return result;
      }
      // An earlier attempt may have taken effect after its rows were read back,
      // or its rows may since have been overwritten.
      if (const auto committed = FindCommittedResult(table, transaction)) {
        return *committed;
      }
      result.status = CommitStatus::kUnknown;
      return result;
    } catch (const Unavailable&) {
      response_was_lost = true;
      if (attempt >= options.attempts) {
        throw;
      }
      sleep(backoff.NextDelay(base::MakeRandomFraction()));
    }
  }
}

}  // namespace shallotwick::storage
