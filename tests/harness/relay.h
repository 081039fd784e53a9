#pragma once

#include <asio.hpp>
#include <memory>
#include <set>
#include <string>
#include <thread>

namespace shallotwick::harness {

// A TCP relay to one address on loopback, which can be cut: a network that
// parts one process from another.
class Relay {
 public:
  explicit Relay(const std::string& target);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  std::string GetAddress() const;
  // Closes all connections, and every new one at once.
  void Cut();
  void Mend();

 private:
  using Socket = asio::ip::tcp::socket;
  struct Pair;

  void Accept();
  static void Pump(const std::shared_ptr<Pair>& pair, Socket& from, Socket& to,
                   std::array<char, 8192>& buffer);

  asio::io_context m_context{1};
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  asio::ip::tcp::endpoint m_target;
  asio::ip::tcp::acceptor m_acceptor;
  std::set<std::shared_ptr<Pair>> m_pairs;
  bool m_cut = false;
  std::thread m_thread;
};

}  // namespace shallotwick::harness
