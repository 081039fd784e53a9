#pragma once

#include <asio.hpp>
#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace shallotwick::fakes {

// What a scripted server does with one request, after it has read it whole.
struct ScriptedResponse {
  std::string bytes;
  bool close = false;
  // Neither answers nor closes.
  bool silent = false;
  // The bytes are sent in this many parts, with a pause after each.
  size_t parts = 1;
  std::chrono::milliseconds pause{0};
};

// A TCP server that answers each request with bytes given by the test, however
// broken. One thread for all connections.
class ScriptedServer {
 public:
  // `connection` and `request` count from 1, `request` on its connection.
  using Script = std::function<ScriptedResponse(int connection, int request,
                                                const std::string& text)>;

  explicit ScriptedServer(Script script);
  ~ScriptedServer();

  std::string GetUrl(const std::string& path) const;
  uint16_t GetPort() const { return m_port; }
  // All requests read so far, in order.
  std::vector<std::string> GetRequests() const;
  int CountConnections() const { return m_connections.load(); }

 private:
  void Accept();
  void Serve(asio::ip::tcp::socket socket, int connection);

  Script m_script;
  asio::io_context m_context;
  asio::ip::tcp::acceptor m_acceptor;
  uint16_t m_port = 0;
  std::atomic<int> m_connections{0};
  std::atomic<bool> m_stopping{false};
  mutable std::mutex m_mutex;
  std::vector<std::string> m_requests;
  std::vector<std::shared_ptr<asio::ip::tcp::socket>> m_sockets;
  std::vector<std::thread> m_threads;
  std::thread m_accept_thread;
};

// A plain answer with a Content-Length.
std::string MakeAnswer(const std::string& body);

}  // namespace shallotwick::fakes
