#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <vector>

#include "base/runtime_clock.h"
#include "base/settings.h"
#include "link/http2_session.h"

namespace shallotwick::link {

// The client's end of one connection. Calls that are made before it is
// connected wait.
class ClientSession : public Http2Session {
 public:
  explicit ClientSession(asio::io_context& context);

  void Connect(const base::Endpoint& server);
  void Send(Call call, std::chrono::milliseconds timeout, OnReply on_reply);

 private:
  using Timer = asio::basic_waitable_timer<base::RuntimeClock>;

  struct Pending {
    Call call;
    OnReply on_reply;
    std::unique_ptr<Timer> timer;
  };

  void OnStreamReceived(int32_t stream_id, Stream* stream) override;
  void OnStreamEnded(int32_t stream_id) override;
  void OnClosed() override;

  std::shared_ptr<ClientSession> GetSelf();
  void Submit(const std::shared_ptr<Pending>& pending);
  static void Finish(const std::shared_ptr<Pending>& pending, Reply reply);

  asio::io_context& m_context;
  bool m_connected = false;
  std::vector<std::shared_ptr<Pending>> m_waiting;
  std::map<int32_t, std::shared_ptr<Pending>> m_pending;
};

}  // namespace shallotwick::link
