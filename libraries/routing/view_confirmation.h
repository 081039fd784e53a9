#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "base/runtime_clock.h"

namespace shallotwick::routing {

// Limits on how long a gateway may operate without confirmation that its view
// is the newest.
struct ConfirmationLimits {
  // A gateway whose view was last confirmed longer ago than this accepts no new
  // requests.
  base::Duration stale_limit = std::chrono::seconds(5);
  // A gateway that has not renewed its membership for this long accepts no new
  // requests. Controllers consider it gone only after an additional delay
  // within which the requests that it has sent end.
  base::Duration membership_limit = std::chrono::seconds(20);
  // Reports of peers that are older than this are ignored.
  base::Duration report_limit = std::chrono::seconds(8);

  auto operator<=>(const ConfirmationLimits&) const = default;
};

// A member's most recent report on the availability of the table service.
struct MemberReport {
  base::TimePoint reported_at;
  bool store_reachable = false;

  auto operator<=>(const MemberReport&) const = default;
};

// Decides whether a gateway may send new work by its current view. All times
// are those at which a request was sent, not those at which its response was
// read: a response that waited while the process was paused confirms nothing
// new.
class ViewConfirmation {
 public:
  ViewConfirmation(std::string gateway, ConfirmationLimits limits);

  // Records that the gateway's membership row was written, by a request sent at
  // `sent_at`. If no such row existed before (`is_new`), the view must be
  // confirmed after that time, since a controller may have acted without this
  // gateway until then.
  void ConfirmMembership(base::TimePoint sent_at, bool is_new);
  // Records that the table service responded to a read sent at `sent_at` and
  // showed no newer view than the current one.
  void ConfirmByStore(base::TimePoint sent_at);
  // Records that the table service did not respond.
  void RecordStoreUnreachable(base::TimePoint now);
  // Records a peer's response to a request sent at `sent_at`. The peer has the
  // same or an older view, which had been confirmed `age` before the response.
  void ConfirmByPeer(base::TimePoint sent_at, base::Duration age);
  // Records a member's report, received directly or through another member.
  void RecordMemberReport(const std::string& member,
                          const MemberReport& report);

  // Returns until when the gateway may send new work if it receives no further
  // confirmation. `members` are the gateways of the view.
  base::TimePoint GetReadyUntil(const std::set<std::string>& members) const;

  base::Duration GetAge(base::TimePoint now) const;
  bool IsStoreReachable() const { return m_store_reachable; }
  const std::map<std::string, MemberReport>& GetReports() const {
    return m_reports;
  }

 private:
  // Returns until when the view is valid by its confirmations.
  base::TimePoint GetConfirmedUntil() const;
  // Returns until when the reports of a majority of the members that the table
  // service is down are valid.
  base::TimePoint GetStoreDownForMajorityUntil(
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
