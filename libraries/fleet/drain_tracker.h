#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/runtime_clock.h"
#include "records/control_records.h"
#include "records/host_record.h"

namespace shallotwick::fleet {

// What a gateway said of itself in answer to the controller.
struct GatewayAcknowledgement {
  std::string gateway;
  std::string incarnation;
  uint64_t view_version = 0;
  // Requests in flight on hosts that are not serving, by host.
  std::map<std::string, int> in_flight;

  auto operator<=>(const GatewayAcknowledgement&) const = default;
};

// Knows which draining hosts no gateway can still use: every member has
// acknowledged the view that drains the host with nothing in flight there, or
// its membership has lapsed for so long that all it sent has ended.
class DrainTracker {
 public:
  // `lapse_limit` is the membership's time to live, plus the time in which a
  // gateway that is cut off stops sending, plus the longest deadline.
  explicit DrainTracker(base::Duration lapse_limit);

  // Takes the membership rows of one read. A row's standing still counts only
  // while reads come: with the table service down nobody can renew.
  void ObserveMembers(const std::vector<records::MemberRecord>& members,
                      base::TimePoint now);
  void ObserveAcknowledgement(const GatewayAcknowledgement& acknowledgement);

  std::set<std::string> FindDrained(
      const std::map<std::string, records::HostRecord>& hosts,
      base::TimePoint now) const;

  // Members whose rows stood still for longer than the lapse limit and than the
  // limit that they declared themselves.
  std::vector<std::string> FindLapsed(base::TimePoint now) const;

 private:
  struct Member {
    records::MemberRecord record;
    // How long the row was seen to stand still.
    base::Duration still_for{};
    // Without an acknowledgement of this incarnation its version is 0.
    GatewayAcknowledgement acknowledgement;
  };

  base::Duration GetWatchedTime(base::TimePoint now) const;
  bool IsLapsed(const Member& member, base::TimePoint now) const;
  bool IsReleased(const Member& member, const records::HostRecord& host,
                  base::TimePoint now) const;

  base::Duration m_lapse_limit;
  base::TimePoint m_observed_at;
  std::map<std::string, Member> m_members;
};

}  // namespace shallotwick::fleet
