#include "fleet/drain_tracker.h"

#include <algorithm>
#include <chrono>

namespace shallotwick::fleet {
namespace {

// Longer between two reads and the rows were not watched.
constexpr auto kLongestWatchGap = std::chrono::seconds(2);

}  // namespace

DrainTracker::DrainTracker(base::Duration lapse_limit)
    : m_lapse_limit(lapse_limit) {}

void DrainTracker::ObserveMembers(
    const std::vector<records::MemberRecord>& members, base::TimePoint now) {
  std::map<std::string, Member> observed;
  for (const records::MemberRecord& record : members) {
    Member member;
    member.record = record;
    const auto known = m_members.find(record.gateway);
    if (known != m_members.end()) {
      const Member& former = known->second;
      if (former.record.incarnation == record.incarnation) {
        member.acknowledgement = former.acknowledgement;
        if (former.record.renewal == record.renewal) {
          member.still_for = former.still_for + GetWatchedTime(now);
        }
      }
    }
    observed[record.gateway] = std::move(member);
  }
  // A row that is gone was removed by its gateway at the end of a graceful
  // stop, or by a controller after the lapse limit.
  m_members = std::move(observed);
  m_observed_at = now;
}

base::Duration DrainTracker::GetWatchedTime(base::TimePoint now) const {
  return std::min<base::Duration>(now - m_observed_at, kLongestWatchGap);
}

void DrainTracker::ObserveAcknowledgement(
    const GatewayAcknowledgement& acknowledgement) {
  const auto found = m_members.find(acknowledgement.gateway);
  if (found == m_members.end() ||
      found->second.record.incarnation != acknowledgement.incarnation) {
    return;
  }
  if (found->second.acknowledgement.view_version <=
      acknowledgement.view_version) {
    found->second.acknowledgement = acknowledgement;
  }
}

std::set<std::string> DrainTracker::FindDrained(
    const std::map<std::string, records::HostRecord>& hosts,
    base::TimePoint now) const {
  std::set<std::string> drained;
  for (const auto& entry : hosts) {
    const records::HostRecord& host = entry.second;
    if (host.state != records::HostState::kDraining) {
      continue;
    }
    const bool is_released = std::all_of(
        m_members.begin(), m_members.end(),
        [&](const auto& entry) { return IsReleased(entry.second, host, now); });
    if (is_released) {
      drained.insert(host.name);
    }
  }
  return drained;
}

std::vector<std::string> DrainTracker::FindLapsed(base::TimePoint now) const {
  std::vector<std::string> lapsed;
  for (const auto& [name, member] : m_members) {
    if (IsLapsed(member, now)) {
      lapsed.push_back(name);
    }
  }
  return lapsed;
}

bool DrainTracker::IsLapsed(const Member& member, base::TimePoint now) const {
  const base::Duration declared =
      std::chrono::milliseconds(member.record.limit_milliseconds);
  return member.still_for + GetWatchedTime(now) >
         std::max(m_lapse_limit, declared);
}

bool DrainTracker::IsReleased(const Member& member,
                              const records::HostRecord& host,
                              base::TimePoint now) const {
  if (IsLapsed(member, now)) {
    return true;
  }
  const GatewayAcknowledgement& acknowledgement = member.acknowledgement;
  if (acknowledgement.view_version < host.view_version) {
    return false;
  }
  const auto found = acknowledgement.in_flight.find(host.name);
  return found == acknowledgement.in_flight.end() || found->second == 0;
}

}  // namespace shallotwick::fleet
