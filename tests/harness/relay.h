#pragma once

#include <array>
#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <thread>

namespace shallotwick::harness {

// A TCP relay to one address on loopback, which can be cut: a network that
// parts one process from another, or a narrow link between them.
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
  // All connections together carry that many bytes a second each way; 0 for no
  // limit, which is the default.
  void SetRate(int64_t bytes_per_second);

 private:
  using Socket = asio::ip::tcp::socket;
  using Clock = std::chrono::steady_clock;
  struct Pair;
  // One direction of one connection.
  struct Flow;
  // One direction of the link, which all connections share.
  struct Lane {
    Clock::time_point free_at;
  };

  void Accept();
  void Pump(const std::shared_ptr<Pair>& pair, Flow& flow);
  // Returns when that many bytes have passed the link, which has a limit.
  Clock::time_point Pass(Lane& lane, size_t bytes) const;

  asio::io_context m_context{1};
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  asio::ip::tcp::endpoint m_target;
  asio::ip::tcp::acceptor m_acceptor;
  std::set<std::shared_ptr<Pair>> m_pairs;
  bool m_cut = false;
  int64_t m_bytes_per_second = 0;
  Lane m_to_target;
  Lane m_to_caller;
  std::thread m_thread;
};

}  // namespace shallotwick::harness
