#include "routing/slot_owner.h"

#include <algorithm>
#include <utility>

#include "routing/slot_shares.h"

namespace shallotwick::routing {

SlotOwner::SlotOwner(std::string resource, int capacity,
                     const std::vector<std::string>& members,
                     SlotOwnerLimits limits)
    : m_resource(std::move(resource)),
      m_capacity(capacity),
      m_limits(limits),
      m_rendezvous_order(OrderByRendezvous(m_resource, members)) {
  for (const std::string& member : members) {
    const int share = ComputeShare(m_resource, capacity, members, member);
    m_member_slots[member] = MemberSlots{share, share, share, 0};
  }
}

void SlotOwner::RecordDemand(const std::string& member, int wanted,
                             base::TimePoint now) {
  const auto found = m_member_slots.find(member);
  if (found == m_member_slots.end()) {
    return;
  }
  found->second.wanted = wanted;
  if (wanted > found->second.allowed) {
    m_last_demand_at = now;
  }
}

void SlotOwner::ProcessSlotReport(const std::string& member,
                                  const SlotReport& report,
                                  base::TimePoint now) {
  const auto found = m_member_slots.find(member);
  if (found == m_member_slots.end()) {
    return;
  }
  MemberSlots& slots = found->second;
  if (report.allowance == slots.allowed) {
    slots.held = std::max(report.in_use, report.allowance);
  }
  RecordDemand(member, report.wanted, now);
}

bool SlotOwner::NeedsRebalancing(base::TimePoint now) const {
  if (!IsIdle(now)) {
    return true;
  }
  return std::any_of(m_member_slots.begin(), m_member_slots.end(),
                     [](const auto& entry) {
                       return entry.second.held != entry.second.share;
                     });
}

bool SlotOwner::IsIdle(base::TimePoint now) const {
  return m_last_demand_at == base::TimePoint() ||
         now - m_last_demand_at > m_limits.idle_limit;
}

int SlotOwner::CountHeldSlots() const {
  int held = 0;
  for (const auto& [member, slots] : m_member_slots) {
    held += slots.held;
  }
  return held;
}

std::map<std::string, int> SlotOwner::DivideByDemand(
    base::TimePoint now) const {
  std::map<std::string, int> target_slots;
  int remaining = m_capacity;
  const bool is_idle = IsIdle(now);
  for (const auto& [member, slots] : m_member_slots) {
    target_slots[member] =
        is_idle ? slots.share : std::min(slots.share, slots.wanted);
    remaining -= target_slots[member];
  }
  for (bool has_assigned = true; has_assigned && remaining > 0;) {
    has_assigned = false;
    for (const auto& [member, slots] : m_member_slots) {
      if (remaining > 0 && target_slots[member] < slots.wanted) {
        ++target_slots[member];
        --remaining;
        has_assigned = true;
      }
    }
  }
  // Slots without demand are a reserve for future requests. They are assigned
  // in rendezvous order, which differs for each host, so that each member has
  // reserve slots on a few hosts.
  while (remaining > 0 && !m_rendezvous_order.empty()) {
    for (const std::string& member : m_rendezvous_order) {
      if (remaining > 0) {
        ++target_slots[member];
        --remaining;
      }
    }
  }
  return target_slots;
}

std::vector<std::string> SlotOwner::FindGrowing(base::TimePoint now) const {
  std::vector<std::string> members_below_target;
  if (CountHeldSlots() >= m_capacity) {
    return members_below_target;
  }
  for (const auto& [member, target] : DivideByDemand(now)) {
    if (target > m_member_slots.at(member).held) {
      members_below_target.push_back(member);
    }
  }
  return members_below_target;
}

int SlotOwner::GrantAllowance(const std::string& member, base::TimePoint now) {
  const auto found = m_member_slots.find(member);
  if (found == m_member_slots.end()) {
    return 0;
  }
  MemberSlots& slots = found->second;
  const int target = DivideByDemand(now).at(member);
  if (target <= slots.held) {
    // Slots that the member has to release count as held until it reports them
    // free.
    slots.allowed = target;
    return target;
  }
  const int free_slots = std::max(0, m_capacity - CountHeldSlots());
  slots.held += std::min(free_slots, target - slots.held);
  slots.allowed = slots.held;
  return slots.allowed;
}

}  // namespace shallotwick::routing
