#pragma once

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "http/client_connection.h"
#include "http/request_sender.h"

namespace shallotwick::http {

// An HTTP/1.1 client for one event loop with persistent connections. Makes
// one system call per request and two per response. Never sends a request
// twice.
class ConnectionPool : public RequestSender {
 public:
  // Must be used on the single thread that runs `context`, which must outlive
  // the pool. `connections_per_server` is the maximum number of open
  // connections to one address; further requests are queued.
  ConnectionPool(asio::io_context& context, int connections_per_server);
  // Drops pending requests without calling their callbacks.
  ~ConnectionPool() override;
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  // `url` must contain the server's IP address and port, not a host name.
  void Send(const std::string& url, Request request,
            const TransferOptions& options, OnTransferEnd on_done) override;

  // Sets the maximum number of open connections to all servers, at least 1. At
  // the maximum, the connection that has been idle longest is closed for a new
  // one. If none is idle, requests wait until a server with more connections
  // than theirs has ended an exchange.
  void SetConnectionLimit(size_t max_connections);

  // Open connections to all servers, those being established included.
  size_t CountOpenConnections() const;
  // Requests that wait for a connection.
  size_t CountWaitingRequests() const;

 private:
  using Clock = std::chrono::steady_clock;
  using Deadlines = std::multimap<Clock::time_point, uint64_t>;

  struct Exchange {
    std::string server;
    std::string message;
    bool is_head = false;
    TransferOptions options;
    OnTransferEnd on_done;
    Clock::time_point started;
    Deadlines::iterator deadline;
    // Null while the request waits for a connection.
    std::shared_ptr<ClientConnection> connection;
  };

  struct IdleConnection {
    std::string server;
    std::shared_ptr<ClientConnection> connection;
  };

  struct Server {
    asio::ip::tcp::endpoint endpoint;
    int open_connections = 0;
    // Keys of m_idle, the longest idle first.
    std::vector<uint64_t> idle;
    // IDs of the exchanges that wait for a connection; they rise in the order
    // of the requests.
    std::set<uint64_t> waiting_urgent;
    std::set<uint64_t> waiting_others;
    // How many urgent exchanges have got a connection since another one did.
    int urgent_in_a_row = 0;

    bool HasWaiting() const {
      return !waiting_urgent.empty() || !waiting_others.empty();
    }
  };

  using Servers = std::map<std::string, Server>;

  Server* FindServer(const std::string& name);
  bool AssignConnection(Server& server, uint64_t id, Exchange& exchange);
  std::shared_ptr<ClientConnection> AcquireIdleConnection(
      Server& server, const TransferOptions& options);
  // Whether a connection to the server may be opened. Closes an idle connection
  // to another server if necessary.
  bool MakeRoom(const Server& server);
  std::shared_ptr<ClientConnection> Open(Server& server);
  void AddIdle(const std::string& name,
               const std::shared_ptr<ClientConnection>& connection);
  std::shared_ptr<ClientConnection> RemoveIdle(uint64_t key);
  void OnClosed(Server& server);
  void EraseIfUnused(Servers::iterator server);
  void AddServerWithoutRoom(const std::string& name);
  // Returns the server that is first to get a connection that another one gives
  // up: of those that wait because of m_max_connections, the one with the
  // fewest connections.
  Servers::iterator FindNextServer();
  // Whether another server is to get a connection of this one.
  bool MustYield(const Server& server);
  // Gives free connections to the servers that wait because of
  // m_max_connections.
  void ServeOtherServers();
  void OnExchangeDone(uint64_t id, TransferResult result);
  // Gives connections to requests that wait, those of the named server first.
  void AssignWaitingExchanges(const std::string& name);
  // Gives connections to at most `max_count` requests that wait for the server.
  void AssignToServer(const std::string& name, size_t max_count);
  void SetDeadline(uint64_t id, Exchange& exchange, Clock::time_point at);
  void ArmTimer();
  // Returns until when an exchange whose response has begun may go on without
  // further bytes.
  static Clock::time_point GetResponseDeadline(const Exchange& exchange);
  // Returns the exchange that is to get the next connection to the server.
  static std::optional<uint64_t> FindNextExchange(const Server& server);
  static void RemoveWaiting(Server& server, uint64_t id);
  // Handles all exchanges whose deadline has passed.
  void HandleExpiredDeadlines();
  // Ends all exchanges that have waited for a connection until their deadline.
  // Together: each of them would otherwise pass by all others.
  void EndExpiredWaiting(Clock::time_point now);
  // Aborts the exchange, or waits for the rest of the first byte timeout if the
  // connection was established within its own.
  void HandleExpiredDeadline(uint64_t id, Exchange& exchange);

  asio::io_context& m_context;
  int m_connections_per_server;
  size_t m_max_connections = std::numeric_limits<size_t>::max();
  size_t m_open_connections = 0;
  uint64_t m_next_exchange_id = 1;
  std::map<uint64_t, Exchange> m_exchanges;
  Servers m_servers;
  uint64_t m_next_idle_key = 1;
  // In the order in which they became idle.
  std::map<uint64_t, IdleConnection> m_idle;
  // Servers whose requests wait because of m_max_connections, in the order in
  // which they began to.
  std::vector<std::string> m_servers_without_room;
  Deadlines m_deadlines;
  asio::steady_timer m_timer;
  Clock::time_point m_timer_expiry = Clock::time_point::max();
  base::Lifetime m_lifetime;
};

}  // namespace shallotwick::http
