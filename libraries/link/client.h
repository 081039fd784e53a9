#pragma once

#include <asio.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "base/runtime_clock.h"
#include "base/settings.h"
#include "link/message.h"

namespace shallotwick::link {

class ClientSession;

// Sends calls to one other process over a single connection, which is opened on
// demand. A call that times out closes the connection, because the connection
// may be permanently unresponsive; the next call opens a new one. Must be used
// on the thread of its io_context only.
class Client {
 public:
  Client(asio::io_context& context, base::Endpoint server);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Sends a call. `on_reply` is called exactly once, with kUnreachable if no
  // reply arrives within `timeout`.
  void Send(Call call, std::chrono::milliseconds timeout, OnReply on_reply);

  const base::Endpoint& GetServer() const { return m_server; }

 private:
  void Connect();

  asio::io_context& m_context;
  base::Endpoint m_server;
  std::shared_ptr<ClientSession> m_session;
};

}  // namespace shallotwick::link
