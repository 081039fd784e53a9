#include "control/link_thread.h"

#include <algorithm>
#include <future>
#include <utility>

namespace shallotwick::control {

LinkThread::LinkThread()
    : m_work(asio::make_work_guard(m_context)),
      m_thread([this] { m_context.run(); }) {}

LinkThread::~LinkThread() { Stop(); }

uint16_t LinkThread::Listen(const base::Endpoint& endpoint,
                            link::CallHandler handler) {
  std::promise<uint16_t> port;
  asio::post(m_context, [&] {
    try {
      m_server = std::make_unique<link::Server>(m_context, endpoint,
                                                std::move(handler));
      port.set_value(m_server->GetPort());
    } catch (...) {
      port.set_exception(std::current_exception());
    }
  });
  return port.get_future().get();
}

void LinkThread::Send(const std::string& address, link::Call call,
                      std::chrono::milliseconds timeout,
                      link::OnReply on_reply) {
  asio::post(m_context, [this, address, call = std::move(call), timeout,
                         on_reply = std::move(on_reply)]() mutable {
    auto& client = m_clients[address];
    if (!client) {
      client = std::make_unique<link::Client>(m_context,
                                              base::ParseEndpoint(address));
    }
    client->Send(std::move(call), timeout, std::move(on_reply));
  });
}

void LinkThread::Post(std::function<void()> run) {
  asio::post(m_context, std::move(run));
}

void LinkThread::RetainClients(const std::vector<std::string>& addresses) {
  asio::post(m_context, [this, addresses] {
    std::erase_if(m_clients, [&addresses](const auto& entry) {
      return std::find(addresses.begin(), addresses.end(), entry.first) ==
             addresses.end();
    });
  });
}

void LinkThread::Stop() {
  if (!m_thread.joinable()) {
    return;
  }
  asio::post(m_context, [this] {
    m_server.reset();
    m_clients.clear();
    m_work.reset();
    m_context.stop();
  });
  m_thread.join();
}

}  // namespace shallotwick::control
