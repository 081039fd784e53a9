#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <vector>

#include "base/runtime_clock.h"
#include "base/settings.h"
#include "link/http2_session.h"

namespace shallotwick::link {

// Client side of one connection. Calls that are sent before the connection is
// established are queued until then.
class ClientSession : public Http2Session {
 public:
  explicit ClientSession(asio::io_context& context);

  void Connect(const base::Endpoint& server);
  // Sends a call. If no reply arrives within `timeout`, closes the connection,
  // which completes all of its calls as kUnreachable.
  void Send(Call call, std::chrono::milliseconds timeout, OnReply on_reply);

 private:
  using Timer = asio::basic_waitable_timer<base::RuntimeClock>;

  struct PendingCall {
    Call call;
    OnReply on_reply;
    std::unique_ptr<Timer> timer;
  };

  void OnMessageReceived(int32_t stream_id, Stream* stream) override;
  void OnStreamEnded(int32_t stream_id) override;
  void OnClosed() override;

  std::shared_ptr<ClientSession> GetSelf();
  void Submit(const std::shared_ptr<PendingCall>& pending);
  static void Finish(const std::shared_ptr<PendingCall>& pending, Reply reply);

  asio::io_context& m_context;
  bool m_is_connected = false;
  // Calls queued until the connection is established.
  std::vector<std::shared_ptr<PendingCall>> m_unsent_calls;
  // Calls awaiting a reply, by HTTP/2 stream ID.
  std::map<int32_t, std::shared_ptr<PendingCall>> m_submitted_calls;
};

}  // namespace shallotwick::link
