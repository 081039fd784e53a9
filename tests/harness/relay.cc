#include "harness/relay.h"

#include <algorithm>
#include <array>
#include <future>
#include <utility>

#include "base/settings.h"

namespace shallotwick::harness {

struct Relay::Flow {
  Flow(Socket& source, Socket& sink, Lane& shared, asio::io_context& context)
      : from(source), to(sink), lane(shared), timer(context) {}

  Socket& from;
  Socket& to;
  Lane& lane;
  asio::steady_timer timer;
  std::array<char, 8192> buffer{};
};

// Both ends of one relayed connection.
struct Relay::Pair {
  Pair(Socket from, Relay& relay)
      : caller(std::move(from)),
        target(relay.m_context),
        to_target(caller, target, relay.m_to_target, relay.m_context),
        to_caller(target, caller, relay.m_to_caller, relay.m_context) {}

  void Close() {
    std::error_code ignored;
    caller.close(ignored);
    target.close(ignored);
  }

  Socket caller;
  Socket target;
  Flow to_target;
  Flow to_caller;
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

void Relay::SetRate(int64_t bytes_per_second) {
  asio::post(m_context, [this, bytes_per_second] {
    m_bytes_per_second = bytes_per_second;
  });
}

Relay::Clock::time_point Relay::Pass(Lane& lane, size_t bytes) const {
  const std::chrono::microseconds time(static_cast<int64_t>(bytes) * 1'000'000 /
                                       m_bytes_per_second);
  lane.free_at = std::max(lane.free_at, Clock::now()) + time;
  return lane.free_at;
}

void Relay::Accept() {
  m_acceptor.async_accept([this](const std::error_code& error, Socket socket) {
    if (!error && !m_cut) {
      auto pair = std::make_shared<Pair>(std::move(socket), *this);
      m_pairs.insert(pair);
      pair->target.async_connect(m_target,
                                 [this, pair](const std::error_code& failed) {
                                   if (failed) {
                                     pair->Close();
                                     return;
                                   }
                                   Pump(pair, pair->to_target);
                                   Pump(pair, pair->to_caller);
                                 });
    }
    Accept();
  });
}

void Relay::Pump(const std::shared_ptr<Pair>& pair, Flow& flow) {
  flow.from.async_read_some(
      asio::buffer(flow.buffer),
      [this, pair, &flow](const std::error_code& error, size_t bytes) {
        if (error) {
          pair->Close();
          return;
        }
        const auto write = [this, pair, &flow, bytes](const std::error_code&) {
          asio::async_write(
              flow.to, asio::buffer(flow.buffer, bytes),
              [this, pair, &flow](const std::error_code& failed, size_t) {
                if (failed) {
                  pair->Close();
                  return;
                }
                Pump(pair, flow);
              });
        };
        if (m_bytes_per_second == 0) {
          write({});
          return;
        }
        flow.timer.expires_at(Pass(flow.lane, bytes));
        flow.timer.async_wait(write);
      });
}

}  // namespace shallotwick::harness
