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

// The thread on which one process talks to our other processes: its server, if
// it has one, and a client for each process that it calls.
class LinkThread {
 public:
  LinkThread();
  ~LinkThread();
  LinkThread(const LinkThread&) = delete;
  LinkThread& operator=(const LinkThread&) = delete;

  // Listens; the handler is called on the thread. Returns the port. Throws
  // std::system_error if the address can't be bound.
  uint16_t Listen(const base::Endpoint& endpoint, link::CallHandler handler);

  // Calls the process at `address`. `on_reply` is called on the thread.
  void Send(const std::string& address, link::Call call,
            std::chrono::milliseconds timeout, link::OnReply on_reply);

  // Runs a function on the thread; replies are given there.
  void Post(std::function<void()> run);

  // Drops the clients of all processes but these.
  void KeepOnly(const std::vector<std::string>& addresses);

  void Stop();

 private:
  asio::io_context m_context{1};
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  std::unique_ptr<link::Server> m_server;
  std::map<std::string, std::unique_ptr<link::Client>> m_clients;
  std::thread m_thread;
};

}  // namespace shallotwick::control
