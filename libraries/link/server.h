#pragma once

#include <asio.hpp>
#include <memory>
#include <set>

#include "base/settings.h"
#include "link/message.h"

namespace shallotwick::link {

class ServerSession;

// Takes calls from our other processes. Lives on the thread of its io_context.
class Server {
 public:
  // Listens at once. Throws std::system_error if the address can't be bound.
  Server(asio::io_context& context, const base::Endpoint& listen,
         CallHandler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  uint16_t GetPort() const;
  // Closes all connections.
  void Close();

 private:
  void Accept();

  asio::ip::tcp::acceptor m_acceptor;
  CallHandler m_handler;
  std::set<std::shared_ptr<ServerSession>> m_sessions;
  bool m_closed = false;
};

}  // namespace shallotwick::link
