#include "storage/commit_settler.h"

#include <optional>
#include <thread>

#include "base/backoff.h"
#include "base/random_identifier.h"

namespace shallotwick::storage {
namespace {

std::vector<std::string> KeysWritten(const Transaction& transaction) {
  std::vector<std::string> keys;
  for (const Write& write : transaction.writes) {
    if (write.value) {
      keys.push_back(write.key);
    }
  }
  return keys;
}

// Looks for a lost commit in the rows that it would have written.
std::optional<CommitResult> ReadBack(TableService& table,
                                     const Transaction& transaction) {
  const std::vector<Row> rows =
      table.Read(ReadRequest{KeysWritten(transaction), {}});
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

CommitResult CommitAndSettle(TableService& table,
                             const Transaction& transaction,
                             const SettleOptions& options) {
  const auto sleep = options.sleep ? options.sleep : SleepFor;
  base::Backoff backoff(options.first_delay, options.longest_delay);
  bool answer_was_lost = false;
  for (int attempt = 1;; ++attempt) {
    try {
      if (answer_was_lost) {
        if (const auto committed = ReadBack(table, transaction)) {
          return *committed;
        }
      }
      CommitResult result = table.Commit(transaction);
      if (result.status != CommitStatus::kConflict || !answer_was_lost) {
        return result;
      }
      // The first try may have been committed between the two calls, or been
      // overwritten since.
      if (const auto committed = ReadBack(table, transaction)) {
        return *committed;
      }
      result.status = CommitStatus::kUnknown;
      return result;
    } catch (const Unavailable&) {
      answer_was_lost = true;
      if (attempt >= options.attempts) {
        throw;
      }
      sleep(backoff.NextDelay(base::MakeRandomFraction()));
    }
  }
}

}  // namespace shallotwick::storage
