#include "harness/relay.h"

#include <array>
#include <future>
#include <utility>

#include "base/settings.h"

namespace shallotwick::harness {

// Both ends of one relayed connection.
struct Relay::Pair {
  Pair(Socket from, asio::io_context& context)
      : caller(std::move(from)), target(context) {}

  void Close() {
    std::error_code ignored;
    caller.close(ignored);
    target.close(ignored);
  }

  Socket caller;
  Socket target;
  std::array<char, 8192> to_target{};
  std::array<char, 8192> to_caller{};
};

Relay::Relay(const std::string& target)
    : m_work(asio::make_work_guard(m_context)),
      m_acceptor(m_context, asio::ip::tcp::endpoint(
                                asio::ip::make_address("127.0.0.1"), 0)) {
  const base::Endpoint endpoint = base::ParseEndpoint(target);
  m_target = {asio::ip::make_address(endpoint.host), endpoint.port};
  Accept();
  m_thread = std::thread([this] { m_context.run(); });
}

Relay::~Relay() {
  m_context.stop();
  m_thread.join();
}

std::string Relay::GetAddress() const {
  return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
}

void Relay::Cut() {
  std::promise<void> done;
  asio::post(m_context, [&] {
    m_cut = true;
    for (const auto& pair : m_pairs) {
      pair->Close();
    }
    m_pairs.clear();
    done.set_value();
  });
  done.get_future().get();
}

void Relay::Mend() {
  asio::post(m_context, [this] { m_cut = false; });
}

void Relay::Accept() {
  m_acceptor.async_accept([this](const std::error_code& error, Socket socket) {
    if (!error && !m_cut) {
      auto pair = std::make_shared<Pair>(std::move(socket), m_context);
      m_pairs.insert(pair);
      pair->target.async_connect(
          m_target, [pair](const std::error_code& failed) {
            if (failed) {
              pair->Close();
              return;
            }
            Pump(pair, pair->caller, pair->target, pair->to_target);
            Pump(pair, pair->target, pair->caller, pair->to_caller);
          });
    }
    Accept();
  });
}

void Relay::Pump(const std::shared_ptr<Pair>& pair, Socket& from, Socket& to,
                 std::array<char, 8192>& buffer) {
  from.async_read_some(
      asio::buffer(buffer),
      [pair, &from, &to, &buffer](const std::error_code& error, size_t bytes) {
        if (error) {
          pair->Close();
          return;
        }
        asio::async_write(
            to, asio::buffer(buffer, bytes),
            [pair, &from, &to, &buffer](const std::error_code& failed, size_t) {
              if (failed) {
                pair->Close();
                return;
              }
              Pump(pair, from, to, buffer);
            });
      });
}

}  // namespace shallotwick::harness
