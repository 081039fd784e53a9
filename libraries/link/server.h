#pragma once

#include <asio.hpp>
#include <memory>
#include <set>

#include "base/settings.h"
#include "link/message.h"

namespace shallotwick::link {

class ServerSession;

// Accepts calls from other Shallotwick processes. Must be used on the thread of
// its io_context only.
class Server {
 public:
  // Starts listening. Throws std::system_error if the address cannot be bound.
  Server(asio::io_context& context, const base::Endpoint& listen,
         CallHandler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  uint16_t GetPort() const;
  // Stops listening and closes all connections.
  void Close();

 private:
  void Accept();

  asio::ip::tcp::acceptor m_acceptor;
  CallHandler m_handler;
  std::set<std::shared_ptr<ServerSession>> m_sessions;
  bool m_is_closed = false;
};

}  // namespace shallotwick::link
