#pragma once

#include <functional>

#include "base/runtime_clock.h"
#include "storage/table_service.h"

namespace shallotwick::storage {

struct SettleOptions {
  // Commits tried in all before Unavailable is thrown.
  int attempts = 4;
  base::Duration first_delay = std::chrono::milliseconds(50);
  base::Duration longest_delay = std::chrono::milliseconds(400);
  std::function<void(base::Duration)> sleep;
};

// Sleeps on the calling thread.
void SleepFor(base::Duration duration);

// Commits a transaction and finds out what became of it when an answer is lost:
// the write id is read back before the transaction is sent again. Every write
// should be guarded by a generation condition, so that sending it twice can't
// write twice. Throws Unavailable if that can't be found out; the transaction
// may then have been committed or not.
CommitResult CommitAndSettle(TableService& table,
                             const Transaction& transaction,
                             const SettleOptions& options = {});

}  // namespace shallotwick::storage
