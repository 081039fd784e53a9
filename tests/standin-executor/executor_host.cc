#include "executor_host.h"

#include <utility>

#include "executor_connection.h"

namespace shallotwick::standin {

ExecutorHost::ExecutorHost(asio::io_context& context, std::string name,
                           const asio::ip::tcp::endpoint& endpoint, int slots,
                           ExecutorRecord& record)
    : m_context(context),
      m_name(std::move(name)),
      m_endpoint(endpoint),
      m_acceptor(context),
      m_slots(slots),
      m_record(record) {}

void ExecutorHost::Start() {
  if (m_acceptor.is_open()) {
    return;
  }
  m_acceptor.open(m_endpoint.protocol());
  m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
  m_acceptor.bind(m_endpoint);
  m_acceptor.listen();
  m_endpoint = m_acceptor.local_endpoint();
  Accept();
}

void ExecutorHost::Accept() {
  m_acceptor.async_accept(
      [this](const std::error_code& error, asio::ip::tcp::socket socket) {
        if (error) {
          return;
        }
        auto connection =
            std::make_shared<ExecutorConnection>(std::move(socket), *this);
        m_connections.insert(connection);
        connection->Start();
        Accept();
      });
}

void ExecutorHost::Reboot() {
  m_record.RecordCut(m_running);
  std::error_code ignored;
  m_acceptor.close(ignored);
  const auto connections = std::exchange(m_connections, {});
  for (const auto& connection : connections) {
    connection->Close();
  }
  m_running = 0;
  m_leaving = false;
}

void ExecutorHost::SilenceOpenConnections() {
  for (const auto& connection : m_connections) {
    connection->Silence();
  }
}

bool ExecutorHost::TryStart(const std::string& request) {
  if (m_running >= m_slots) {
    m_record.RecordRefusal();
    return false;
  }
  ++m_running;
  m_record.RecordStart(request, m_name);
  return true;
}

void ExecutorHost::End(const std::string& request) {
  --m_running;
  m_record.RecordEnd(request);
}

void ExecutorHost::Forget(
    const std::shared_ptr<ExecutorConnection>& connection) {
  m_connections.erase(connection);
}

}  // namespace shallotwick::standin
