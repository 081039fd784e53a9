#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
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
  // Slots beyond the share go back when the owner has not been heard for so
  // long; a share that was lent is taken back only later, so that the borrower
  // has let go first.
  base::Duration borrower_limit = std::chrono::seconds(1);
  base::Duration lender_limit = std::chrono::seconds(2);
  // A new owner waits for what a former one allowed to lapse.
  base::Duration owner_delay = std::chrono::milliseconds(2'500);
};

// Lends executors' slots from gateways that have no use for them to those that
// have. The owner of a host, the first gateway by rendezvous, decides; with no
// request waiting anywhere nobody is asked. Safe to use from several threads.
class SlotLending {
 public:
  SlotLending(std::string gateway, control::LinkThread& links,
              routing::Dispatcher& dispatcher, SlotLendingOptions options);

  void Stop() { m_task.Stop(); }

  // As the owner: takes another gateway's wants.
  void TakeWants(const control::SlotWants& wants);
  // As a holder: obeys an owner and says what is in use now.
  control::SlotReports TakeAllowances(
      const control::SlotAllowances& allowances);

 private:
  using Reports = std::map<std::string, routing::SlotReport>;

  base::Duration RunRound();
  // Starts anew when the members, the hosts or their slots have changed.
  void FollowView();
  void SendWants(const Reports& reports, base::TimePoint now);
  void ServeOwnedHosts(base::TimePoint now);
  // Ends one member's part of the round.
  void EndAnswer();
  // Gives the slots that the round's answers have freed.
  void GiveFreedSlots();
  void AllowSelf(const std::map<std::string, int>& allowed);
  // `on_answered` is called whether an answer came or not.
  void AllowMember(const std::string& member,
                   std::map<std::string, int> allowed,
                   std::function<void()> on_answered);
  void TakeReports(const std::string& member,
                   const control::SlotReports& reports);
  void ReturnLapsed(const Reports& reports, base::TimePoint now);

  std::string m_gateway;
  control::LinkThread& m_links;
  routing::Dispatcher& m_dispatcher;
  SlotLendingOptions m_options;
  std::mutex m_mutex;
  std::map<std::string, std::string> m_addresses;
  std::map<std::string, int> m_slots;
  std::map<std::string, std::string> m_owner_of;
  std::map<std::string, int> m_shares;
  std::map<std::string, routing::SlotOwner> m_owned;
  base::TimePoint m_owning_since;
  uint64_t m_sequence = 0;
  // Members that have not answered in the present round yet.
  size_t m_unanswered = 0;
  std::map<std::string, uint64_t> m_newest_sequence;
  // When an owner last spoke of each host.
  std::map<std::string, base::TimePoint> m_heard_at;
  base::PeriodicTask m_task;
};

}  // namespace shallotwick::gateway
