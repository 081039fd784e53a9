#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "base/runtime_clock.h"

namespace shallotwick::routing {

// How long a gateway may go on without word that its view is the newest.
struct ConfirmationLimits {
  // Longer than this it takes no new requests.
  base::Duration stale_limit = std::chrono::seconds(5);
  // A gateway that has not renewed its membership for so long takes no new
  // requests. Controllers count it out only later, by the time in which what it
  // has sent ends.
  base::Duration membership_limit = std::chrono::seconds(20);
  // Reports of peers that are older than this do not count.
  base::Duration report_limit = std::chrono::seconds(8);

  auto operator<=>(const ConfirmationLimits&) const = default;
};

// What one member last said of the table service.
struct MemberReport {
  base::TimePoint said_at;
  bool store_reachable = false;

  auto operator<=>(const MemberReport&) const = default;
};

// Decides whether a gateway may send new work by the view that it holds. All
// times are those at which a question was sent, not when its answer was read:
// an answer that waited while the process was paused confirms nothing new.
class ViewConfirmation {
 public:
  ViewConfirmation(std::string gateway, ConfirmationLimits limits);

  // The gateway's membership row was written, on a question sent at `sent_at`.
  // `is_new` where no such row stood before: the view must be confirmed after
  // that, since a controller may have acted without this gateway until then.
  void ConfirmMembership(base::TimePoint sent_at, bool is_new);
  // The table service answered a read sent at `sent_at` that showed no newer
  // view than the one held.
  void ConfirmByStore(base::TimePoint sent_at);
  // The table service did not answer.
  void ReportStoreUnreachable(base::TimePoint now);
  // A peer with the same or an older view was confirmed itself `age` before it
  // answered a question sent at `sent_at`.
  void ConfirmByPeer(base::TimePoint sent_at, base::Duration age);
  // What a member said, by itself or through another.
  void LearnReport(const std::string& member, const MemberReport& report);

  // Until when the gateway may send new work if nothing more is learnt.
  // `members` are the gateways of the view.
  base::TimePoint GetReadyUntil(const std::set<std::string>& members) const;

  base::Duration GetAge(base::TimePoint now) const;
  bool IsStoreReachable() const { return m_store_reachable; }
  const std::map<std::string, MemberReport>& GetReports() const {
    return m_reports;
  }

 private:
  // Until when the view is good by what was confirmed.
  base::TimePoint GetConfirmedUntil() const;
  // Until when most members' word counts that the table service is down.
  base::TimePoint GetStoreDownForMostUntil(
      const std::set<std::string>& members) const;

  std::string m_gateway;
  ConfirmationLimits m_limits;
  base::TimePoint m_confirmed_at;
  base::TimePoint m_joined_at = base::TimePoint::max();
  base::TimePoint m_renewed_at;
  bool m_store_reachable = false;
  std::map<std::string, MemberReport> m_reports;
};

}  // namespace shallotwick::routing
