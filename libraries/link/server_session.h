#pragma once

#include <functional>
#include <memory>

#include "link/http2_session.h"

namespace shallotwick::link {

// Server side of one connection. Passes each complete message to the handler as
// a call and sends its reply on the same stream.
class ServerSession : public Http2Session {
 public:
  ServerSession(asio::ip::tcp::socket socket, CallHandler handler,
                std::function<void()> on_closed);

 private:
  void OnMessageReceived(int32_t stream_id, Stream* stream) override;
  void OnStreamEnded(int32_t stream_id) override;
  void OnClosed() override;

  void SendReply(int32_t stream_id, Reply reply);

  CallHandler m_handler;
  std::function<void()> m_on_closed;
};

}  // namespace shallotwick::link
