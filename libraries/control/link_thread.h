#pragma once

#include <asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "base/settings.h"
#include "link/client.h"
#include "link/server.h"

namespace shallotwick::control {

// Where a call is sent, and the incarnation that it is meant for, which is
// empty if any process of the system at this address may handle it.
struct LinkPeer {
  std::string address;
  std::string incarnation{};

  auto operator<=>(const LinkPeer&) const = default;
};

// The thread that handles a process's link connections to other shallotwick
// processes. Owns the link server, if the process listens, and one client for
// each process that it calls. Names the recipient in each call and this process
// in each reply, and rejects what is meant for or comes from another process.
class LinkThread {
 public:
  // `incarnation` is that of this process; empty if it does not listen.
  explicit LinkThread(std::string incarnation = {});
  ~LinkThread();
  LinkThread(const LinkThread&) = delete;
  LinkThread& operator=(const LinkThread&) = delete;

  // Sets the identity of the system that this process belongs to, which is
  // unknown at first. Returns the previous one. Later calls and replies of
  // processes of another system are rejected. Must not be called on the link
  // thread.
  std::string SetSystem(const std::string& system);
  // Sets the system's identity if it is still unknown. Called on the link
  // thread.
  void AdoptSystem(const std::string& system);

  // Starts the server and returns its port. `handler` is called on the link
  // thread, for calls that do not name another recipient. Throws
  // std::system_error if the address can't be bound.
  uint16_t Listen(const base::Endpoint& endpoint, link::CallHandler handler);

  // Sends a call. `on_reply` is called on the link thread. Once another process
  // is found at the peer's address, calls to this peer complete as kMisdirected
  // without being sent.
  void Send(const LinkPeer& peer, link::Call call,
            std::chrono::milliseconds timeout, link::OnReply on_reply);

  // Runs a function on the link thread, on which replies must be sent.
  void Post(std::function<void()> run);

  // Removes the clients of all processes whose address is not listed.
  void RetainClients(const std::vector<std::string>& addresses);

  void Stop();

 private:
  struct Connection {
    std::unique_ptr<link::Client> client;
    // The recipient that the process at the address is not.
    std::optional<link::Identity> wrong_recipient;
  };

  void HandleCall(link::Call call, link::OnReply on_reply,
                  const link::CallHandler& handler);
  link::Reply CheckReply(const std::string& address,
                         const link::Identity& recipient, link::Reply reply);

  std::string m_incarnation;
  // Used on the link thread only.
  std::string m_system;
  asio::io_context m_context{1};
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  std::unique_ptr<link::Server> m_server;
  std::map<std::string, Connection> m_connections;
  std::thread m_thread;
};

}  // namespace shallotwick::control
