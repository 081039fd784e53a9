#include "link/client_session.h"

#include <string>
#include <utility>

#include "link/header_fields.h"

namespace shallotwick::link {
namespace {

ReplyStatus ToReplyStatus(int http_status) {
  const std::string status = std::to_string(http_status);
  if (status == kStatusOk) {
    return ReplyStatus::kOk;
  }
  return status == kStatusMisdirected ? ReplyStatus::kMisdirected
                                      : ReplyStatus::kRefused;
}

}  // namespace

ClientSession::ClientSession(asio::io_context& context)
    : Http2Session(asio::ip::tcp::socket(context), false), m_context(context) {}

std::shared_ptr<ClientSession> ClientSession::GetSelf() {
  return std::static_pointer_cast<ClientSession>(shared_from_this());
}

void ClientSession::Connect(const base::Endpoint& server) {
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(server.host),
                                         server.port);
  GetSocket().async_connect(
      endpoint, [self = GetSelf()](const std::error_code& error) {
        if (self->IsClosed()) {
          return;
        }
        if (error) {
          self->Close();
          return;
        }
        self->m_is_connected = true;
        self->Start();
        const auto unsent = std::exchange(self->m_unsent_calls, {});
        for (const auto& pending : unsent) {
          self->Submit(pending);
        }
      });
}

void ClientSession::Send(Call call, std::chrono::milliseconds timeout,
                         OnReply on_reply) {
  auto pending = std::make_shared<PendingCall>();
  pending->call = std::move(call);
  pending->on_reply = std::move(on_reply);
  pending->timer = std::make_unique<Timer>(m_context);
  pending->timer->expires_after(timeout);
  pending->timer->async_wait([self = GetSelf()](const std::error_code& error) {
    if (!error) {
      self->Close();
    }
  });
  if (m_is_connected) {
    Submit(pending);
  } else {
    m_unsent_calls.push_back(std::move(pending));
  }
}

void ClientSession::Submit(const std::shared_ptr<PendingCall>& pending) {
  auto stream = std::make_unique<Stream>();
  stream->outgoing_body = std::move(pending->call.body);
  const std::string path = pending->call.path;
  std::vector<nghttp2_nv> headers = {MakeHeaderField(":method", kMethod),
                                     MakeHeaderField(":scheme", kScheme),
                                     MakeHeaderField(":authority", kAuthority),
                                     MakeHeaderField(":path", path)};
  AppendIdentity(pending->call.recipient, &headers);
  const nghttp2_data_provider body = MakeBodyProvider(stream.get());
  const int32_t stream_id = nghttp2_submit_request(
      GetSession(), nullptr, headers.data(), headers.size(), &body, nullptr);
  if (stream_id < 0) {
    Finish(pending, Reply{ReplyStatus::kUnreachable, {}});
    return;
  }
  AdoptStream(stream_id, std::move(stream));
  m_submitted_calls[stream_id] = pending;
  Flush();
}

void ClientSession::OnMessageReceived(int32_t stream_id, Stream* stream) {
  const auto found = m_submitted_calls.find(stream_id);
  if (found == m_submitted_calls.end()) {
    return;
  }
  const auto pending = found->second;
  m_submitted_calls.erase(found);
  Finish(pending,
         Reply{ToReplyStatus(stream->status), std::move(stream->received_body),
               std::move(stream->identity)});
}

void ClientSession::OnStreamEnded(int32_t stream_id) {
  RemoveStream(stream_id);
  const auto found = m_submitted_calls.find(stream_id);
  if (found == m_submitted_calls.end()) {
    return;
  }
  const auto pending = found->second;
  m_submitted_calls.erase(found);
  Finish(pending, Reply{ReplyStatus::kUnreachable, {}});
}

void ClientSession::OnClosed() {
  const auto unsent = std::exchange(m_unsent_calls, {});
  const auto submitted = std::exchange(m_submitted_calls, {});
  for (const auto& call : unsent) {
    Finish(call, Reply{ReplyStatus::kUnreachable, {}});
  }
  for (const auto& [stream_id, call] : submitted) {
    Finish(call, Reply{ReplyStatus::kUnreachable, {}});
  }
}

void ClientSession::Finish(const std::shared_ptr<PendingCall>& pending,
                           Reply reply) {
  pending->timer->cancel();
  const OnReply on_reply = std::exchange(pending->on_reply, nullptr);
  if (on_reply) {
    on_reply(std::move(reply));
  }
}

}  // namespace shallotwick::link
