#pragma once

#include <compare>
#include <map>
#include <string>
#include <vector>

#include "base/runtime_clock.h"

namespace shallotwick::routing {

// What one gateway says of its slots on a resource.
struct SlotReport {
  // Slots that it uses, and those that it may use.
  int in_use = 0;
  int allowance = 0;
  // Slots that it would use now if it had them.
  int wanted = 0;

  auto operator<=>(const SlotReport&) const = default;
};

struct SlotOwnerLimits {
  // Without a gateway that wants more for so long, all return to their shares.
  base::Duration quiet_limit = std::chrono::seconds(2);

  auto operator<=>(const SlotOwnerLimits&) const = default;
};

// Divides the slots of one resource among the gateways by their demand. One
// gateway owns each resource; the others hold what it allows. A slot is given
// to another only after its holder has said that it is free: the allowances and
// the slots in use together never exceed the capacity.
class SlotOwner {
 public:
  SlotOwner(std::string resource, int capacity,
            const std::vector<std::string>& members, SlotOwnerLimits limits);

  // Takes a member's word that it wants more, at any time and in any order.
  void TakeWant(const std::string& member, int wanted, base::TimePoint now);

  // Takes a member's answer to its newest allowance. An answer to an earlier
  // one says nothing about what the member may use by now.
  void TakeReport(const std::string& member, const SlotReport& report,
                  base::TimePoint now);

  // Whether any member has wanted more lately, or not all have their shares
  // again: the members are to be asked and told.
  bool IsHot(base::TimePoint now) const;

  // Members that free slots wait for.
  std::vector<std::string> FindGrowing(base::TimePoint now) const;

  // The allowance that a member is to have now. What it adds to the member's
  // slots is counted as held from then on.
  int Allow(const std::string& member, base::TimePoint now);

 private:
  struct Holding {
    int share = 0;
    // Slots that the member may be using.
    int held = 0;
    // The newest allowance, answered or not.
    int allowed = 0;
    int wanted = 0;
  };

  // Divides the capacity by the wants: each gets up to its share first, what is
  // left goes round by one to those that want more, and what nobody wants
  // returns to the shares.
  std::map<std::string, int> DivideByWants(base::TimePoint now) const;
  bool IsQuiet(base::TimePoint now) const;
  int CountHeld() const;

  std::string m_resource;
  int m_capacity;
  SlotOwnerLimits m_limits;
  std::vector<std::string> m_order;
  std::map<std::string, Holding> m_holdings;
  base::TimePoint m_wanted_at;
};

}  // namespace shallotwick::routing
