#pragma once

#include <functional>

#include "base/runtime_clock.h"
#include "storage/table_service.h"

namespace shallotwick::storage {

struct CommitRetryOptions {
  // Total number of attempts before Unavailable is thrown.
  int attempts = 4;
  base::Duration initial_delay = std::chrono::milliseconds(50);
  base::Duration max_delay = std::chrono::milliseconds(400);
  // SleepFor if empty.
  std::function<void(base::Duration)> sleep;
};

// Blocks the calling thread.
void SleepFor(base::Duration duration);

// Commits a transaction and resolves its outcome if a response is lost: before
// the transaction is sent again, its rows are read back and checked for its
// write id. Every write should be guarded by a generation condition, so that a
// repeated transaction can't take effect twice. Throws Unavailable if the
// outcome can't be resolved; the transaction may or may not have been
// committed.
CommitResult CommitAndResolve(TableService& table,
                              const Transaction& transaction,
                              const CommitRetryOptions& options = {});

}  // namespace shallotwick::storage
