#include "job_tables.h"

#include <stdexcept>

#include "base/log.h"
#include "base/log_catalogue.h"
#include "base/stable_hash.h"

namespace shallotwick::scheduler {
namespace {

// Two tables per bucket stay well below the store's limit of 100 tables.
constexpr uint64_t kBucketCount = 32;
// Owners of many pools change divisions at the same time, and a partition takes
// some hundred transactions a second.
constexpr uint64_t kLimitPartitions = 8;
// Sorts before all digits.
constexpr char kPartSeparator = '/';

std::string GetBucket(const std::string& service) {
  return std::to_string(base::StableHash(service) % kBucketCount);
}

}  // namespace

std::string GetJobTable(const std::string& service) {
  return "jobs-" + GetBucket(service);
}

std::string GetProgressTable(const std::string& service) {
  return "progress-" + GetBucket(service);
}

storage::RowKey MakeJobKey(const std::string& service, const std::string& id) {
  return {GetJobTable(service), service, id};
}

storage::RowKey MakeProgressKey(const std::string& service,
                                const std::string& id) {
  return {GetProgressTable(service), service, id};
}

storage::RowKey MakeProgressPartKey(const std::string& service,
                                    const std::string& id,
                                    const std::string& part) {
  return {GetProgressTable(service), service, id + kPartSeparator + part};
}

std::pair<std::string, std::string> SplitProgressKey(const std::string& key) {
  const size_t separator = key.find(kPartSeparator);
  return separator == std::string::npos
             ? std::pair(key, std::string())
             : std::pair(key.substr(0, separator), key.substr(separator + 1));
}

storage::RowKey MakeOwnerKey(const std::string& service) {
  return {kOwnerTable, service, kPoolKey};
}

storage::RowKey MakeRosterKey(const std::string& service, size_t row) {
  const std::string suffix =
      row == 0 ? "" : kPartSeparator + std::to_string(row);
  return {kRosterTable, service, kPoolKey + suffix};
}

storage::RowKey MakeQueueKey(const std::string& service) {
  return {kQueueTable, service, kPoolKey};
}

storage::RowKey MakeLimitKey(const std::string& customer) {
  return {kLimitTable,
          std::to_string(base::StableHash(customer) % kLimitPartitions),
          customer};
}

storage::RowKey MakeSessionKey(const std::string& host) {
  return {kSessionTable, kSinglePartition, host};
}

std::optional<scheduling::ProgressSummary> ReadSummary(
    const storage::VersionedRow& row) {
  try {
    return scheduling::DecodeSummary(row.value);
  } catch (const std::runtime_error& error) {
    base::Log(base::events::kStoreContentInvalid, {{"pool", row.key.part},
                                                   {"job", row.key.key},
                                                   {"fault", error.what()}});
    return std::nullopt;
  }
}

}  // namespace shallotwick::scheduler
