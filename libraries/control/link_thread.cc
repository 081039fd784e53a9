#include "control/link_thread.h"

#include <algorithm>
#include <future>
#include <utility>

#include "base/log_catalogue.h"

namespace shallotwick::control {

LinkThread::LinkThread(std::string incarnation)
    : m_incarnation(std::move(incarnation)),
      m_work(asio::make_work_guard(m_context)),
      m_thread([this] { m_context.run(); }) {}

LinkThread::~LinkThread() { Stop(); }

std::string LinkThread::SetSystem(const std::string& system) {
  std::promise<std::string> previous;
  asio::post(m_context,
             [&] { previous.set_value(std::exchange(m_system, system)); });
  return previous.get_future().get();
}

void LinkThread::AdoptSystem(const std::string& system) {
  if (m_system.empty()) {
    m_system = system;
  }
}

uint16_t LinkThread::Listen(const base::Endpoint& endpoint,
                            link::CallHandler handler) {
  std::promise<uint16_t> port;
  asio::post(m_context, [&] {
    try {
      m_server = std::make_unique<link::Server>(
          m_context, endpoint,
          [this, handler = std::move(handler)](link::Call call,
                                               link::OnReply on_reply) {
            HandleCall(std::move(call), std::move(on_reply), handler);
          });
      port.set_value(m_server->GetPort());
    } catch (...) {
      port.set_exception(std::current_exception());
    }
  });
  return port.get_future().get();
}

void LinkThread::HandleCall(link::Call call, link::OnReply on_reply,
                            const link::CallHandler& handler) {
  const link::Identity self{m_system, m_incarnation};
  link::OnReply send_reply =
      [self, on_reply = std::move(on_reply)](link::Reply reply) {
        reply.sender = self;
        on_reply(std::move(reply));
      };
  const link::IdentityMatch match = link::MatchIdentity(call.recipient, self);
  if (match == link::IdentityMatch::kOther) {
    base::Log(base::events::kCallMisdirected,
              {{"path", call.path},
               {"system", call.recipient.system},
               {"incarnation", call.recipient.incarnation}});
    send_reply(link::Reply{link::ReplyStatus::kMisdirected, {}});
    return;
  }
  call.is_verified = match == link::IdentityMatch::kSame;
  handler(std::move(call), std::move(send_reply));
}

void LinkThread::Send(const LinkPeer& peer, link::Call call,
                      std::chrono::milliseconds timeout,
                      link::OnReply on_reply) {
  asio::post(m_context, [this, peer, call = std::move(call), timeout,
                         on_reply = std::move(on_reply)]() mutable {
    const link::Identity recipient{m_system, peer.incarnation};
    Connection& connection = m_connections[peer.address];
    if (connection.wrong_recipient == recipient) {
      on_reply(link::Reply{link::ReplyStatus::kMisdirected, {}});
      return;
    }
    if (!connection.client) {
      connection.client = std::make_unique<link::Client>(
          m_context, base::ParseEndpoint(peer.address));
    }
    call.recipient = recipient;
    connection.client->Send(
        std::move(call), timeout,
        [this, address = peer.address, recipient,
         on_reply = std::move(on_reply)](link::Reply reply) {
          on_reply(CheckReply(address, recipient, std::move(reply)));
        });
  });
}

link::Reply LinkThread::CheckReply(const std::string& address,
                                   const link::Identity& recipient,
                                   link::Reply reply) {
  if (reply.status == link::ReplyStatus::kUnreachable) {
    return reply;
  }
  const link::IdentityMatch match =
      link::MatchIdentity(recipient, reply.sender);
  if (reply.status != link::ReplyStatus::kMisdirected &&
      match != link::IdentityMatch::kOther) {
    // The system's identity may have changed since the call was sent.
    reply.is_verified =
        match == link::IdentityMatch::kSame && recipient.system == m_system;
    return reply;
  }
  base::Log(base::events::kRecipientReplaced,
            {{"address", address},
             {"system", recipient.system},
             {"incarnation", recipient.incarnation},
             {"found_system", reply.sender.system},
             {"found_incarnation", reply.sender.incarnation}});
  const auto connection = m_connections.find(address);
  if (connection != m_connections.end()) {
    connection->second.wrong_recipient = recipient;
  }
  return link::Reply{link::ReplyStatus::kMisdirected, {}};
}

void LinkThread::Post(std::function<void()> run) {
  asio::post(m_context, std::move(run));
}

void LinkThread::RetainClients(const std::vector<std::string>& addresses) {
  asio::post(m_context, [this, addresses] {
    std::erase_if(m_connections, [&addresses](const auto& entry) {
      return std::find(addresses.begin(), addresses.end(), entry.first) ==
             addresses.end();
    });
  });
}

void LinkThread::Stop() {
  if (!m_thread.joinable()) {
    return;
  }
  asio::post(m_context, [this] {
    m_server.reset();
    m_connections.clear();
    m_work.reset();
    m_context.stop();
  });
  m_thread.join();
}

}  // namespace shallotwick::control
