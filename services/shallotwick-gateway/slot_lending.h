#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/periodic_task.h"
#include "control/link_thread.h"
#include "control/messages.h"
#include "routing/dispatcher.h"
#include "routing/slot_owner.h"

namespace shallotwick::gateway {

struct SlotLendingOptions {
  base::Duration period = std::chrono::milliseconds(100);
  std::chrono::milliseconds timeout{400};
  // Without an allowance from the owner for `borrower_timeout`, a borrower
  // returns the slots beyond its share. A lender takes its share back only
  // after `lender_timeout`, which is longer, so that the borrower has released
  // the slots by then.
  base::Duration borrower_timeout = std::chrono::seconds(1);
  base::Duration lender_timeout = std::chrono::seconds(2);
  // Time that a new owner waits before it grants slots, so that the allowances
  // of the previous owner have expired.
  base::Duration ownership_delay = std::chrono::milliseconds(2'500);
};

// The gateway that lends and borrows.
struct SlotLender {
  std::string gateway;
  std::string incarnation;

  auto operator<=>(const SlotLender&) const = default;
};

// Lends executors' slots from gateways that don't need them to gateways that
// do. The owner of a host, which is the first gateway in rendezvous order,
// allocates its slots. It sends allowances for the host only while a gateway
// has recently demanded more slots or not all gateways have their shares back.
// Thread-safe.
class SlotLending {
 public:
  SlotLending(SlotLender lender, control::LinkThread& links,
              routing::Dispatcher& dispatcher, SlotLendingOptions options);

  void Stop() { m_task.Stop(); }

  // Called at the owner of hosts with another gateway's demand for their slots.
  void RecordSlotDemand(const control::SlotDemands& wants);
  // Called at any gateway with an owner's allowances. Applies them and returns
  // the slots that are currently in use.
  control::SlotReports ApplyAllowances(
      const control::SlotAllowances& allowances);

 private:
  using Reports = std::map<std::string, routing::SlotReport>;

  base::Duration RunPass();
  // Recomputes owners and shares if the members, the hosts or their slots have
  // changed.
  void UpdateOwnership();
  void SendSlotDemand(const Reports& reports, base::TimePoint now);
  void AllocateOwnedSlots(base::TimePoint now);
  // Called when a member has responded to its allowances or the call to it has
  // failed. The last one starts the second phase of the pass.
  void OnMemberDone();
  // Allocates the slots that were freed according to the members' responses.
  void AllocateFreedSlots();
  void ApplyOwnAllowances(const std::map<std::string, int>& allowed);
  // Calls `on_member_done` when the member has responded or the call has
  // failed.
  void SendMemberAllowances(const std::string& member,
                            std::map<std::string, int> allowed,
                            std::function<void()> on_member_done);
  void ApplySlotReports(const std::string& member,
                        const control::SlotReports& reports);
  void RestoreExpiredShares(const Reports& reports, base::TimePoint now);

  // Returns whether the message is the newest one of its owner.
  bool IsNewest(const control::SlotAllowances& allowances);

  std::string m_gateway;
  std::string m_incarnation;
  control::LinkThread& m_links;
  routing::Dispatcher& m_dispatcher;
  SlotLendingOptions m_options;
  std::mutex m_mutex;
  std::map<std::string, routing::MemberRoute> m_members;
  std::map<std::string, int> m_slots;
  std::map<std::string, std::string> m_owner_of;
  std::map<std::string, int> m_shares;
  std::map<std::string, routing::SlotOwner> m_owned;
  base::TimePoint m_ownership_changed_at;
  uint64_t m_sequence = 0;
  // Members that have not responded in the current pass yet.
  size_t m_pending_responses = 0;
  // The incarnation and the sequence of each owner's newest allowances.
  std::map<std::string, std::pair<std::string, uint64_t>> m_newest;
  // When the last allowance for each host was received from its owner.
  std::map<std::string, base::TimePoint> m_last_allowance_at;
  base::PeriodicTask m_task;
};

}  // namespace shallotwick::gateway
