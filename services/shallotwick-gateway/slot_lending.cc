#include "slot_lending.h"

#include <utility>

#include "control/message_codec.h"
#include "routing/slot_shares.h"

namespace shallotwick::gateway {

SlotLending::SlotLending(SlotLender lender, control::LinkThread& links,
                         routing::Dispatcher& dispatcher,
                         SlotLendingOptions options)
    : m_gateway(std::move(lender.gateway)),
      m_incarnation(std::move(lender.incarnation)),
      m_links(links),
      m_dispatcher(dispatcher),
      m_options(options),
      m_task([this] { return RunPass(); }) {}

base::Duration SlotLending::RunPass() {
  const base::TimePoint now = base::RuntimeClock::now();
  UpdateOwnership();
  const Reports reports = m_dispatcher.CollectSlotReports();
  SendSlotDemand(reports, now);
  AllocateOwnedSlots(now);
  RestoreExpiredShares(reports, now);
  return m_options.period;
}

void SlotLending::UpdateOwnership() {
  const std::map<std::string, int> slots = m_dispatcher.GetSlots();
  std::map<std::string, routing::MemberRoute> members =
      m_dispatcher.GetMembers();
  std::lock_guard<std::mutex> lock(m_mutex);
  // A member that has restarted has its share again.
  if (slots == m_slots && members == m_members) {
    return;
  }
  m_slots = slots;
  m_members = std::move(members);
  m_owned.clear();
  m_owner_of.clear();
  m_shares.clear();
  m_ownership_changed_at = base::RuntimeClock::now();
  std::vector<std::string> names;
  for (const auto& [name, member] : m_members) {
    names.push_back(name);
  }
  if (m_members.count(m_gateway) == 0) {
    return;
  }
  for (const auto& [host, count] : m_slots) {
    const std::string owner = routing::OrderByRendezvous(host, names).front();
    m_owner_of[host] = owner;
    m_shares[host] = routing::ComputeShare(host, count, names, m_gateway);
    if (owner == m_gateway) {
      m_owned.emplace(host, routing::SlotOwner(host, count, names, {}));
    }
  }
}

void SlotLending::SendSlotDemand(const Reports& reports, base::TimePoint now) {
  std::map<std::string, control::SlotDemands> by_owner;
  std::lock_guard<std::mutex> lock(m_mutex);
  for (const auto& [host, report] : reports) {
    const auto owner = m_owner_of.find(host);
    if (owner == m_owner_of.end() || report.wanted <= report.allowance) {
      continue;
    }
    if (owner->second == m_gateway) {
      m_owned.at(host).RecordDemand(m_gateway, report.wanted, now);
      continue;
    }
    control::SlotDemands& wants = by_owner[owner->second];
    wants.gateway = m_gateway;
    wants.wanted[host] = report.wanted;
  }
  for (const auto& [owner, wants] : by_owner) {
    const routing::MemberRoute& member = m_members.at(owner);
    m_links.Send({member.link_address, member.incarnation},
                 {control::kRequestSlotsPath, control::Encode(wants)},
                 m_options.timeout, [](const link::Reply&) {});
  }
}

void SlotLending::AllocateOwnedSlots(base::TimePoint now) {
  std::map<std::string, std::map<std::string, int>> allowed;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    if (now - m_ownership_changed_at < m_options.ownership_delay) {
      return;
    }
    for (auto& [host, owner] : m_owned) {
      if (!owner.NeedsRebalancing(now)) {
        continue;
      }
      for (const auto& [member, route] : m_members) {
        allowed[member][host] = owner.GrantAllowance(member, now);
      }
    }
    m_pending_responses = allowed.size();
  }
  for (auto& [member, by_host] : allowed) {
    if (member == m_gateway) {
      ApplyOwnAllowances(by_host);
      OnMemberDone();
    } else {
      SendMemberAllowances(member, std::move(by_host),
                           [this] { OnMemberDone(); });
    }
  }
}

void SlotLending::OnMemberDone() {
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    // Responses of a previous pass may arrive late.
    if (m_pending_responses == 0 || --m_pending_responses > 0) {
      return;
    }
  }
  AllocateFreedSlots();
}

void SlotLending::AllocateFreedSlots() {
  const base::TimePoint now = base::RuntimeClock::now();
  std::map<std::string, std::map<std::string, int>> allowed;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    for (auto& [host, owner] : m_owned) {
      if (!owner.NeedsRebalancing(now)) {
        continue;
      }
      for (const std::string& member : owner.FindGrowing(now)) {
        allowed[member][host] = owner.GrantAllowance(member, now);
      }
    }
  }
  for (auto& [member, by_host] : allowed) {
    if (member == m_gateway) {
      ApplyOwnAllowances(by_host);
    } else {
      SendMemberAllowances(member, std::move(by_host), [] {});
    }
  }
}

void SlotLending::ApplyOwnAllowances(
    const std::map<std::string, int>& allowed) {
  const base::TimePoint now = base::RuntimeClock::now();
  for (const auto& [host, count] : allowed) {
    m_dispatcher.SetAllowance(host, count, now);
  }
  const Reports reports = m_dispatcher.CollectSlotReports();
  control::SlotReports own;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& [host, count] : allowed) {
      m_last_allowance_at[host] = now;
      const auto report = reports.find(host);
      if (report != reports.end()) {
        own.reports[host] = report->second;
      }
    }
  }
  ApplySlotReports(m_gateway, own);
}

void SlotLending::SendMemberAllowances(const std::string& member,
                                       std::map<std::string, int> allowed,
                                       std::function<void()> on_member_done) {
  control::SlotAllowances allowances;
  allowances.owner = m_gateway;
  allowances.incarnation = m_incarnation;
  allowances.allowed = std::move(allowed);
  control::LinkPeer peer;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    allowances.sequence = ++m_sequence;
    const auto found = m_members.find(member);
    if (found == m_members.end()) {
      return;
    }
    peer = {found->second.link_address, found->second.incarnation};
  }
  m_links.Send(peer, {control::kAllowSlotsPath, control::Encode(allowances)},
               m_options.timeout,
               [this, member, on_member_done = std::move(on_member_done)](
                   const link::Reply& reply) {
                 const auto reports =
                     control::Decode<control::SlotReports>(reply.body);
                 if (reply.status == link::ReplyStatus::kOk && reports) {
                   ApplySlotReports(member, *reports);
                 }
                 on_member_done();
               });
}

void SlotLending::ApplySlotReports(const std::string& member,
                                   const control::SlotReports& reports) {
  const base::TimePoint now = base::RuntimeClock::now();
  std::lock_guard<std::mutex> lock(m_mutex);
  for (const auto& [host, report] : reports.reports) {
    const auto owned = m_owned.find(host);
    if (owned != m_owned.end()) {
      owned->second.ProcessSlotReport(member, report, now);
    }
  }
}

void SlotLending::RecordSlotDemand(const control::SlotDemands& wants) {
  const base::TimePoint now = base::RuntimeClock::now();
  std::lock_guard<std::mutex> lock(m_mutex);
  for (const auto& [host, wanted] : wants.wanted) {
    const auto owned = m_owned.find(host);
    if (owned != m_owned.end()) {
      owned->second.RecordDemand(wants.gateway, wanted, now);
    }
  }
}

bool SlotLending::IsNewest(const control::SlotAllowances& allowances) {
  const auto owner = m_members.find(allowances.owner);
  const bool is_former_incarnation =
      owner != m_members.end() && !owner->second.incarnation.empty() &&
      !allowances.incarnation.empty() &&
      owner->second.incarnation != allowances.incarnation;
  if (is_former_incarnation) {
    return false;
  }
  auto& [incarnation, sequence] = m_newest[allowances.owner];
  // Each incarnation of an owner counts its messages anew.
  if (incarnation == allowances.incarnation &&
      allowances.sequence <= sequence) {
    return false;
  }
  incarnation = allowances.incarnation;
  sequence = allowances.sequence;
  return true;
}

control::SlotReports SlotLending::ApplyAllowances(
    const control::SlotAllowances& allowances) {
  const base::TimePoint now = base::RuntimeClock::now();
  std::map<std::string, int> applied;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    // A message that arrives after a newer one is not applied. The reply
    // contains the current allowances, from which the owner sees that its older
    // ones are not in force.
    if (IsNewest(allowances)) {
      for (const auto& [host, allowed] : allowances.allowed) {
        const auto owner = m_owner_of.find(host);
        if (owner != m_owner_of.end() && owner->second == allowances.owner) {
          applied[host] = allowed;
          m_last_allowance_at[host] = now;
        }
      }
    }
  }
  for (const auto& [host, allowed] : applied) {
    m_dispatcher.SetAllowance(host, allowed, now);
  }
  const Reports all = m_dispatcher.CollectSlotReports();
  control::SlotReports reports;
  for (const auto& [host, allowed] : allowances.allowed) {
    const auto found = all.find(host);
    if (found != all.end()) {
      reports.reports[host] = found->second;
    }
  }
  return reports;
}

void SlotLending::RestoreExpiredShares(const Reports& reports,
                                       base::TimePoint now) {
  std::map<std::string, int> restored;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& [host, report] : reports) {
      const auto share = m_shares.find(host);
      if (share == m_shares.end() || report.allowance == share->second) {
        continue;
      }
      const base::Duration limit = report.allowance > share->second
                                       ? m_options.borrower_timeout
                                       : m_options.lender_timeout;
      if (now - m_last_allowance_at[host] > limit) {
        restored[host] = share->second;
      }
    }
  }
  for (const auto& [host, share] : restored) {
    m_dispatcher.SetAllowance(host, share, now);
  }
}

}  // namespace shallotwick::gateway
