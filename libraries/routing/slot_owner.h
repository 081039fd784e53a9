#pragma once

#include <compare>
#include <map>
#include <string>
#include <vector>

#include "base/runtime_clock.h"

namespace shallotwick::routing {

// The slots of one gateway on a resource, as the gateway reports them.
struct SlotReport {
  // Slots that the gateway uses, and those that it may use.
  int in_use = 0;
  int allowance = 0;
  // Slots that the gateway would use now if it had them.
  int wanted = 0;

  auto operator<=>(const SlotReport&) const = default;
};

struct SlotOwnerLimits {
  // All members return to their shares once no gateway has demanded more slots
  // for this long.
  base::Duration idle_limit = std::chrono::seconds(2);

  auto operator<=>(const SlotOwnerLimits&) const = default;
};

// Divides the slots of one resource among the gateways by their demand. One
// gateway owns each resource and sets the allowances of the others. A slot is
// given to another member only after its holder has reported it free: the
// allowances and the slots in use together never exceed the capacity.
class SlotOwner {
 public:
  SlotOwner(std::string resource, int capacity,
            const std::vector<std::string>& members, SlotOwnerLimits limits);

  // Records a member's demand for slots; may be called at any time and in any
  // order.
  void RecordDemand(const std::string& member, int wanted, base::TimePoint now);

  // Processes a member's response to its newest allowance. A response to an
  // earlier allowance says nothing about the slots that the member may use now.
  void ProcessSlotReport(const std::string& member, const SlotReport& report,
                         base::TimePoint now);

  // Returns whether a member has recently demanded more slots, or not all
  // members have returned to their shares. Allowances and reports have to be
  // exchanged with the members in this case.
  bool NeedsRebalancing(base::TimePoint now) const;

  // Returns the members to which free slots can be given.
  std::vector<std::string> FindGrowing(base::TimePoint now) const;

  // Computes and records the member's new allowance. Slots that it adds count
  // as held by the member from then on.
  int GrantAllowance(const std::string& member, base::TimePoint now);

 private:
  struct MemberSlots {
    int share = 0;
    // Slots that the member may be using.
    int held = 0;
    // The newest allowance, whether the member has responded to it or not.
    int allowed = 0;
    int wanted = 0;
  };

  // Divides the capacity by demand: each member gets up to its share first, the
  // remaining slots are assigned one at a time to the members that demand more,
  // and slots without demand are then distributed among all members.
  std::map<std::string, int> DivideByDemand(base::TimePoint now) const;
  bool IsIdle(base::TimePoint now) const;
  int CountHeldSlots() const;

  std::string m_resource;
  int m_capacity;
  SlotOwnerLimits m_limits;
  std::vector<std::string> m_rendezvous_order;
  std::map<std::string, MemberSlots> m_member_slots;
  base::TimePoint m_last_demand_at;
};

}  // namespace shallotwick::routing
