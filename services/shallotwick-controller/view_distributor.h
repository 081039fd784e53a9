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

// Brings the newest view to every gateway and collects their acknowledgements.
// A gateway gets what has changed since the view that it acknowledged last.
class ViewDistributor {
 public:
  // Asks every member of the view, with what it lacks.
  void Distribute(const routing::RoutingView& view);

  // Takes the acknowledgements that have come since the last call.
  std::vector<fleet::GatewayAcknowledgement> TakeAcknowledgements();

  void Stop() { m_links.Stop(); }

 private:
  // Earlier views that changes are worked out from.
  static constexpr size_t kViewsKept = 64;
  static constexpr std::chrono::milliseconds kTimeout{1'000};

  void Send(const routing::MemberRoute& member, const link::Bytes& body);
  link::Bytes MakePush(const std::string& gateway,
                       const routing::RoutingView& view) const;
  void TakeReply(const std::string& gateway, const link::Reply& reply);

  mutable std::mutex m_mutex;
  std::deque<routing::RoutingView> m_views;
  std::map<std::string, uint64_t> m_versions;
  std::map<std::string, int> m_outstanding;
  std::vector<fleet::GatewayAcknowledgement> m_acknowledgements;
  control::LinkThread m_links;
};

}  // namespace shallotwick::controller
