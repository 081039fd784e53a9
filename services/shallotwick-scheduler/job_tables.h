#pragma once

#include <optional>
#include <string>
#include <utility>

#include "scheduling/progress.h"
#include "storage/row_store.h"

// Tables and keys of the scheduler's own rows. All rows of a pool are in the
// partition named after its service, so that one transaction can write them
// together.
namespace shallotwick::scheduler {

inline constexpr char kSessionTable[] = "sessions";
inline constexpr char kOwnerTable[] = "owners";
inline constexpr char kRosterTable[] = "rosters";
// Number of waiting jobs by pool.
inline constexpr char kQueueTable[] = "queues";
// The service of each route, and fences of services that served one before.
inline constexpr char kRouteTable[] = "routes";
// Host locks, progress of maintenance waves, and capacity demands.
inline constexpr char kHostsTable[] = "hosts";
// The division of customers' limits among pools.
inline constexpr char kLimitTable[] = "limits";
inline constexpr char kSinglePartition[] = "";
// The only key in a pool's partition of the owner, roster and queue tables.
inline constexpr char kPoolKey[] = "pool";

// Job specifications and progress are distributed over several tables: an owner
// follows a whole table, and the store supports at most 100 tables.
std::string GetJobTable(const std::string& service);
std::string GetProgressTable(const std::string& service);

storage::RowKey MakeJobKey(const std::string& service, const std::string& id);
storage::RowKey MakeProgressKey(const std::string& service,
                                const std::string& id);
// A part of a job's progress that its record names. Follows the record in the
// order of keys.
storage::RowKey MakeProgressPartKey(const std::string& service,
                                    const std::string& id,
                                    const std::string& part);
// Returns the job and the part, which is empty for the job's record.
std::pair<std::string, std::string> SplitProgressKey(const std::string& key);
storage::RowKey MakeOwnerKey(const std::string& service);
// A roster takes several rows if it does not fit into one.
storage::RowKey MakeRosterKey(const std::string& service, size_t row = 0);
storage::RowKey MakeQueueKey(const std::string& service);
storage::RowKey MakeLimitKey(const std::string& customer);
storage::RowKey MakeSessionKey(const std::string& host);

// Decodes the summary of a progress row. Returns std::nullopt and logs the
// error if the row is malformed.
std::optional<scheduling::ProgressSummary> ReadSummary(
    const storage::VersionedRow& row);

}  // namespace shallotwick::scheduler
