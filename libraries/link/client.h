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

// Calls one other process over one connection, made at need. A call that is not
// answered in time closes the connection: it may have gone silent for good, and
// a new one is made for the next call. Lives on the thread of its io_context.
class Client {
 public:
  Client(asio::io_context& context, base::Endpoint server);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // `on_reply` is called once, with kUnreachable if no answer came in time.
  void Send(Call call, std::chrono::milliseconds timeout, OnReply on_reply);

  const base::Endpoint& GetServer() const { return m_server; }

 private:
  void Connect();

  asio::io_context& m_context;
  base::Endpoint m_server;
  std::shared_ptr<ClientSession> m_session;
};

}  // namespace shallotwick::link
