#include "http/connection_pool.h"

#include <algorithm>
#include <utility>

#include "base/settings.h"

namespace shallotwick::http {
namespace {

constexpr std::string_view kScheme = "http://";
// Then one that is not urgent gets a connection.
constexpr int kMaxUrgentInARow = 3;

// Returns the authority of a URL, such as 10.1.2.3:80.
std::string GetServerAddress(const std::string& url) {
  const size_t begin =
      url.compare(0, kScheme.size(), kScheme) == 0 ? kScheme.size() : 0;
  return url.substr(begin, url.find('/', begin) - begin);
}

std::string FormatRequest(const std::string& server, const Request& request) {
  std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
  text += "Host: " + server + "\r\n";
  for (const auto& [name, value] : request.headers) {
    if (!IsHopByHopHeader(name)) {
      text += name + (value.empty() ? ":" : ": ") + value + "\r\n";
    }
  }
  const bool sends_content_length = request.method == "POST" ||
                                    request.method == "PUT" ||
                                    !request.body.empty();
  if (sends_content_length) {
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
  for (auto& [key, idle] : m_idle) {
    idle.connection->Close();
  }
}

void ConnectionPool::Send(const std::string& url, Request request,
                          const TransferOptions& options,
                          OnTransferEnd on_done) {
  const std::string name = GetServerAddress(url);
  Server* server = FindServer(name);
  if (server == nullptr) {
    TransferResult result;
    result.error = "'" + name + "' is not an IP address and port";
    asio::post(m_context, m_lifetime.Guard([on_done = std::move(on_done),
                                            result = std::move(result)] {
      on_done(result);
    }));
    return;
  }
  const uint64_t id = m_next_exchange_id++;
  Exchange& exchange = m_exchanges[id];
  exchange.server = name;
  exchange.message = FormatRequest(name, request);
  exchange.is_head = request.method == "HEAD";
  exchange.options = options;
  exchange.on_done = std::move(on_done);
  exchange.started = Clock::now();
  exchange.deadline = m_deadlines.end();
  const auto connection_limit =
      std::min({options.connect_timeout, options.first_byte_timeout,
                options.total_timeout});
  SetDeadline(id, exchange, exchange.started + connection_limit);
  if (!server->HasWaiting() && AssignConnection(*server, id, exchange)) {
    return;
  }
  auto& waiting =
      options.is_urgent ? server->waiting_urgent : server->waiting_others;
  waiting.insert(waiting.end(), id);
}

void ConnectionPool::SetConnectionLimit(size_t max_connections) {
  m_max_connections = std::max<size_t>(max_connections, 1);
}

size_t ConnectionPool::CountOpenConnections() const {
  return m_open_connections;
}

size_t ConnectionPool::CountWaitingRequests() const {
  size_t count = 0;
  for (const auto& [name, server] : m_servers) {
    count += server.waiting_urgent.size() + server.waiting_others.size();
  }
  return count;
}

// Returns the server of that address, adding it if necessary, or nullptr if
// `name` is not an IP address and port.
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

// Sends a request on an idle connection, or on a new one if the limit allows
// it. Returns false if there is neither.
bool ConnectionPool::AssignConnection(Server& server, uint64_t id,
                                      Exchange& exchange) {
  auto connection = AcquireIdleConnection(server, exchange.options);
  if (!connection && !MakeRoom(server)) {
    if (server.open_connections < m_connections_per_server) {
      AddServerWithoutRoom(exchange.server);
    }
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
    Exchange& responding = m_exchanges.at(id);
    SetDeadline(id, responding, GetResponseDeadline(responding));
  };
  connection->m_on_done = [this, id](TransferResult result) {
    OnExchangeDone(id, std::move(result));
  };
  connection->Send(std::move(exchange.message), exchange.is_head,
                   exchange.options.largest_body_bytes,
                   exchange.deadline->first);
  return true;
}

std::shared_ptr<ClientConnection> ConnectionPool::AcquireIdleConnection(
    Server& server, const TransferOptions& options) {
  const bool requires_new_connection =
      options.send_once || options.oldest_connection.count() == 0;
  while (!server.idle.empty()) {
    const auto connection = RemoveIdle(server.idle.back());
    const bool is_too_old =
        options.oldest_connection.count() > 0 &&
        Clock::now() > connection->GetOpenedAt() + options.oldest_connection;
    if (!requires_new_connection && !is_too_old) {
      return connection;
    }
    connection->Close();
    OnClosed(server);
  }
  return nullptr;
}

bool ConnectionPool::MakeRoom(const Server& server) {
  if (server.open_connections >= m_connections_per_server) {
    return false;
  }
  if (m_open_connections < m_max_connections) {
    return true;
  }
  if (m_idle.empty()) {
    return false;
  }
  const std::string name = m_idle.begin()->second.server;
  RemoveIdle(m_idle.begin()->first)->Close();
  const auto other = m_servers.find(name);
  OnClosed(other->second);
  EraseIfUnused(other);
  return true;
}

std::shared_ptr<ClientConnection> ConnectionPool::Open(Server& server) {
  auto connection =
      std::make_shared<ClientConnection>(m_context, server.endpoint);
  ++server.open_connections;
  ++m_open_connections;
  return connection;
}

void ConnectionPool::AddIdle(
    const std::string& name,
    const std::shared_ptr<ClientConnection>& connection) {
  const uint64_t key = m_next_idle_key++;
  m_idle[key] = {name, connection};
  m_servers.at(name).idle.push_back(key);
  connection->m_on_idle_close = [this, name, key] {
    RemoveIdle(key);
    OnClosed(m_servers.at(name));
    AssignWaitingExchanges(name);
  };
}

std::shared_ptr<ClientConnection> ConnectionPool::RemoveIdle(uint64_t key) {
  const IdleConnection idle = std::move(m_idle.extract(key).mapped());
  std::erase(m_servers.at(idle.server).idle, key);
  return idle.connection;
}

void ConnectionPool::OnClosed(Server& server) {
  --server.open_connections;
  --m_open_connections;
}

void ConnectionPool::AddServerWithoutRoom(const std::string& name) {
  if (std::find(m_servers_without_room.begin(), m_servers_without_room.end(),
                name) == m_servers_without_room.end()) {
    m_servers_without_room.push_back(name);
  }
}

ConnectionPool::Servers::iterator ConnectionPool::FindNextServer() {
  auto next = m_servers.end();
  std::erase_if(m_servers_without_room, [this, &next](const std::string& name) {
    const auto server = m_servers.find(name);
    const bool is_served =
        server == m_servers.end() || !server->second.HasWaiting() ||
        server->second.open_connections >= m_connections_per_server;
    if (!is_served &&
        (next == m_servers.end() ||
         server->second.open_connections < next->second.open_connections)) {
      next = server;
    }
    return is_served;
  });
  return next;
}

// A server with a single connection gives it up only to one that has none, as
// the two would otherwise go on to take it from each other.
bool ConnectionPool::MustYield(const Server& server) {
  if (m_open_connections < m_max_connections) {
    return false;
  }
  const auto next = FindNextServer();
  return next != m_servers.end() && &next->second != &server &&
         (next->second.open_connections == 0 ||
          next->second.open_connections + 1 < server.open_connections);
}

void ConnectionPool::ServeOtherServers() {
  while (m_open_connections < m_max_connections || !m_idle.empty()) {
    const auto next = FindNextServer();
    if (next == m_servers.end()) {
      return;
    }
    const std::string name = next->first;
    std::erase(m_servers_without_room, name);
    AssignToServer(name, 1);
  }
}

void ConnectionPool::OnExchangeDone(uint64_t id, TransferResult result) {
  const auto found = m_exchanges.find(id);
  Exchange exchange = std::move(found->second);
  m_exchanges.erase(found);
  m_deadlines.erase(exchange.deadline);
  const std::string name = exchange.server;
  Server& server = m_servers.at(name);
  const auto connection = exchange.connection;
  const bool must_yield = MustYield(server);
  if (must_yield) {
    connection->Close();
  }
  if (connection->IsOpen()) {
    AddIdle(name, connection);
  } else {
    OnClosed(server);
  }
  if (must_yield) {
    ServeOtherServers();
  }
  AssignWaitingExchanges(name);
  exchange.on_done(std::move(result));
}

void ConnectionPool::AssignWaitingExchanges(const std::string& name) {
  AssignToServer(name, std::numeric_limits<size_t>::max());
  ServeOtherServers();
}

// A steady flow of urgent requests must not starve the others.
std::optional<uint64_t> ConnectionPool::FindNextExchange(const Server& server) {
  const bool takes_other = server.waiting_urgent.empty() ||
                           server.urgent_in_a_row >= kMaxUrgentInARow;
  if (takes_other && !server.waiting_others.empty()) {
    return *server.waiting_others.begin();
  }
  return server.waiting_urgent.empty()
             ? std::nullopt
             : std::optional(*server.waiting_urgent.begin());
}

void ConnectionPool::RemoveWaiting(Server& server, uint64_t id) {
  server.waiting_urgent.erase(id);
  server.waiting_others.erase(id);
}

void ConnectionPool::AssignToServer(const std::string& name, size_t max_count) {
  const auto found = m_servers.find(name);
  if (found == m_servers.end()) {
    return;
  }
  Server& server = found->second;
  const auto now = Clock::now();
  size_t count = 0;
  while (const std::optional<uint64_t> id = FindNextExchange(server)) {
    Exchange& exchange = m_exchanges.at(*id);
    // After a suspension of the process, the timer may not have ended it yet.
    if (exchange.deadline->first <= now) {
      RemoveWaiting(server, *id);
      continue;
    }
    if (count == max_count) {
      AddServerWithoutRoom(name);
      return;
    }
    if (!AssignConnection(server, *id, exchange)) {
      return;
    }
    ++count;
    server.urgent_in_a_row =
        server.waiting_urgent.count(*id) > 0 ? server.urgent_in_a_row + 1 : 0;
    RemoveWaiting(server, *id);
  }
  EraseIfUnused(found);
}

void ConnectionPool::EraseIfUnused(Servers::iterator server) {
  if (server->second.open_connections == 0 && !server->second.HasWaiting()) {
    m_servers.erase(server);
  }
}

ConnectionPool::Clock::time_point ConnectionPool::GetResponseDeadline(
    const Exchange& exchange) {
  const auto total = exchange.started + exchange.options.total_timeout;
  const auto stall = exchange.options.stall_timeout;
  return stall.count() == 0
             ? total
             : std::min(total, exchange.connection->GetLastReceived() + stall);
}

void ConnectionPool::SetDeadline(uint64_t id, Exchange& exchange,
                                 Clock::time_point at) {
  if (exchange.deadline != m_deadlines.end()) {
    m_deadlines.erase(exchange.deadline);
  }
  exchange.deadline = m_deadlines.emplace(at, id);
  ArmTimer();
}

// The timer is not reset when a deadline is removed or postponed: an occasional
// spurious expiry costs less than setting the timer for every request.
void ConnectionPool::ArmTimer() {
  if (m_deadlines.empty() || m_deadlines.begin()->first >= m_timer_expiry) {
    return;
  }
  m_timer_expiry = m_deadlines.begin()->first;
  m_timer.expires_at(m_timer_expiry);
  m_timer.async_wait(m_lifetime.Guard([this](const std::error_code& error) {
    if (!error) {
      m_timer_expiry = Clock::time_point::max();
      HandleExpiredDeadlines();
      ArmTimer();
    }
  }));
}

void ConnectionPool::HandleExpiredDeadlines() {
  const auto now = Clock::now();
  EndExpiredWaiting(now);
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
    const uint64_t id = m_deadlines.begin()->second;
    Exchange& exchange = m_exchanges.at(id);
    if (!exchange.connection) {
      // It was added by a callback of another one.
      EndExpiredWaiting(now);
    } else {
      HandleExpiredDeadline(id, exchange);
    }
  }
}

void ConnectionPool::EndExpiredWaiting(Clock::time_point now) {
  std::vector<OnTransferEnd> expired;
  std::set<std::string> servers;
  for (auto next = m_deadlines.begin();
       next != m_deadlines.end() && next->first <= now;) {
    const auto found = m_exchanges.find(next->second);
    Exchange& exchange = found->second;
    if (exchange.connection) {
      ++next;
      continue;
    }
    const auto server = m_servers.find(exchange.server);
    if (server != m_servers.end()) {
      RemoveWaiting(server->second, found->first);
    }
    servers.insert(exchange.server);
    expired.push_back(std::move(exchange.on_done));
    next = m_deadlines.erase(next);
    m_exchanges.erase(found);
  }
  for (const std::string& name : servers) {
    AssignWaitingExchanges(name);
  }
  TransferResult result;
  result.error = "timed out waiting for a free connection";
  for (const OnTransferEnd& on_done : expired) {
    on_done(result);
  }
}

void ConnectionPool::HandleExpiredDeadline(uint64_t id, Exchange& exchange) {
  const auto connection = exchange.connection;
  const auto first_byte_limit = std::min(exchange.options.first_byte_timeout,
                                         exchange.options.total_timeout);
  const bool is_within_first_byte_limit =
      connection->IsConnected() && !connection->HasFirstByte() &&
      Clock::now() < exchange.started + first_byte_limit;
  if (is_within_first_byte_limit) {
    SetDeadline(id, exchange, exchange.started + first_byte_limit);
    return;
  }
  // The deadline is not moved for each part of a response.
  if (connection->HasFirstByte() &&
      Clock::now() < GetResponseDeadline(exchange)) {
    SetDeadline(id, exchange, GetResponseDeadline(exchange));
    return;
  }
  const bool has_first_byte_timed_out =
      connection->IsConnected() && !connection->HasFirstByte();
  connection->Abort(has_first_byte_timed_out
                        ? "timed out waiting for the first byte of the response"
                        : "timeout",
                    has_first_byte_timed_out);
}

}  // namespace shallotwick::http
