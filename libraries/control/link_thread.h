#pragma once

#include <asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "base/settings.h"
#include "link/client.h"
#include "link/server.h"

namespace shallotwick::control {

// The thread that handles a process's link connections to other shallotwick
// processes. Owns the link server, if the process listens, and one client for
// each process that it calls.
class LinkThread {
 public:
  LinkThread();
  ~LinkThread();
  LinkThread(const LinkThread&) = delete;
  LinkThread& operator=(const LinkThread&) = delete;

  // Starts the server and returns its port. `handler` is called on the link
  // thread. Throws std::system_error if the address can't be bound.
  uint16_t Listen(const base::Endpoint& endpoint, link::CallHandler handler);

  // Sends a call to the process at `address`. `on_reply` is called on the link
  // thread.
  void Send(const std::string& address, link::Call call,
            std::chrono::milliseconds timeout, link::OnReply on_reply);

  // Runs a function on the link thread, on which replies must be sent.
  void Post(std::function<void()> run);

  // Removes the clients of all processes whose address is not listed.
  void RetainClients(const std::vector<std::string>& addresses);

  void Stop();

 private:
  asio::io_context m_context{1};
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  std::unique_ptr<link::Server> m_server;
  std::map<std::string, std::unique_ptr<link::Client>> m_clients;
  std::thread m_thread;
};

}  // namespace shallotwick::control
