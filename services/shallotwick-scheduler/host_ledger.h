#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "host_listing.h"
#include "hosts/host_operations.h"
#include "storage/row_store.h"
#include "table_follower.h"

namespace shallotwick::scheduler {

// The host list may be this much older than the platform's answer to an
// operation on a host.
inline constexpr auto kHostListMargin = std::chrono::milliseconds(300);

// Hosts of one operation: each takes two entries of a transaction, as does the
// shared row.
inline constexpr size_t kMaxHostsPerOperation =
    storage::kMaxTransactionEntries / 2 - 1;

// An operation on up to kMaxHostsPerOperation hosts. Owners agree on it by a
// conditional write of one shared row before it is sent.
struct HostOperationRequest {
  std::vector<std::string> hosts;
  // Sends the operation to one host with the fencing token that orders it.
  std::function<void(const std::string& host, const hosts::HostFence& fence,
                     hosts::HostOperations::OnOutcome on_done)>
      operate;
  // Returns whether the decision may still be carried out on the host: by the
  // ownership on which it is based, and by what runs there. Asked before each
  // call.
  std::function<bool(const std::string& host)> may_operate =
      [](const std::string&) { return true; };
  // The shared row as it was read; `new_value` is the value to write.
  storage::VersionedRow shared_row;
  std::string new_value;
  // Called once per host with kDone or the reason why the operation was
  // rejected. If it was given up: kUnknown if it may have been done, otherwise
  // kRefused.
  std::function<void(const std::string& host, hosts::HostOperationOutcome)>
      on_done;
  // Called if the shared row could not be written; no operation was sent.
  std::function<void()> on_refused;
};

// Tracks the fleet's hosts and orders operations on them. Each operation is
// preceded by a write whose version becomes its fencing token, so tokens
// increase monotonically across all owners of all pools.
class HostLedger {
 public:
  HostLedger(base::EventLoop& loop, storage::RowStore& store,
             hosts::HostOperations& operations, std::string holder,
             base::Duration min_holder_interval);

  // Returns whether the process named by `holder` may still send operations.
  std::function<bool(const std::string& holder)> m_is_holder_live;
  // Returns whether this process may order operations at all.
  std::function<bool()> m_may_order = [] { return true; };
  // A call is answered or given up within this time.
  base::Duration m_max_call_time = std::chrono::milliseconds(1'000);
  // The store's steady clock in milliseconds, if known. Intervals between
  // operations of different holders are measured by it.
  std::function<std::optional<int64_t>()> m_get_store_ms = [] {
    return std::nullopt;
  };
  // Called after each host list and each change of a row in the hosts table.
  std::function<void()> m_on_change;

  // Start and stop polling the host list and following the hosts table.
  void Start();
  void Stop();

  const std::map<std::string, hosts::FleetHost>& GetHosts() const {
    return m_hosts;
  }
  // Time at which the list returned by GetHosts was requested.
  base::TimePoint GetListTime() const { return m_list_time; }
  // Returns what the list shows about targets.
  HostListing GetListing() const;
  bool IsLoaded() const { return m_rows.IsLoaded() && !m_hosts.empty(); }
  bool AreRowsLoaded() const { return m_rows.IsLoaded(); }

  // Returns whether this holder may begin an operation on the host.
  bool IsFree(const std::string& host, base::TimePoint now) const;
  void Operate(HostOperationRequest request);

  // Whether another holder has locked the host so lately that an operation of
  // it may still take effect.
  bool MayBeOrderedByOther(const std::string& host) const;
  // Begins no more calls.
  void StopOrders() { m_is_stopping = true; }
  // After StopOrders: calls back once the calls under way have ended.
  void RunWhenStopped(std::function<void()> on_stopped);

  // Returns the shared row; its version is kNoVersion if the row does not
  // exist.
  storage::VersionedRow GetSharedRow(const std::string& key) const;
  std::vector<storage::VersionedRow> ListSharedRows(
      const std::string& prefix) const;
  // Whether a write by WriteSharedRow is in flight for the row.
  bool IsWriting(const std::string& key) const {
    return m_rows_being_written.count(key) > 0;
  }
  // Writes a shared row without an associated host operation.
  void WriteSharedRow(const storage::VersionedRow& row,
                      const std::string& value);

 private:
  struct Lock {
    uint64_t version = storage::kNoVersion;
    std::string holder;
    // False if the row is malformed: the process that wrote it may still be
    // active.
    bool is_holder_known = true;
    base::TimePoint observed_at;
    // When the lock was acquired, by the store's clock. The commit may have
    // happened later. Empty if the holder did not record it.
    std::optional<int64_t> taken_store_ms;
  };

  static Lock DecodeLock(const storage::VersionedRow& row);
  bool HasMinHolderIntervalElapsed(const Lock& lock, base::TimePoint now) const;

  void OnRow(const storage::VersionedRow& row);
  void RefreshList();
  void OnHostsListed(const std::vector<hosts::FleetHost>& listed,
                     base::TimePoint requested_at);
  // An operation on one host under a lock.
  struct Operation {
    HostOperationRequest request;
    std::string host;
    hosts::HostFence fence;
    // No call begins later: others may take the host soon after.
    base::TimePoint deadline;
    // A call got no answer.
    bool may_be_done = false;
  };

  bool MayOperate(const Operation& operation) const;
  void SendOperation(Operation operation);
  void OnOutcome(Operation operation, hosts::HostOperationOutcome outcome);
  // Writes the lock anew, for a later deadline and a higher token.
  void RenewLock(Operation operation);
  void EndOperation(const Operation& operation,
                    hosts::HostOperationOutcome outcome);
  base::TimePoint GetDeadline(base::TimePoint locked_at) const;

  base::EventLoop& m_loop;
  storage::RowStore& m_store;
  hosts::HostOperations& m_operations;
  std::string m_holder;
  // Minimum interval between operations of different holders on one host.
  base::Duration m_min_holder_interval;
  TableFollower m_rows;
  std::map<std::string, storage::VersionedRow> m_shared_rows;
  std::set<std::string> m_rows_being_written;
  std::map<std::string, Lock> m_locks;
  std::set<std::string> m_hosts_in_operation;
  // When the last operation on a host ended; host lists requested earlier do
  // not show its result.
  std::map<std::string, base::TimePoint> m_operation_ended_at;
  std::map<std::string, hosts::FleetHost> m_hosts;
  base::TimePoint m_list_time;
  // Whether the list names each host once, and whether it and the list before
  // both do so for the same hosts.
  bool m_names_hosts_once = false;
  bool m_is_list_settled = false;
  bool m_is_stopping = false;
  int m_calls_under_way = 0;
  std::vector<std::function<void()>> m_on_stopped;
  bool m_is_started = false;
  bool m_is_listing = false;
  base::Lifetime m_lifetime;
};

}  // namespace shallotwick::scheduler
