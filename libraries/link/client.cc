#include "link/client.h"

#include <utility>

#include "link/client_session.h"

namespace shallotwick::link {

Client::Client(asio::io_context& context, base::Endpoint server)
    : m_context(context), m_server(std::move(server)) {}

Client::~Client() {
  if (m_session) {
    m_session->Close();
  }
}

void Client::Send(Call call, std::chrono::milliseconds timeout,
                  OnReply on_reply) {
  if (!m_session || m_session->IsClosed()) {
    Connect();
  }
  m_session->Send(std::move(call), timeout, std::move(on_reply));
}

void Client::Connect() {
  m_session = std::make_shared<ClientSession>(m_context);
  m_session->Connect(m_server);
}

}  // namespace shallotwick::link
