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

// A gateway's response to the controller: the version of the view that it uses
// and the requests that it has in flight.
struct GatewayAcknowledgement {
  std::string gateway;
  std::string incarnation;
  uint64_t view_version = 0;
  // Number of requests in flight on hosts that are not serving, by host.
  std::map<std::string, int> in_flight;

  auto operator<=>(const GatewayAcknowledgement&) const = default;
};

// Determines which draining hosts no gateway can still use. A host is drained
// when every member either has acknowledged the view that drains the host, with
// no requests in flight there, or has not renewed its membership for the expiry
// limit, after which all its requests have ended.
class DrainTracker {
 public:
  // `expiry_limit` is the sum of the membership's time to live, the time within
  // which a partitioned gateway stops sending requests, and the maximum request
  // deadline.
  explicit DrainTracker(base::Duration expiry_limit);

  // Processes the membership rows of one read. The time for which a row stays
  // unchanged counts only while reads succeed: during an outage of the table
  // service no gateway can renew its membership.
  void ObserveMembers(const std::vector<records::MemberRecord>& members,
                      base::TimePoint now);
  void ObserveAcknowledgement(const GatewayAcknowledgement& acknowledgement);

  std::set<std::string> FindDrainedHosts(
      const std::map<std::string, records::HostRecord>& hosts,
      base::TimePoint now) const;

  // Returns the members whose rows have been unchanged for longer than both the
  // expiry limit and the limit that the member itself declared.
  std::vector<std::string> FindExpiredMembers(base::TimePoint now) const;

 private:
  struct Member {
    records::MemberRecord record;
    // Observed time since the row last changed.
    base::Duration unchanged_for{};
    // The view version is 0 until this incarnation sends an acknowledgement.
    GatewayAcknowledgement acknowledgement;
  };

  base::Duration GetObservedTime(base::TimePoint now) const;
  bool IsExpired(const Member& member, base::TimePoint now) const;
  bool IsReleased(const Member& member, const records::HostRecord& host,
                  base::TimePoint now) const;

  base::Duration m_expiry_limit;
  base::TimePoint m_observed_at;
  std::map<std::string, Member> m_members;
};

}  // namespace shallotwick::fleet
