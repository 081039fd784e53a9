#include "routing/view_confirmation.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace shallotwick::routing {

ViewConfirmation::ViewConfirmation(std::string gateway,
                                   ConfirmationLimits limits)
    : m_gateway(std::move(gateway)), m_limits(limits) {}

void ViewConfirmation::ConfirmMembership(base::TimePoint sent_at, bool is_new) {
  if (is_new) {
    m_joined_at = sent_at;
  }
  m_renewed_at = std::max(m_renewed_at, sent_at);
}

void ViewConfirmation::ConfirmByStore(base::TimePoint sent_at) {
  m_store_reachable = true;
  m_confirmed_at = std::max(m_confirmed_at, sent_at);
  m_reports[m_gateway] = MemberReport{sent_at, true};
}

void ViewConfirmation::RecordStoreUnreachable(base::TimePoint now) {
  m_store_reachable = false;
  m_reports[m_gateway] = MemberReport{now, false};
}

void ViewConfirmation::ConfirmByPeer(base::TimePoint sent_at,
                                     base::Duration age) {
  m_confirmed_at = std::max(m_confirmed_at, sent_at - age);
}

void ViewConfirmation::RecordMemberReport(const std::string& member,
                                          const MemberReport& report) {
  if (member == m_gateway) {
    return;
  }
  const auto [known, is_new] = m_reports.emplace(member, report);
  if (!is_new && known->second.reported_at < report.reported_at) {
    known->second = report;
  }
}

base::TimePoint ViewConfirmation::GetReadyUntil(
    const std::set<std::string>& members) const {
  // While the table service is down for a majority, no controller can hold its
  // lease for long, so no host is removed and the last view stays valid.
  return std::max(GetConfirmedUntil(), GetStoreDownForMajorityUntil(members));
}

base::TimePoint ViewConfirmation::GetConfirmedUntil() const {
  if (m_confirmed_at < m_joined_at) {
    return base::TimePoint::min();
  }
  return std::min(m_confirmed_at + m_limits.stale_limit,
                  m_renewed_at + m_limits.membership_limit);
}

base::Duration ViewConfirmation::GetAge(base::TimePoint now) const {
  return now - m_confirmed_at;
}

base::TimePoint ViewConfirmation::GetStoreDownForMajorityUntil(
    const std::set<std::string>& members) const {
  std::vector<base::TimePoint> down_reported_at;
  for (const auto& [member, report] : m_reports) {
    const bool is_counted = member == m_gateway || members.count(member) != 0;
    if (is_counted && !report.store_reachable) {
      down_reported_at.push_back(report.reported_at);
    }
  }
  const size_t member_count =
      members.size() + (members.count(m_gateway) == 0 ? 1 : 0);
  const size_t majority = member_count / 2 + 1;
  if (down_reported_at.size() < majority) {
    return base::TimePoint::min();
  }
  std::sort(down_reported_at.rbegin(), down_reported_at.rend());
  return down_reported_at[majority - 1] + m_limits.report_limit;
}

}  // namespace shallotwick::routing
