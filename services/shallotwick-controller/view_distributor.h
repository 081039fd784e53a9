#pragma once

#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "control/link_thread.h"
#include "fleet/drain_tracker.h"
#include "routing/routing_view.h"

namespace shallotwick::controller {

// Pushes the newest view to every gateway and collects their acknowledgements.
// A gateway is sent the changes since the last view that it acknowledged.
class ViewDistributor {
 public:
  // Sends every member of the view the changes that it does not have yet. A
  // member that is up to date gets an empty push, which it also acknowledges.
  // Members with an outstanding push are skipped.
  void Distribute(const routing::RoutingView& view);

  // Returns and clears the acknowledgements received since the last call.
  std::vector<fleet::GatewayAcknowledgement> DrainAcknowledgements();

  // Sets the identity of the system whose gateways the views are for.
  void SetSystem(const std::string& system);

  void Stop() { m_links.Stop(); }

 private:
  // Number of recent views retained as bases for deltas.
  static constexpr size_t kMaxRetainedViews = 64;
  static constexpr std::chrono::milliseconds kTimeout{1'000};

  void Send(const routing::MemberRoute& member, const link::Bytes& body);
  link::Bytes MakePush(const std::string& gateway,
                       const routing::RoutingView& view) const;
  void HandlePushReply(const routing::MemberRoute& member,
                       const link::Reply& reply);

  std::string m_system;
  mutable std::mutex m_mutex;
  std::deque<routing::RoutingView> m_views;
  std::map<std::string, uint64_t> m_versions;
  std::map<std::string, int> m_outstanding;
  std::vector<fleet::GatewayAcknowledgement> m_acknowledgements;
  control::LinkThread m_links;
};

}  // namespace shallotwick::controller
