#include "fleet/drain_tracker.h"

#include <algorithm>
#include <chrono>

namespace shallotwick::fleet {
namespace {

// Max time that the interval between two reads adds to a row's unchanged time;
// for the rest of a longer interval the rows were not observed.
constexpr auto kMaxObservationGap = std::chrono::seconds(2);

}  // namespace

DrainTracker::DrainTracker(base::Duration expiry_limit)
    : m_expiry_limit(expiry_limit) {}

void DrainTracker::ObserveMembers(
    const std::vector<records::MemberRecord>& members, base::TimePoint now) {
  std::map<std::string, Member> observed;
  for (const records::MemberRecord& record : members) {
    Member member;
    member.record = record;
    const auto known = m_members.find(record.gateway);
    if (known != m_members.end()) {
      const Member& previous = known->second;
      if (previous.record.incarnation == record.incarnation) {
        member.acknowledgement = previous.acknowledgement;
        if (previous.record.renewal == record.renewal) {
          member.unchanged_for = previous.unchanged_for + GetObservedTime(now);
        }
      }
    }
    observed[record.gateway] = std::move(member);
  }
  // Members whose rows no longer exist are dropped: the row was removed by its
  // gateway at the end of a graceful stop, or by a controller after the expiry
  // limit.
  m_members = std::move(observed);
  m_observed_at = now;
}

base::Duration DrainTracker::GetObservedTime(base::TimePoint now) const {
  return std::min<base::Duration>(now - m_observed_at, kMaxObservationGap);
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

std::set<std::string> DrainTracker::FindDrainedHosts(
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

std::vector<std::string> DrainTracker::FindExpiredMembers(
    base::TimePoint now) const {
  std::vector<std::string> expired_members;
  for (const auto& [name, member] : m_members) {
    if (IsExpired(member, now)) {
      expired_members.push_back(name);
    }
  }
  return expired_members;
}

bool DrainTracker::IsExpired(const Member& member, base::TimePoint now) const {
  const base::Duration declared =
      std::chrono::milliseconds(member.record.limit_milliseconds);
  return member.unchanged_for + GetObservedTime(now) >
         std::max(m_expiry_limit, declared);
}

bool DrainTracker::IsReleased(const Member& member,
                              const records::HostRecord& host,
                              base::TimePoint now) const {
  if (IsExpired(member, now)) {
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
