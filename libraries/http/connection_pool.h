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

// An HTTP/1.1 client for one event loop that keeps its connections: one system
// call for a request and two for its answer. No request is sent a second time.
class ConnectionPool : public RequestSender {
 public:
  // Used on the one thread that runs `context`, which must outlive the pool.
  // `connections_per_server` bounds the open connections to one address;
  // further requests wait.
  ConnectionPool(asio::io_context& context, int connections_per_server);
  // Requests under way are dropped; nobody is called.
  ~ConnectionPool() override;
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  // `url` names the server by IP address and port.
  void Send(const std::string& url, Request request,
            const TransferOptions& options, OnTransferEnd on_end) override;

 private:
  using Clock = std::chrono::steady_clock;
  using Deadlines = std::multimap<Clock::time_point, uint64_t>;

  struct Exchange {
    std::string server;
    std::string message;
    bool is_head = false;
    TransferOptions options;
    OnTransferEnd on_end;
    Clock::time_point started;
    Deadlines::iterator deadline;
    // Null while the request waits for a connection.
    std::shared_ptr<ClientConnection> connection;
  };

  struct Server {
    asio::ip::tcp::endpoint endpoint;
    int open = 0;
    std::vector<std::shared_ptr<ClientConnection>> idle;
    std::deque<uint64_t> waiting;
  };

  Server* FindServer(const std::string& name);
  bool Assign(Server& server, uint64_t id, Exchange& exchange);
  std::shared_ptr<ClientConnection> TakeIdle(Server& server,
                                             const TransferOptions& options);
  std::shared_ptr<ClientConnection> Open(Server& server);
  void OnEnd(uint64_t id, TransferResult result);
  void ServeWaiting(const std::string& name);
  void SetDeadline(uint64_t id, Exchange& exchange, Clock::time_point at);
  void ArmTimer();
  void EndLate();
  void EndLate(uint64_t id, Exchange& exchange);

  asio::io_context& m_context;
  int m_connections_per_server;
  uint64_t m_next = 1;
  std::map<uint64_t, Exchange> m_exchanges;
  std::map<std::string, Server> m_servers;
  Deadlines m_deadlines;
  asio::steady_timer m_timer;
  Clock::time_point m_armed_for = Clock::time_point::max();
  base::Lifetime m_lifetime;
};

}  // namespace shallotwick::http
