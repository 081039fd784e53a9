#pragma once

#include <string>
#include <vector>

#include "base/periodic_task.h"
#include "control/link_thread.h"
#include "view_keeper.h"

namespace shallotwick::gateway {

struct GossipOptions {
  base::Duration period = std::chrono::milliseconds(500);
  // Peers asked in each period.
  size_t fan_out = 2;
  std::chrono::milliseconds timeout{400};
  // Asked while no view names any.
  std::vector<std::string> first_peers;
};

// Asks a few peers in turn which view they hold and whom they hear, and takes
// newer views from them.
class PeerGossip {
 public:
  PeerGossip(std::string gateway, control::LinkThread& links, ViewKeeper& views,
             GossipOptions options);

  void Stop() { m_task.Stop(); }

 private:
  base::Duration RunRound();
  std::vector<std::string> GetPeers() const;
  void AskPeer(const std::string& address);
  void FetchView(const std::string& address);

  std::string m_gateway;
  control::LinkThread& m_links;
  ViewKeeper& m_views;
  GossipOptions m_options;
  size_t m_next = 0;
  base::PeriodicTask m_task;
};

}  // namespace shallotwick::gateway
