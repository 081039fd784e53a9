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
      m_order(OrderByRendezvous(m_resource, members)) {
  for (const std::string& member : members) {
    const int share = ShareOf(m_resource, capacity, members, member);
    m_holdings[member] = Holding{share, share, share, 0};
  }
}

void SlotOwner::TakeWant(const std::string& member, int wanted,
                         base::TimePoint now) {
  const auto found = m_holdings.find(member);
  if (found == m_holdings.end()) {
    return;
  }
  found->second.wanted = wanted;
  if (wanted > found->second.allowed) {
    m_wanted_at = now;
  }
}

void SlotOwner::TakeReport(const std::string& member, const SlotReport& report,
                           base::TimePoint now) {
  const auto found = m_holdings.find(member);
  if (found == m_holdings.end()) {
    return;
  }
  Holding& holding = found->second;
  if (report.allowance == holding.allowed) {
    holding.held = std::max(report.in_use, report.allowance);
  }
  TakeWant(member, report.wanted, now);
}

bool SlotOwner::IsHot(base::TimePoint now) const {
  if (!IsQuiet(now)) {
    return true;
  }
  return std::any_of(m_holdings.begin(), m_holdings.end(),
                     [](const auto& entry) {
                       return entry.second.held != entry.second.share;
                     });
}

bool SlotOwner::IsQuiet(base::TimePoint now) const {
  return m_wanted_at == base::TimePoint() ||
         now - m_wanted_at > m_limits.quiet_limit;
}

int SlotOwner::CountHeld() const {
  int held = 0;
  for (const auto& [member, holding] : m_holdings) {
    held += holding.held;
  }
  return held;
}

std::map<std::string, int> SlotOwner::DivideByWants(base::TimePoint now) const {
  std::map<std::string, int> division;
  int left = m_capacity;
  const bool is_quiet = IsQuiet(now);
  for (const auto& [member, holding] : m_holdings) {
    division[member] =
        is_quiet ? holding.share : std::min(holding.share, holding.wanted);
    left -= division[member];
  }
  for (bool gave = true; gave && left > 0;) {
    gave = false;
    for (const auto& [member, holding] : m_holdings) {
      if (left > 0 && division[member] < holding.wanted) {
        ++division[member];
        --left;
        gave = true;
      }
    }
  }
  // What nobody wants is room for what comes next, at each host for others
  // first, so that each member has some at a few hosts.
  while (left > 0 && !m_order.empty()) {
    for (const std::string& member : m_order) {
      if (left > 0) {
        ++division[member];
        --left;
      }
    }
  }
  return division;
}

std::vector<std::string> SlotOwner::FindGrowing(base::TimePoint now) const {
  std::vector<std::string> growing;
  if (CountHeld() >= m_capacity) {
    return growing;
  }
  for (const auto& [member, target] : DivideByWants(now)) {
    if (target > m_holdings.at(member).held) {
      growing.push_back(member);
    }
  }
  return growing;
}

int SlotOwner::Allow(const std::string& member, base::TimePoint now) {
  const auto found = m_holdings.find(member);
  if (found == m_holdings.end()) {
    return 0;
  }
  Holding& holding = found->second;
  const int target = DivideByWants(now).at(member);
  if (target <= holding.held) {
    // What it gives up counts as held until it says that it is free.
    holding.allowed = target;
    return target;
  }
  const int free = std::max(0, m_capacity - CountHeld());
  holding.held += std::min(free, target - holding.held);
  holding.allowed = holding.held;
  return holding.allowed;
}

}  // namespace shallotwick::routing
