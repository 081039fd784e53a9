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
  const std::vector<std::string> peers = GetPeers();
  m_links.RetainClients(peers);
  const size_t count = std::min(m_options.fan_out, peers.size());
  for (size_t step = 0; step < count; ++step) {
    QueryPeer(peers[m_next_index++ % peers.size()]);
  }
  return m_options.period;
}

std::vector<std::string> PeerGossip::GetPeers() const {
  std::vector<std::string> peers;
  for (const auto& [name, member] : m_views.GetView().members) {
    if (name != m_gateway) {
      peers.push_back(member.link_address);
    }
  }
  return peers.empty() ? m_options.bootstrap_peers : peers;
}

void PeerGossip::QueryPeer(const std::string& address) {
  const base::TimePoint sent_at = base::RuntimeClock::now();
  m_links.Send(address, link::Call{control::kDigestPath, {}}, m_options.timeout,
               [this, address, sent_at](const link::Reply& reply) {
                 if (reply.status != link::ReplyStatus::kOk) {
                   return;
                 }
                 const auto digest =
                     control::Decode<control::Digest>(reply.body);
                 if (!digest) {
                   return;
                 }
                 m_views.MergeDigest(*digest, sent_at);
                 if (digest->view_version > m_views.GetVersion()) {
                   FetchView(address);
                 }
               });
}

void PeerGossip::FetchView(const std::string& address) {
  m_links.Send(address, link::Call{control::kFetchViewPath, {}},
               m_options.timeout, [this](const link::Reply& reply) {
                 auto view = control::Decode<routing::RoutingView>(reply.body);
                 if (reply.status == link::ReplyStatus::kOk && view) {
                   m_views.ReplaceViewIfNewer(std::move(*view), "peer");
                 }
               });
}

}  // namespace shallotwick::gateway
