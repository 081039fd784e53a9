#include "link/server.h"

#include <utility>

#include "link/server_session.h"

namespace shallotwick::link {

Server::Server(asio::io_context& context, const base::Endpoint& listen,
               CallHandler handler)
    : m_acceptor(context,
                 asio::ip::tcp::endpoint(asio::ip::make_address(listen.host),
                                         listen.port)),
      m_handler(std::move(handler)) {
  Accept();
}

Server::~Server() { Close(); }

uint16_t Server::GetPort() const { return m_acceptor.local_endpoint().port(); }

void Server::Close() {
  if (m_is_closed) {
    return;
  }
  m_is_closed = true;
  std::error_code ignored;
  m_acceptor.close(ignored);
  const auto sessions = std::move(m_sessions);
  m_sessions.clear();
  for (const auto& session : sessions) {
    session->Close();
  }
}

void Server::Accept() {
  m_acceptor.async_accept(
      [this](const std::error_code& error, asio::ip::tcp::socket socket) {
        // Close() cancels the accept, and the server may have been destroyed by
        // the time this runs: check the error before accessing any member.
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          auto weak_session = std::make_shared<std::weak_ptr<ServerSession>>();
          auto session = std::make_shared<ServerSession>(
              std::move(socket), m_handler, [this, weak_session] {
                if (!m_is_closed) {
                  m_sessions.erase(weak_session->lock());
                }
              });
          *weak_session = session;
          m_sessions.insert(session);
          session->Start();
        }
        Accept();
      });
}

}  // namespace shallotwick::link
