#include "limit_keeper.h"

#include <optional>
#include <stdexcept>
#include <utility>

#include "base/log.h"
#include "base/log_catalogue.h"
#include "job_tables.h"

namespace shallotwick::scheduler {
namespace {

// Bounds the transactions of a pool.
constexpr auto kUpdatePeriod = std::chrono::milliseconds(30);
constexpr auto kWaitLogPeriod = std::chrono::milliseconds(500);
// A customer's limit is rarely all that keeps its work waiting for long.
constexpr size_t kMaxWaitLines = 10;
// Up to this number of divisions, single rows are read.
constexpr size_t kMaxSingleReads = 3;

std::optional<customers::StoredShares> ReadShares(
    const storage::VersionedRow& row) {
  if (row.is_removed || row.version == storage::kNoVersion) {
    return customers::StoredShares{row.key.key, storage::kNoVersion, {}};
  }
  try {
    return customers::StoredShares{row.key.key, row.version,
                                   customers::LimitShares::Parse(row.value)};
  } catch (const std::runtime_error& error) {
    base::Log(base::events::kStoreContentInvalid, {{"row", row.key.table},
                                                   {"customer", row.key.key},
                                                   {"fault", error.what()}});
    return std::nullopt;
  }
}

}  // namespace

LimitKeeper::LimitKeeper(storage::RowStore& store,
                         base::MetricRegistry& metrics, std::string pool,
                         uint64_t owner_version)
    : m_store(store),
      m_metrics(metrics),
      m_pool(pool),
      m_owner_version(owner_version),
      m_planner(std::move(pool)) {}

void LimitKeeper::SetCustomers(const customers::CustomerRegistry& customers) {
  m_planner.SetCustomers(customers);
  m_on_change();
}

void LimitKeeper::Update(
    const std::map<std::string, customers::CustomerNeed>& needs,
    bool may_reduce, base::TimePoint now) {
  if (!m_planner.HasLimits() || now < m_updated_at + kUpdatePeriod) {
    return;
  }
  m_updated_at = now;
  const std::vector<customers::ShareChange> changes =
      m_planner.Plan(needs, may_reduce, now);
  if (!changes.empty()) {
    Commit(changes);
  }
  ReadDivisions(m_planner.ListToRead(now));
  LogWaits(needs, now);
}

void LimitKeeper::Commit(const std::vector<customers::ShareChange>& changes) {
  storage::RowTransaction transaction;
  transaction.expected = {{MakeOwnerKey(m_pool), m_owner_version}};
  for (const customers::ShareChange& change : changes) {
    const storage::RowKey key = MakeLimitKey(change.customer);
    transaction.expected.push_back({key, change.expected_version});
    transaction.writes.push_back({key, change.shares.Format()});
  }
  m_store.Commit(
      std::move(transaction),
      m_lifetime.Guard([this](const storage::RowCommitResult& result) {
        OnCommitted(result);
        m_on_change();
      }));
  // A reduction counts from now on.
  m_on_change();
}

void LimitKeeper::OnCommitted(const storage::RowCommitResult& result) {
  const auto now = base::RuntimeClock::now();
  const char* outcome = "failed";
  switch (result.status) {
    case storage::RowCommitStatus::kCommitted:
      outcome = "stored";
      m_planner.OnCommitted(result.version);
      break;
    case storage::RowCommitStatus::kConflict: {
      outcome = "conflict";
      std::vector<customers::StoredShares> current;
      for (const storage::VersionedRow& row : result.current) {
        if (row.key.table != kLimitTable) {
          continue;
        }
        if (auto stored = ReadShares(row)) {
          current.push_back(*std::move(stored));
        }
      }
      m_planner.OnConflict(current);
      // The divisions that are known now may change again soon.
      m_updated_at = {};
      break;
    }
    case storage::RowCommitStatus::kRefused:
    case storage::RowCommitStatus::kRejected:
    case storage::RowCommitStatus::kUnknown:
      m_planner.OnFailed(now);
      break;
  }
  m_metrics
      .GetCounter("shallotwick_limit_share_changes_total",
                  {{"outcome", outcome}})
      .Increment();
}

// Divisions are kept in few partitions, so that one read shows many.
void LimitKeeper::ReadDivisions(const std::vector<std::string>& customers) {
  if (customers.size() <= kMaxSingleReads) {
    for (const std::string& customer : customers) {
      ReadDivision(customer);
    }
    return;
  }
  std::map<std::string, std::set<std::string>> by_partition;
  for (const std::string& customer : customers) {
    by_partition[MakeLimitKey(customer).part].insert(customer);
  }
  for (const auto& [part, named] : by_partition) {
    storage::ReadPartition(
        m_store, kLimitTable, part,
        m_lifetime.Guard(
            [this, named = named](const storage::RowReadResult& result) {
              OnRead(named, result);
              m_on_change();
            }));
  }
}

void LimitKeeper::ReadDivision(const std::string& customer) {
  const storage::RowKey key = MakeLimitKey(customer);
  m_store.Read(
      {key.table, key.part, customer, storage::GetSuccessor(customer), 1},
      m_lifetime.Guard([this, customer](const storage::RowReadResult& result) {
        OnRead({customer}, result);
        m_on_change();
      }));
}

void LimitKeeper::OnRead(const std::set<std::string>& customers,
                         const storage::RowReadResult& result) {
  if (!result.is_read) {
    return;
  }
  std::set<std::string> missing = customers;
  for (const storage::VersionedRow& row : result.rows) {
    missing.erase(row.key.key);
    if (const auto stored = ReadShares(row)) {
      m_planner.OnRead(*stored);
    }
  }
  for (const std::string& customer : missing) {
    m_planner.OnRead({customer, storage::kNoVersion, {}});
  }
}

void LimitKeeper::LogWaits(
    const std::map<std::string, customers::CustomerNeed>& needs,
    base::TimePoint now) {
  if (now < m_waits_logged_at + kWaitLogPeriod) {
    return;
  }
  m_waits_logged_at = now;
  std::set<std::string> waiting;
  for (const auto& [customer, need] : needs) {
    if (need.blocked != base::Resources{}) {
      waiting.insert(customer);
    }
  }
  size_t lines = 0;
  const auto log = [&](const std::string& customer, bool is_waiting) {
    if (++lines > kMaxWaitLines) {
      return;
    }
    const auto need = needs.find(customer);
    const base::Resources used =
        need == needs.end() ? base::Resources{} : need->second.used;
    const base::Resources share = m_planner.GetShare(customer);
    const base::Resources total = m_planner.GetTotal(customer);
    base::Log(base::events::kCustomerLimited,
              {{"pool", m_pool},
               {"customer", customer},
               {"waits", is_waiting ? "true" : "false"},
               {"used_cpu", std::to_string(used.cpu_milli)},
               {"share_cpu", std::to_string(share.cpu_milli)},
               {"total_cpu", std::to_string(total.cpu_milli)},
               {"used_memory", std::to_string(used.memory_mb)},
               {"share_memory", std::to_string(share.memory_mb)},
               {"total_memory", std::to_string(total.memory_mb)}});
  };
  for (const std::string& customer : waiting) {
    if (m_waiting.count(customer) == 0) {
      log(customer, true);
    }
  }
  for (const std::string& customer : m_waiting) {
    if (waiting.count(customer) == 0) {
      log(customer, false);
    }
  }
  m_metrics.GetCounter("shallotwick_customers_limited_total")
      .Increment(waiting.size());
  m_waiting = std::move(waiting);
}

}  // namespace shallotwick::scheduler
