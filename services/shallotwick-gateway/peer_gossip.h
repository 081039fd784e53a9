#pragma once

#include <string>
#include <vector>

#include "base/periodic_task.h"
#include "control/link_thread.h"
#include "view_tracker.h"

namespace shallotwick::gateway {

struct GossipOptions {
  base::Duration period = std::chrono::milliseconds(500);
  // Number of peers queried in each period.
  size_t fan_out = 2;
  std::chrono::milliseconds timeout{400};
  // Link addresses queried while the view contains no other member.
  std::vector<std::string> bootstrap_peers;
};

// Periodically queries a few peers, in round-robin order, for the version of
// their view and for the members that they have reports of. Fetches the views
// that are newer than this gateway's.
class PeerGossip {
 public:
  PeerGossip(std::string gateway, control::LinkThread& links,
             ViewTracker& views, GossipOptions options);

  void Stop() { m_task.Stop(); }

 private:
  base::Duration RunPass();
  // Returns the other members, or the bootstrap peers, whose names are unknown.
  std::vector<routing::MemberRoute> GetPeers() const;
  void QueryPeer(const routing::MemberRoute& peer);
  void HandleDigest(const routing::MemberRoute& peer, const link::Reply& reply,
                    base::TimePoint sent_at);
  void FetchView(const std::string& address);

  std::string m_gateway;
  control::LinkThread& m_links;
  ViewTracker& m_views;
  GossipOptions m_options;
  size_t m_next_index = 0;
  base::PeriodicTask m_task;
};

}  // namespace shallotwick::gateway
