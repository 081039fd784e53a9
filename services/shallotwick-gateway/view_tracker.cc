#include "view_tracker.h"

#include <chrono>
#include <set>
#include <utility>

#include "base/log_catalogue.h"

namespace shallotwick::gateway {
namespace {

int64_t ToMilliseconds(base::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace

ViewTracker::ViewTracker(std::string gateway, routing::Dispatcher& dispatcher,
                         routing::ConfirmationLimits limits)
    : m_gateway(gateway),
      m_dispatcher(dispatcher),
      m_limits(limits),
      m_confirmation(std::move(gateway), limits) {}

void ViewTracker::ReplaceViewIfNewer(routing::RoutingView view,
                                     const std::string& source) {
  const uint64_t version = view.version;
  const uint64_t document_version = view.document_version;
  const bool is_newer = m_dispatcher.ReplaceView(std::move(view));
  if (is_newer) {
    base::Log(base::events::kViewInForce,
              {{"version", std::to_string(version)},
               {"document_version", std::to_string(document_version)},
               {"source", source}});
    std::lock_guard<std::mutex> lock(m_mutex);
    UpdateReadyUntil();
    return;
  }
  const uint64_t current = m_dispatcher.GetViewVersion();
  if (version < current) {
    base::Log(base::events::kViewRefused, {{"version", std::to_string(version)},
                                           {"held", std::to_string(current)},
                                           {"source", source}});
  }
}

void ViewTracker::DiscardView(const std::string& previous,
                              const std::string& current) {
  base::Log(base::events::kViewDiscarded,
            {{"version", std::to_string(GetVersion())},
             {"view_system", previous},
             {"system", current}});
  m_dispatcher.DiscardView();
  std::lock_guard<std::mutex> lock(m_mutex);
  m_confirmation = routing::ViewConfirmation(m_gateway, m_limits);
  m_ready_until.store(0);
}

bool ViewTracker::ApplyPush(const control::ViewPush& push) {
  if (push.view) {
    ReplaceViewIfNewer(*push.view, "controller");
    return true;
  }
  if (!push.delta) {
    return true;
  }
  const routing::RoutingView current = m_dispatcher.GetView();
  if (push.delta->to_version <= current.version) {
    return true;
  }
  if (push.delta->from_version != current.version) {
    return false;
  }
  ReplaceViewIfNewer(routing::ApplyDelta(current, *push.delta), "controller");
  return true;
}

void ViewTracker::ConfirmMembership(base::TimePoint sent_at, bool is_new) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_confirmation.ConfirmMembership(sent_at, is_new);
  UpdateReadyUntil();
}

void ViewTracker::ConfirmByStore(uint64_t head_version,
                                 base::TimePoint sent_at) {
  if (head_version > GetVersion()) {
    return;
  }
  std::lock_guard<std::mutex> lock(m_mutex);
  m_confirmation.ConfirmByStore(sent_at);
  UpdateReadyUntil();
}

void ViewTracker::RecordStoreUnreachable() {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_confirmation.RecordStoreUnreachable(base::RuntimeClock::now());
  UpdateReadyUntil();
}

void ViewTracker::MergeDigest(const control::Digest& digest,
                              base::TimePoint sent_at) {
  const uint64_t current = GetVersion();
  std::lock_guard<std::mutex> lock(m_mutex);
  for (const auto& [member, report] : digest.reports) {
    m_confirmation.RecordMemberReport(
        member, routing::MemberReport{sent_at - std::chrono::milliseconds(
                                                    report.age_milliseconds),
                                      report.store_reachable});
  }
  if (digest.view_version <= current) {
    m_confirmation.ConfirmByPeer(
        sent_at, std::chrono::milliseconds(digest.confirmed_age_milliseconds));
  }
  UpdateReadyUntil();
}

control::Digest ViewTracker::MakeDigest() const {
  const base::TimePoint now = base::RuntimeClock::now();
  control::Digest digest;
  digest.gateway = m_gateway;
  digest.view_version = GetVersion();
  std::lock_guard<std::mutex> lock(m_mutex);
  digest.confirmed_age_milliseconds =
      ToMilliseconds(m_confirmation.GetAge(now));
  for (const auto& [member, report] : m_confirmation.GetReports()) {
    digest.reports[member] = control::ReportedMember{
        ToMilliseconds(now - report.reported_at), report.store_reachable};
  }
  return digest;
}

bool ViewTracker::IsReady(base::TimePoint now) const {
  return now.time_since_epoch().count() <= m_ready_until.load();
}

void ViewTracker::UpdateReadyUntil() {
  if (GetVersion() == 0) {
    return;
  }
  std::set<std::string> members;
  for (const auto& [name, member] : m_dispatcher.GetMembers()) {
    members.insert(name);
  }
  m_ready_until.store(
      m_confirmation.GetReadyUntil(members).time_since_epoch().count());
}

}  // namespace shallotwick::gateway
