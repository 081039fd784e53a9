#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "storage/row_store.h"

namespace shallotwick::scheduler {

// The number of jobs per route that wait for their first task, as counted by
// the pool's owner.
struct QueueReport {
  // Time of the count by the store's steady clock.
  int64_t counted_store_ms = 0;
  // Routes without a waiting job are omitted.
  std::map<std::string, int64_t> queued;

  // Returns whether the report is recent enough to be returned to callers at
  // `store_ms` by the store's clock.
  bool IsFresh(int64_t store_ms) const;

  auto operator<=>(const QueueReport&) const = default;
};

std::string EncodeQueueReport(const QueueReport& report);
// Returns std::nullopt if the row does not exist, or if it is malformed, which
// is logged.
std::optional<QueueReport> ReadQueueReport(const storage::VersionedRow& row);

}  // namespace shallotwick::scheduler
