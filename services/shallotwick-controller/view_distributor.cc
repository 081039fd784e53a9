#include "view_distributor.h"

#include <algorithm>
#include <utility>

#include "control/message_codec.h"
#include "control/messages.h"

namespace shallotwick::controller {
namespace {

bool IsFrom(const routing::MemberRoute& member,
            const fleet::GatewayAcknowledgement& acknowledgement) {
  return acknowledgement.gateway == member.gateway &&
         (member.incarnation.empty() ||
          acknowledgement.incarnation == member.incarnation);
}

}  // namespace

void ViewDistributor::Distribute(const routing::RoutingView& view) {
  std::vector<std::string> addresses;
  std::map<uint64_t, link::Bytes> bodies;
  for (const auto& [name, member] : view.members) {
    addresses.push_back(member.link_address);
    link::Bytes body;
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      if (m_views.empty() || m_views.back().version < view.version) {
        m_views.push_back(view);
        if (m_views.size() > kMaxRetainedViews) {
          m_views.pop_front();
        }
      }
      if (m_outstanding[name] > 0) {
        continue;
      }
      ++m_outstanding[name];
      // Most gateways have the same version, so the encoded push is reused.
      const auto [cached, is_new] = bodies.try_emplace(m_versions[name]);
      if (is_new) {
        cached->second = MakePush(name, view);
      }
      body = cached->second;
    }
    Send(member, body);
  }
  m_links.RetainClients(addresses);
}

link::Bytes ViewDistributor::MakePush(const std::string& gateway,
                                      const routing::RoutingView& view) const {
  control::ViewPush push;
  const auto acknowledged = m_versions.find(gateway);
  const uint64_t version =
      acknowledged == m_versions.end() ? 0 : acknowledged->second;
  if (version >= view.version) {
    return control::Encode(push);
  }
  const auto delta_base = std::find_if(
      m_views.begin(), m_views.end(),
      [version](const auto& retained) { return retained.version == version; });
  if (delta_base == m_views.end()) {
    push.view = view;
  } else {
    push.delta = routing::MakeDelta(*delta_base, view);
  }
  return control::Encode(push);
}

void ViewDistributor::Send(const routing::MemberRoute& member,
                           const link::Bytes& body) {
  m_links.Send({member.link_address, member.incarnation},
               link::Call{control::kViewPath, body}, kTimeout,
               [this, member](const link::Reply& reply) {
                 HandlePushReply(member, reply);
               });
}

void ViewDistributor::SetSystem(const std::string& system) {
  if (system != m_system) {
    m_system = system;
    m_links.SetSystem(system);
  }
}

void ViewDistributor::HandlePushReply(const routing::MemberRoute& member,
                                      const link::Reply& reply) {
  auto acknowledgement =
      control::Decode<fleet::GatewayAcknowledgement>(reply.body);
  std::lock_guard<std::mutex> lock(m_mutex);
  m_outstanding[member.gateway] = 0;
  if (reply.status != link::ReplyStatus::kOk || !acknowledgement ||
      !IsFrom(member, *acknowledgement)) {
    // The gateway's version is unknown now, so the next push contains the full
    // view.
    m_versions.erase(member.gateway);
    return;
  }
  m_versions[member.gateway] = acknowledgement->view_version;
  m_acknowledgements.push_back(std::move(*acknowledgement));
}

std::vector<fleet::GatewayAcknowledgement>
ViewDistributor::DrainAcknowledgements() {
  std::lock_guard<std::mutex> lock(m_mutex);
  return std::exchange(m_acknowledgements, {});
}

}  // namespace shallotwick::controller
