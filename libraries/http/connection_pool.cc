#include "http/connection_pool.h"

#include <algorithm>
#include <utility>

#include "base/settings.h"

namespace shallotwick::http {
namespace {

constexpr std::string_view kScheme = "http://";

// The server's part of a URL, as in 10.1.2.3:80.
std::string GetServer(const std::string& url) {
  const size_t begin =
      url.compare(0, kScheme.size(), kScheme) == 0 ? kScheme.size() : 0;
  return url.substr(begin, url.find('/', begin) - begin);
}

std::string FormatMessage(const std::string& server, const Request& request) {
  std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
  text += "Host: " + server + "\r\n";
  for (const auto& [name, value] : request.headers) {
    if (!IsHopByHopHeader(name)) {
      text += name + (value.empty() ? ":" : ": ") + value + "\r\n";
    }
  }
  const bool takes_body = request.method == "POST" || request.method == "PUT" ||
                          !request.body.empty();
  if (takes_body) {
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  return text + "\r\n" + request.body;
}

}  // namespace

ConnectionPool::ConnectionPool(asio::io_context& context,
                               int connections_per_server)
    : m_context(context),
      m_connections_per_server(connections_per_server),
      m_timer(context) {}

ConnectionPool::~ConnectionPool() {
  for (auto& [id, exchange] : m_exchanges) {
    if (exchange.connection) {
      exchange.connection->Close();
    }
  }
  for (auto& [name, server] : m_servers) {
    for (const auto& connection : server.idle) {
      connection->Close();
    }
  }
}

void ConnectionPool::Send(const std::string& url, Request request,
                          const TransferOptions& options,
                          OnTransferEnd on_end) {
  const std::string name = GetServer(url);
  Server* server = FindServer(name);
  if (server == nullptr) {
    TransferResult result;
    result.error = "'" + name + "' is not an IP address and port";
    asio::post(m_context, m_lifetime.Guard([on_end = std::move(on_end),
                                            result = std::move(result)] {
      on_end(result);
    }));
    return;
  }
  const uint64_t id = m_next++;
  Exchange& exchange = m_exchanges[id];
  exchange.server = name;
  exchange.message = FormatMessage(name, request);
  exchange.is_head = request.method == "HEAD";
  exchange.options = options;
  exchange.on_end = std::move(on_end);
  exchange.started = Clock::now();
  exchange.deadline = m_deadlines.end();
  const auto until_sent =
      std::min({options.connect_timeout, options.first_byte_timeout,
                options.total_timeout});
  SetDeadline(id, exchange, exchange.started + until_sent);
  if (!server->waiting.empty() || !Assign(*server, id, exchange)) {
    server->waiting.push_back(id);
  }
}

// Null if the name is no address.
ConnectionPool::Server* ConnectionPool::FindServer(const std::string& name) {
  const auto found = m_servers.find(name);
  if (found != m_servers.end()) {
    return &found->second;
  }
  if (!base::CheckAddress(name).empty()) {
    return nullptr;
  }
  const base::Endpoint address = base::ParseEndpoint(name);
  std::error_code error;
  const auto ip = asio::ip::make_address(address.host, error);
  if (error) {
    return nullptr;
  }
  Server& server = m_servers[name];
  server.endpoint = {ip, address.port};
  return &server;
}

// Gives a request a connection, if there is one or one may be opened.
bool ConnectionPool::Assign(Server& server, uint64_t id, Exchange& exchange) {
  auto connection = TakeIdle(server, exchange.options);
  if (!connection && server.open >= m_connections_per_server) {
    return false;
  }
  if (!connection) {
    connection = Open(server);
  } else {
    SetDeadline(id, exchange,
                exchange.started + std::min(exchange.options.first_byte_timeout,
                                            exchange.options.total_timeout));
  }
  exchange.connection = connection;
  connection->m_on_first_byte = [this, id] {
    Exchange& answered = m_exchanges.at(id);
    SetDeadline(id, answered,
                answered.started + answered.options.total_timeout);
  };
  connection->m_on_end = [this, id](TransferResult result) {
    OnEnd(id, std::move(result));
  };
  connection->Send(std::move(exchange.message), exchange.is_head,
                   exchange.options.largest_body_bytes);
  return true;
}

std::shared_ptr<ClientConnection> ConnectionPool::TakeIdle(
    Server& server, const TransferOptions& options) {
  const bool only_new =
      options.send_once || options.oldest_connection.count() == 0;
  while (!server.idle.empty()) {
    auto connection = server.idle.back();
    server.idle.pop_back();
    const bool is_too_old =
        options.oldest_connection.count() > 0 &&
        Clock::now() > connection->GetOpened() + options.oldest_connection;
    if (!only_new && !is_too_old) {
      return connection;
    }
    connection->Close();
    --server.open;
  }
  return nullptr;
}

std::shared_ptr<ClientConnection> ConnectionPool::Open(Server& server) {
  auto connection =
      std::make_shared<ClientConnection>(m_context, server.endpoint);
  ++server.open;
  return connection;
}

void ConnectionPool::OnEnd(uint64_t id, TransferResult result) {
  const auto found = m_exchanges.find(id);
  Exchange exchange = std::move(found->second);
  m_exchanges.erase(found);
  m_deadlines.erase(exchange.deadline);
  const std::string name = exchange.server;
  Server& server = m_servers.at(name);
  const auto connection = exchange.connection;
  if (connection->IsOpen()) {
    connection->m_on_idle_close = [this, name,
                                   closed = std::weak_ptr(connection)] {
      Server& owner = m_servers.at(name);
      std::erase(owner.idle, closed.lock());
      --owner.open;
      ServeWaiting(name);
    };
    server.idle.push_back(connection);
  } else {
    --server.open;
  }
  ServeWaiting(name);
  exchange.on_end(std::move(result));
}

void ConnectionPool::ServeWaiting(const std::string& name) {
  Server& server = m_servers.at(name);
  while (!server.waiting.empty()) {
    const uint64_t id = server.waiting.front();
    const auto exchange = m_exchanges.find(id);
    if (exchange != m_exchanges.end() &&
        !Assign(server, id, exchange->second)) {
      return;
    }
    server.waiting.pop_front();
  }
  if (server.open == 0) {
    m_servers.erase(name);
  }
}

void ConnectionPool::SetDeadline(uint64_t id, Exchange& exchange,
                                 Clock::time_point at) {
  if (exchange.deadline != m_deadlines.end()) {
    m_deadlines.erase(exchange.deadline);
  }
  exchange.deadline = m_deadlines.emplace(at, id);
  ArmTimer();
}

// The timer is left alone when a deadline goes or moves back: firing in vain
// now and then costs less than setting it at each request.
void ConnectionPool::ArmTimer() {
  if (m_deadlines.empty() || m_deadlines.begin()->first >= m_armed_for) {
    return;
  }
  m_armed_for = m_deadlines.begin()->first;
  m_timer.expires_at(m_armed_for);
  m_timer.async_wait(m_lifetime.Guard([this](const std::error_code& error) {
    if (!error) {
      m_armed_for = Clock::time_point::max();
      EndLate();
      ArmTimer();
    }
  }));
}

void ConnectionPool::EndLate() {
  const auto now = Clock::now();
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
    const uint64_t id = m_deadlines.begin()->second;
    EndLate(id, m_exchanges.at(id));
  }
}

void ConnectionPool::EndLate(uint64_t id, Exchange& exchange) {
  const auto connection = exchange.connection;
  if (!connection) {
    TransferResult result;
    result.error = "no free connection in time";
    OnTransferEnd on_end = std::move(exchange.on_end);
    m_deadlines.erase(exchange.deadline);
    std::erase(m_servers.at(exchange.server).waiting, id);
    m_exchanges.erase(id);
    on_end(std::move(result));
    return;
  }
  const auto wait = std::min(exchange.options.first_byte_timeout,
                             exchange.options.total_timeout);
  const bool is_only_connected = connection->IsConnected() &&
                                 !connection->HasFirstByte() &&
                                 Clock::now() < exchange.started + wait;
  if (is_only_connected) {
    SetDeadline(id, exchange, exchange.started + wait);
    return;
  }
  const bool is_first_byte_late =
      connection->IsConnected() && !connection->HasFirstByte();
  connection->Abort(
      is_first_byte_late ? "no first byte of an answer in time" : "timeout",
      is_first_byte_late);
}

}  // namespace shallotwick::http
