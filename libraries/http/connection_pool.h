#pragma once

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
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

  struct Server {
    asio::ip::tcp::endpoint endpoint;
    int open_connections = 0;
    std::vector<std::shared_ptr<ClientConnection>> idle;
    // IDs of the exchanges that wait for a connection, urgent ones first.
    std::deque<uint64_t> waiting;
  };

  Server* FindServer(const std::string& name);
  bool AssignConnection(Server& server, uint64_t id, Exchange& exchange);
  std::shared_ptr<ClientConnection> AcquireIdleConnection(
      Server& server, const TransferOptions& options);
  std::shared_ptr<ClientConnection> Open(Server& server);
  void OnExchangeDone(uint64_t id, TransferResult result);
  void AssignWaitingExchanges(const std::string& name);
  void SetDeadline(uint64_t id, Exchange& exchange, Clock::time_point at);
  void ArmTimer();
  // Returns until when an exchange whose response has begun may go on without
  // further bytes.
  static Clock::time_point GetResponseDeadline(const Exchange& exchange);
  // Handles all exchanges whose deadline has passed.
  void HandleExpiredDeadlines();
  // Aborts the exchange, or waits for the rest of the first byte timeout if the
  // connection was established within its own.
  void HandleExpiredDeadline(uint64_t id, Exchange& exchange);

  asio::io_context& m_context;
  int m_connections_per_server;
  uint64_t m_next_exchange_id = 1;
  std::map<uint64_t, Exchange> m_exchanges;
  std::map<std::string, Server> m_servers;
  Deadlines m_deadlines;
  asio::steady_timer m_timer;
  Clock::time_point m_timer_expiry = Clock::time_point::max();
  base::Lifetime m_lifetime;
};

}  // namespace shallotwick::http
