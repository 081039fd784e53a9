#include "peer_gossip.h"

#include <algorithm>
#include <utility>

#include "control/message_codec.h"
#include "control/messages.h"

namespace shallotwick::gateway {

PeerGossip::PeerGossip(std::string gateway, control::LinkThread& links,
                       ViewTracker& views, GossipOptions options)
    : m_gateway(std::move(gateway)),
      m_links(links),
      m_views(views),
      m_options(std::move(options)),
      m_task([this] { return RunPass(); }) {}

base::Duration PeerGossip::RunPass() {
  const std::vector<routing::MemberRoute> peers = GetPeers();
  std::vector<std::string> addresses;
  for (const routing::MemberRoute& peer : peers) {
    addresses.push_back(peer.link_address);
  }
  m_links.RetainClients(addresses);
  const size_t count = std::min(m_options.fan_out, peers.size());
  for (size_t step = 0; step < count; ++step) {
    QueryPeer(peers[m_next_index++ % peers.size()]);
  }
  return m_options.period;
}

std::vector<routing::MemberRoute> PeerGossip::GetPeers() const {
  std::vector<routing::MemberRoute> peers;
  for (const auto& [name, member] : m_views.GetView().members) {
    if (name != m_gateway) {
      peers.push_back(member);
    }
  }
  if (peers.empty()) {
    for (const std::string& address : m_options.bootstrap_peers) {
      peers.push_back({"", address});
    }
  }
  return peers;
}

// Any process of the system may answer, so the calls name no incarnation: a
// member that has restarted at its address is heard before the view names it.
void PeerGossip::QueryPeer(const routing::MemberRoute& peer) {
  const base::TimePoint sent_at = base::RuntimeClock::now();
  m_links.Send({peer.link_address}, link::Call{control::kDigestPath, {}},
               m_options.timeout,
               [this, peer, sent_at](const link::Reply& reply) {
                 HandleDigest(peer, reply, sent_at);
               });
}

void PeerGossip::HandleDigest(const routing::MemberRoute& peer,
                              const link::Reply& reply,
                              base::TimePoint sent_at) {
  if (reply.status != link::ReplyStatus::kOk) {
    return;
  }
  const bool is_bootstrap_peer = peer.gateway.empty();
  if (is_bootstrap_peer) {
    // Until the table service has responded, the operator's setting is what
    // tells the system apart.
    m_links.AdoptSystem(reply.sender.system);
  }
  const auto digest = control::Decode<control::Digest>(reply.body);
  if (!digest) {
    return;
  }
  // A peer that names no system has to be the expected member at least.
  if (!reply.is_verified &&
      (is_bootstrap_peer || digest->gateway != peer.gateway)) {
    return;
  }
  m_views.MergeDigest(*digest, sent_at);
  if (reply.is_verified && digest->view_version > m_views.GetVersion()) {
    FetchView(peer.link_address);
  }
}

void PeerGossip::FetchView(const std::string& address) {
  m_links.Send({address}, link::Call{control::kFetchViewPath, {}},
               m_options.timeout, [this](const link::Reply& reply) {
                 auto view = control::Decode<routing::RoutingView>(reply.body);
                 if (reply.status == link::ReplyStatus::kOk &&
                     reply.is_verified && view) {
                   m_views.ReplaceViewIfNewer(std::move(*view), "peer");
                 }
               });
}

}  // namespace shallotwick::gateway
