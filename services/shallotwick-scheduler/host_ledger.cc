#include "host_ledger.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "base/log.h"
#include "base/log_catalogue.h"
#include "job_tables.h"
#include "platform/wire_reader.h"

namespace shallotwick::scheduler {
namespace {

constexpr auto kHostListPeriod = std::chrono::milliseconds(400);
// Time for which changes of the shared rows are batched.
constexpr auto kRowsBatchDelay = std::chrono::milliseconds(50);
constexpr auto kRowsIdleTimeout = std::chrono::milliseconds(500);
constexpr auto kRetryDelay = std::chrono::milliseconds(250);
constexpr char kLockPrefix[] = "lock/";

// A lock records the time at which it was requested; the store may commit the
// write up to this much later.
constexpr auto kMaxCommitDelay = std::chrono::milliseconds(4'000);

std::string EncodeLock(const std::string& holder,
                       std::optional<int64_t> taken_store_ms) {
  nlohmann::json lock = {{"holder", holder}};
  if (taken_store_ms) {
    lock["taken_store_ms"] = *taken_store_ms;
  }
  return lock.dump();
}

storage::RowKey MakeHostsKey(const std::string& key) {
  return {kHostsTable, kSinglePartition, key};
}

const char* NameOf(hosts::HostOperationOutcome outcome) {
  using hosts::HostOperationOutcome;
  switch (outcome) {
    case HostOperationOutcome::kDone:
      return "done";
    case HostOperationOutcome::kFenced:
      return "fenced";
    case HostOperationOutcome::kBusy:
      return "busy";
    case HostOperationOutcome::kNotInWave:
      return "not-in-wave";
    case HostOperationOutcome::kInvalid:
      return "invalid";
    case HostOperationOutcome::kRefused:
      return "refused";
    case HostOperationOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace

HostLedger::HostLedger(base::EventLoop& loop, storage::RowStore& store,
                       hosts::HostOperations& operations, std::string holder,
                       base::Duration min_holder_interval)
    : m_loop(loop),
      m_store(store),
      m_operations(operations),
      m_holder(std::move(holder)),
      m_min_holder_interval(min_holder_interval),
      m_rows(loop, store,
             {kHostsTable,
              {kSinglePartition},
              kRowsBatchDelay,
              kRowsIdleTimeout}) {
  m_rows.m_on_reset = [this](const std::vector<storage::VersionedRow>& rows) {
    for (const storage::VersionedRow& row : rows) {
      OnRow(row);
    }
    m_on_change();
  };
  m_rows.m_on_change = [this](const storage::VersionedRow& row) {
    OnRow(row);
    m_on_change();
  };
}

void HostLedger::Start() {
  if (m_is_started) {
    return;
  }
  m_is_started = true;
  m_rows.Start();
  if (!m_is_listing) {
    RefreshList();
  }
}

void HostLedger::Stop() {
  m_is_started = false;
  m_rows.Stop();
  m_hosts.clear();
  m_names_hosts_once = false;
}

void HostLedger::OnRow(const storage::VersionedRow& row) {
  const std::string& key = row.key.key;
  const std::string prefix = kLockPrefix;
  if (key.compare(0, prefix.size(), prefix) == 0) {
    Lock& lock = m_locks[key.substr(prefix.size())];
    if (row.version > lock.version) {
      lock = DecodeLock(row);
    }
    return;
  }
  storage::VersionedRow& known = m_shared_rows[key];
  if (row.version > known.version) {
    known = row;
  }
}

HostLedger::Lock HostLedger::DecodeLock(const storage::VersionedRow& row) {
  Lock lock;
  lock.version = row.version;
  lock.observed_at = base::RuntimeClock::now();
  try {
    const auto object = platform::ParseWire(row.value);
    const platform::WireReader reader(object);
    const std::string holder =
        reader.GetText("holder", platform::kMaxTextBytes);
    if (reader.Has("taken_store_ms")) {
      lock.taken_store_ms =
          reader.GetInteger("taken_store_ms", platform::kClockMsRange);
    }
    lock.holder = holder;
  } catch (const std::runtime_error& error) {
    base::Log(base::events::kStoreContentInvalid,
              {{"row", row.key.key}, {"fault", error.what()}});
    lock.is_holder_known = false;
  }
  return lock;
}

// A process that has just started following the locks cannot tell from its own
// observation how long ago a lock was acquired, unless the store's clock shows
// that the lock is old enough.
bool HostLedger::HasMinHolderIntervalElapsed(const Lock& lock,
                                             base::TimePoint now) const {
  const std::optional<int64_t> store_ms = m_get_store_ms();
  const bool is_known_to_be_old =
      store_ms && lock.taken_store_ms &&
      std::chrono::milliseconds(*store_ms - *lock.taken_store_ms) >=
          m_min_holder_interval + kMaxCommitDelay;
  return is_known_to_be_old || now >= lock.observed_at + m_min_holder_interval;
}

void HostLedger::RefreshList() {
  m_is_listing = m_is_started;
  if (!m_is_started) {
    return;
  }
  const auto requested_at = base::RuntimeClock::now();
  m_operations.List(m_lifetime.Guard(
      [this, requested_at](bool is_listed,
                           const std::vector<hosts::FleetHost>& listed) {
        if (is_listed && m_is_started) {
          OnHostsListed(listed, requested_at);
          m_on_change();
        }
        m_loop.RunAfter(kHostListPeriod,
                        m_lifetime.Guard([this] { RefreshList(); }));
      }));
}

void HostLedger::OnHostsListed(const std::vector<hosts::FleetHost>& listed,
                               base::TimePoint requested_at) {
  std::map<std::string, hosts::FleetHost> hosts;
  for (const hosts::FleetHost& host : listed) {
    hosts[host.name] = host;
  }
  const bool names_hosts_once = hosts.size() == listed.size();
  const bool has_same_hosts =
      std::equal(hosts.begin(), hosts.end(), m_hosts.begin(), m_hosts.end(),
                 [](const auto& left, const auto& right) {
                   return left.first == right.first;
                 });
  m_is_list_settled = names_hosts_once && m_names_hosts_once && has_same_hosts;
  m_names_hosts_once = names_hosts_once;
  m_hosts = std::move(hosts);
  m_list_time = requested_at;
}

HostListing HostLedger::GetListing() const {
  HostListing listing;
  listing.requested_at = m_list_time;
  listing.is_settled = m_is_list_settled;
  for (const auto& [name, host] : m_hosts) {
    const bool is_malformed = host.state == hosts::HostState::kUnknown;
    if (is_malformed) {
      listing.malformed_hosts.insert(name);
      listing.lacks_targets = listing.lacks_targets || host.target.empty();
    }
    const bool may_be_up = is_malformed || host.state == hosts::HostState::kUp;
    listing.targets[name] = may_be_up ? host.target : "";
  }
  return listing;
}

bool HostLedger::IsFree(const std::string& host, base::TimePoint now) const {
  const auto ended = m_operation_ended_at.find(host);
  const bool is_list_older =
      ended != m_operation_ended_at.end() && m_list_time <= ended->second;
  if (m_hosts_in_operation.count(host) > 0 || is_list_older) {
    return false;
  }
  const auto lock = m_locks.find(host);
  return lock == m_locks.end() || lock->second.holder == m_holder ||
         (lock->second.is_holder_known &&
          !m_is_holder_live(lock->second.holder)) ||
         HasMinHolderIntervalElapsed(lock->second, now);
}

storage::VersionedRow HostLedger::GetSharedRow(const std::string& key) const {
  const auto found = m_shared_rows.find(key);
  if (found != m_shared_rows.end() && !found->second.is_removed) {
    return found->second;
  }
  storage::VersionedRow absent;
  absent.key = MakeHostsKey(key);
  return absent;
}

std::vector<storage::VersionedRow> HostLedger::ListSharedRows(
    const std::string& prefix) const {
  std::vector<storage::VersionedRow> rows;
  for (const auto& [key, row] : m_shared_rows) {
    if (key.compare(0, prefix.size(), prefix) == 0 && !row.is_removed) {
      rows.push_back(row);
    }
  }
  return rows;
}

void HostLedger::WriteSharedRow(const storage::VersionedRow& row,
                                const std::string& value) {
  if (!m_rows_being_written.insert(row.key.key).second) {
    return;
  }
  storage::RowTransaction transaction;
  transaction.expected = {{row.key, row.version}};
  transaction.writes = {{row.key, value}};
  m_store.Commit(std::move(transaction),
                 m_lifetime.Guard([this, key = row.key, value](
                                      const storage::RowCommitResult& result) {
                   m_rows_being_written.erase(key.key);
                   if (result.status == storage::RowCommitStatus::kCommitted) {
                     OnRow({key, value, result.version, false});
                   }
                   for (const storage::VersionedRow& current : result.current) {
                     OnRow(current);
                   }
                 }));
}

void HostLedger::Operate(HostOperationRequest request) {
  storage::RowTransaction transaction;
  transaction.expected = {{request.shared_row.key, request.shared_row.version}};
  transaction.writes = {{request.shared_row.key, request.new_value}};
  const std::string lock = EncodeLock(m_holder, m_get_store_ms());
  for (const std::string& host : request.hosts) {
    m_hosts_in_operation.insert(host);
    const storage::RowKey key = MakeHostsKey(kLockPrefix + host);
    transaction.expected.push_back({key, m_locks[host].version});
    transaction.writes.push_back({key, lock});
  }
  const auto deadline = GetDeadline(base::RuntimeClock::now());
  m_store.Commit(
      std::move(transaction),
      m_lifetime.Guard([this, lock, deadline, request = std::move(request)](
                           const storage::RowCommitResult& result) {
        for (const storage::VersionedRow& current : result.current) {
          OnRow(current);
        }
        if (result.status != storage::RowCommitStatus::kCommitted) {
          for (const std::string& host : request.hosts) {
            m_hosts_in_operation.erase(host);
          }
          request.on_refused();
          return;
        }
        OnRow(
            {request.shared_row.key, request.new_value, result.version, false});
        for (const std::string& host : request.hosts) {
          OnRow(
              {MakeHostsKey(kLockPrefix + host), lock, result.version, false});
          SendOperation({request, host,
                         hosts::HostFence{m_holder, result.version}, deadline,
                         false});
        }
      }));
}

base::TimePoint HostLedger::GetDeadline(base::TimePoint locked_at) const {
  const auto margin = std::min(m_max_call_time, m_min_holder_interval / 2);
  return locked_at + m_min_holder_interval - margin;
}

bool HostLedger::MayOperate(const Operation& operation) const {
  return !m_is_stopping && m_may_order() &&
         operation.request.may_operate(operation.host);
}

// Retries an operation without a definite result under the same fencing token,
// so that the platform performs it at most once, and only as long as this
// process has the right to it.
void HostLedger::SendOperation(Operation operation) {
  if (!MayOperate(operation)) {
    EndOperation(operation, hosts::HostOperationOutcome::kRefused);
    return;
  }
  if (base::RuntimeClock::now() >= operation.deadline) {
    RenewLock(std::move(operation));
    return;
  }
  ++m_calls_under_way;
  const auto operate = operation.request.operate;
  const std::string host = operation.host;
  const hosts::HostFence fence = operation.fence;
  operate(host, fence,
          m_lifetime.Guard([this, operation = std::move(operation)](
                               hosts::HostOperationOutcome outcome) {
            --m_calls_under_way;
            OnOutcome(operation, outcome);
            if (m_calls_under_way == 0) {
              for (const auto& on_stopped : std::exchange(m_on_stopped, {})) {
                on_stopped();
              }
            }
          }));
}

void HostLedger::OnOutcome(Operation operation,
                           hosts::HostOperationOutcome outcome) {
  base::Log(base::events::kHostOperation,
            {{"host", operation.host},
             {"agreed_in", operation.request.shared_row.key.key},
             {"token", std::to_string(operation.fence.token)},
             {"outcome", NameOf(outcome)}});
  operation.may_be_done |= outcome == hosts::HostOperationOutcome::kUnknown;
  const bool needs_retry = outcome == hosts::HostOperationOutcome::kUnknown ||
                           outcome == hosts::HostOperationOutcome::kRefused;
  if (!needs_retry) {
    EndOperation(operation, outcome);
    return;
  }
  m_loop.RunAfter(kRetryDelay,
                  m_lifetime.Guard([this, operation = std::move(operation)] {
                    SendOperation(operation);
                  }));
}

void HostLedger::RenewLock(Operation operation) {
  const storage::RowKey key = MakeHostsKey(kLockPrefix + operation.host);
  const std::string lock = EncodeLock(m_holder, m_get_store_ms());
  storage::RowTransaction transaction;
  transaction.expected = {{key, operation.fence.token}};
  transaction.writes = {{key, lock}};
  operation.deadline = GetDeadline(base::RuntimeClock::now());
  m_store.Commit(
      std::move(transaction),
      m_lifetime.Guard([this, key, lock, operation = std::move(operation)](
                           const storage::RowCommitResult& result) mutable {
        for (const storage::VersionedRow& current : result.current) {
          OnRow(current);
        }
        if (result.status != storage::RowCommitStatus::kCommitted) {
          EndOperation(operation, hosts::HostOperationOutcome::kRefused);
          return;
        }
        OnRow({key, lock, result.version, false});
        operation.fence.token = result.version;
        SendOperation(std::move(operation));
      }));
}

// After a call without an answer, a refusal may be due to its effect.
void HostLedger::EndOperation(const Operation& operation,
                              hosts::HostOperationOutcome outcome) {
  using hosts::HostOperationOutcome;
  const bool says_nothing = outcome == HostOperationOutcome::kRefused ||
                            outcome == HostOperationOutcome::kBusy ||
                            outcome == HostOperationOutcome::kFenced;
  const HostOperationOutcome result = operation.may_be_done && says_nothing
                                          ? HostOperationOutcome::kUnknown
                                          : outcome;
  if (outcome == HostOperationOutcome::kRefused) {
    base::Log(base::events::kHostOperationGivenUp,
              {{"host", operation.host},
               {"agreed_in", operation.request.shared_row.key.key},
               {"token", std::to_string(operation.fence.token)},
               {"may_be_done", operation.may_be_done ? "true" : "false"}});
  }
  m_hosts_in_operation.erase(operation.host);
  m_operation_ended_at[operation.host] = base::RuntimeClock::now();
  operation.request.on_done(operation.host, result);
}

bool HostLedger::MayBeOrderedByOther(const std::string& host) const {
  const auto lock = m_locks.find(host);
  if (lock == m_locks.end() || lock->second.holder == m_holder) {
    return false;
  }
  const std::optional<int64_t> store_ms = m_get_store_ms();
  return !store_ms || !lock->second.taken_store_ms ||
         std::chrono::milliseconds(*store_ms - *lock->second.taken_store_ms) <
             m_min_holder_interval + kMaxCommitDelay;
}

void HostLedger::RunWhenStopped(std::function<void()> on_stopped) {
  if (m_calls_under_way == 0) {
    on_stopped();
  } else {
    m_on_stopped.push_back(std::move(on_stopped));
  }
}

}  // namespace shallotwick::scheduler
