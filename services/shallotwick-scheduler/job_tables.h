#pragma once

#include <optional>
#include <string>

#include "scheduling/progress.h"
#include "storage/row_store.h"

// Where this system keeps its own rows. All rows of one pool are in the part
// named after its service, so that they can be written together.
namespace shallotwick::scheduler {

inline constexpr char kSessionTable[] = "sessions";
inline constexpr char kOwnerTable[] = "owners";
inline constexpr char kRosterTable[] = "rosters";
// How many jobs wait, by pool.
inline constexpr char kQueueTable[] = "queues";
// Locks of hosts, maintenance waves and needs of capacity.
inline constexpr char kHostsTable[] = "hosts";
inline constexpr char kSinglePart[] = "";
// The only key of a pool's part in the tables of owners, rosters and queues.
inline constexpr char kPoolKey[] = "pool";

// Job specifications and progress are spread over several tables: an owner
// follows a table as a whole, and the store has at most 100 of them.
std::string GetJobTable(const std::string& service);
std::string GetProgressTable(const std::string& service);

storage::RowKey MakeJobKey(const std::string& service, const std::string& id);
storage::RowKey MakeProgressKey(const std::string& service,
                                const std::string& id);
storage::RowKey MakeOwnerKey(const std::string& service);
storage::RowKey MakeRosterKey(const std::string& service);
storage::RowKey MakeQueueKey(const std::string& service);
storage::RowKey MakeSessionKey(const std::string& host);

// What a row of progress says. Nothing, and a log line, if it is of another
// form.
std::optional<scheduling::ProgressSummary> ReadSummary(
    const storage::VersionedRow& row);

}  // namespace shallotwick::scheduler
