#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "hosts/host_operations.h"
#include "storage/row_store.h"
#include "table_follower.h"

namespace shallotwick::scheduler {

// An operation on some hosts that is agreed on by writing one shared row.
struct HostOperationRequest {
  std::vector<std::string> hosts;
  // What to do with each; called with the fence that orders it.
  std::function<void(const std::string& host, const hosts::HostFence& fence,
                     hosts::HostOperations::OnOutcome on_end)>
      operate;
  // The row that tells the others, as it was read and as it is to be.
  storage::VersionedRow shared_row;
  std::string new_value;
  // Once a host; kDone or the reason why it was given up.
  std::function<void(const std::string& host, hosts::HostOperationOutcome)>
      on_end;
  // The shared row could not be written; nothing was done.
  std::function<void()> on_refused;
};

// Knows the fleet's hosts, and orders operations on them: each is preceded by a
// write whose version is its fencing token, so that tokens rise for good over
// all owners of all pools.
class HostLedger {
 public:
  HostLedger(base::EventLoop& loop, storage::RowStore& store,
             hosts::HostOperations& operations, std::string holder,
             base::Duration holder_pause);

  // Whether that holder may still act.
  std::function<bool(const std::string& holder)> m_is_holder_live;
  // The store's steady clock, if it is known; intervals between holders are
  // measured by it.
  std::function<std::optional<int64_t>()> m_get_store_ms = [] {
    return std::nullopt;
  };
  // After each list and each change of a shared row.
  std::function<void()> m_on_change;

  // Keeps up with hosts and rows from now on, or no longer.
  void Start();
  void Stop();

  const std::map<std::string, hosts::FleetHost>& GetHosts() const {
    return m_hosts;
  }
  // When the list was asked for that GetHosts shows.
  base::TimePoint GetListTime() const { return m_list_time; }
  bool IsLoaded() const { return m_rows.IsLoaded() && !m_hosts.empty(); }

  // Whether this holder may begin an operation on the host.
  bool IsFree(const std::string& host, base::TimePoint now) const;
  void Operate(HostOperationRequest request);

  // A shared row; without a version if there is none.
  storage::VersionedRow GetSharedRow(const std::string& key) const;
  std::vector<storage::VersionedRow> ListSharedRows(
      const std::string& prefix) const;
  // Whether a write of WriteSharedRow is under way for the row.
  bool IsWriting(const std::string& key) const {
    return m_writing.count(key) > 0;
  }
  // Writes a shared row that goes with no operation.
  void WriteSharedRow(const storage::VersionedRow& row,
                      const std::string& value);

 private:
  struct Lock {
    uint64_t version = storage::kNoVersion;
    std::string holder;
    // Whoever wrote a row of another form may still be acting.
    bool is_holder_known = true;
    base::TimePoint observed;
    // When it was taken, by the store's clock, or somewhat earlier; nothing if
    // the holder did not say.
    std::optional<int64_t> taken_store_ms;
  };

  static Lock DecodeLock(const storage::VersionedRow& row);
  bool HasRested(const Lock& lock, base::TimePoint now) const;

  void OnRow(const storage::VersionedRow& row);
  void RefreshList();
  void Call(const HostOperationRequest& request, const std::string& host,
            const hosts::HostFence& fence);

  base::EventLoop& m_loop;
  storage::RowStore& m_store;
  hosts::HostOperations& m_operations;
  std::string m_holder;
  // Holders that take turns on one host keep so far apart.
  base::Duration m_holder_pause;
  TableFollower m_rows;
  std::map<std::string, storage::VersionedRow> m_shared;
  std::set<std::string> m_writing;
  std::map<std::string, Lock> m_locks;
  std::set<std::string> m_operating;
  // When the last operation on a host ended; older lists do not show it.
  std::map<std::string, base::TimePoint> m_ended;
  std::map<std::string, hosts::FleetHost> m_hosts;
  base::TimePoint m_list_time;
  bool m_is_started = false;
  bool m_is_listing = false;
  base::Lifetime m_lifetime;
};

}  // namespace shallotwick::scheduler
