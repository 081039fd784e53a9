#include "link/server_session.h"

#include <string>
#include <utility>

#include "link/header_fields.h"

namespace shallotwick::link {
namespace {

std::string ToHttpStatus(ReplyStatus status) {
  if (status == ReplyStatus::kOk) {
    return kStatusOk;
  }
  return status == ReplyStatus::kMisdirected ? kStatusMisdirected
                                             : kStatusRefused;
}

}  // namespace

ServerSession::ServerSession(asio::ip::tcp::socket socket, CallHandler handler,
                             std::function<void()> on_closed)
    : Http2Session(std::move(socket), true),
      m_handler(std::move(handler)),
      m_on_closed(std::move(on_closed)) {}

void ServerSession::OnMessageReceived(int32_t stream_id, Stream* stream) {
  std::weak_ptr<Http2Session> weak = weak_from_this();
  Call call{stream->path, std::move(stream->received_body), stream->identity};
  m_handler(std::move(call), [weak, stream_id](Reply reply) {
    if (const auto session = weak.lock()) {
      static_cast<ServerSession*>(session.get())
          ->SendReply(stream_id, std::move(reply));
    }
  });
}

void ServerSession::SendReply(int32_t stream_id, Reply reply) {
  Stream* stream = FindStream(stream_id);
  if (stream == nullptr || IsClosed()) {
    return;
  }
  stream->outgoing_body = std::move(reply.body);
  const std::string status = ToHttpStatus(reply.status);
  std::vector<nghttp2_nv> headers = {MakeHeaderField(":status", status)};
  AppendIdentity(reply.sender, &headers);
  const nghttp2_data_provider body = MakeBodyProvider(stream);
  nghttp2_submit_response(GetSession(), stream_id, headers.data(),
                          headers.size(), &body);
  Flush();
}

void ServerSession::OnStreamEnded(int32_t stream_id) {
  RemoveStream(stream_id);
}

void ServerSession::OnClosed() { m_on_closed(); }

}  // namespace shallotwick::link
