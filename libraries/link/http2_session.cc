#include "link/http2_session.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <utility>

#include "link/header_fields.h"

namespace shallotwick::link {
namespace {

std::atomic<uint64_t> g_transferred_bytes{0};

constexpr uint32_t kMaxConcurrentStreams = 256;
constexpr uint32_t kFlowControlWindowBytes = size_t{1024} * 1024;
// A write is started once nghttp2 has produced at least this many bytes, or has
// no more to send.
constexpr size_t kWriteChunkBytes = size_t{64} * 1024;

std::string_view ToStringView(const uint8_t* data, size_t length) {
  return {reinterpret_cast<const char*>(data), length};
}

}  // namespace

uint64_t GetLinkBytes() { return g_transferred_bytes.load(); }

Http2Session::Http2Session(asio::ip::tcp::socket socket, bool is_server)
    : m_socket(std::move(socket)) {
  nghttp2_session_callbacks* callbacks = MakeCallbacks();
  if (is_server) {
    nghttp2_session_server_new(&m_session, callbacks, this);
  } else {
    nghttp2_session_client_new(&m_session, callbacks, this);
  }
  nghttp2_session_callbacks_del(callbacks);
  const nghttp2_settings_entry settings[] = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxConcurrentStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kFlowControlWindowBytes}};
  nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings,
                          std::size(settings));
  nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0,
                                        kFlowControlWindowBytes);
}

Http2Session::~Http2Session() { nghttp2_session_del(m_session); }

nghttp2_session_callbacks* Http2Session::MakeCallbacks() {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, &OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &OnData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &OnFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                         &OnStreamClose);
  return callbacks;
}

void Http2Session::Start() {
  std::error_code ignored;
  m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  Flush();
  ReadSome();
}

void Http2Session::Close() {
  if (m_is_closed) {
    return;
  }
  m_is_closed = true;
  std::error_code ignored;
  m_socket.close(ignored);
  OnClosed();
}

Http2Session::Stream* Http2Session::FindStream(int32_t stream_id) {
  const auto found = m_streams.find(stream_id);
  return found == m_streams.end() ? nullptr : found->second.get();
}

Http2Session::Stream& Http2Session::AddStream(int32_t stream_id) {
  auto& stream = m_streams[stream_id];
  if (!stream) {
    stream = std::make_unique<Stream>();
  }
  return *stream;
}

nghttp2_data_provider Http2Session::MakeBodyProvider(Stream* stream) {
  nghttp2_data_provider provider;
  provider.source.ptr = stream;
  provider.read_callback = &ReadBody;
  return provider;
}

ssize_t Http2Session::ReadBody(nghttp2_session* /*session*/,
                               int32_t /*stream_id*/, uint8_t* buffer,
                               size_t length, uint32_t* flags,
                               nghttp2_data_source* source, void* /*self*/) {
  auto* stream = static_cast<Stream*>(source->ptr);
  const size_t bytes =
      std::min(length, stream->outgoing_body.size() - stream->sent_bytes);
  std::copy_n(stream->outgoing_body.data() + stream->sent_bytes, bytes, buffer);
  stream->sent_bytes += bytes;
  if (stream->sent_bytes == stream->outgoing_body.size()) {
    *flags |= NGHTTP2_DATA_FLAG_EOF;
  }
  return static_cast<ssize_t>(bytes);
}

int Http2Session::OnHeader(nghttp2_session* /*session*/,
                           const nghttp2_frame* frame, const uint8_t* name,
                           size_t name_length, const uint8_t* value,
                           size_t value_length, uint8_t /*flags*/, void* self) {
  if (frame->hd.type != NGHTTP2_HEADERS) {
    return 0;
  }
  Stream& stream =
      static_cast<Http2Session*>(self)->AddStream(frame->hd.stream_id);
  const std::string_view header = ToStringView(name, name_length);
  const std::string_view text = ToStringView(value, value_length);
  if (header == ":path") {
    stream.path = text;
  } else if (header == ":status") {
    std::from_chars(text.data(), text.data() + text.size(), stream.status);
  } else if (header == kSystemHeader) {
    stream.identity.system = text;
  } else if (header == kIncarnationHeader) {
    stream.identity.incarnation = text;
  }
  return 0;
}

int Http2Session::OnData(nghttp2_session* session, uint8_t /*flags*/,
                         int32_t stream_id, const uint8_t* data, size_t length,
                         void* self) {
  Stream* stream = static_cast<Http2Session*>(self)->FindStream(stream_id);
  if (stream == nullptr || stream->is_too_large) {
    return 0;
  }
  if (stream->received_body.size() + length > kMaxMessageBytes) {
    stream->is_too_large = true;
    nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, stream_id,
                              NGHTTP2_CANCEL);
    return 0;
  }
  stream->received_body.insert(stream->received_body.end(), data,
                               data + length);
  return 0;
}

int Http2Session::OnFrame(nghttp2_session* /*session*/,
                          const nghttp2_frame* frame, void* self) {
  const bool is_message =
      frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
  if (!is_message || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) {
    return 0;
  }
  auto* http2 = static_cast<Http2Session*>(self);
  Stream* stream = http2->FindStream(frame->hd.stream_id);
  if (stream != nullptr && !stream->is_too_large) {
    http2->OnMessageReceived(frame->hd.stream_id, stream);
  }
  return 0;
}

int Http2Session::OnStreamClose(nghttp2_session* /*session*/, int32_t stream_id,
                                uint32_t /*error*/, void* self) {
  static_cast<Http2Session*>(self)->OnStreamEnded(stream_id);
  return 0;
}

void Http2Session::ReadSome() {
  m_socket.async_read_some(
      asio::buffer(m_read_buffer),
      [self = shared_from_this()](const std::error_code& error, size_t bytes) {
        g_transferred_bytes.fetch_add(bytes);
        if (self->m_is_closed) {
          return;
        }
        if (error ||
            nghttp2_session_mem_recv(self->m_session,
                                     self->m_read_buffer.data(), bytes) < 0) {
          self->Close();
          return;
        }
        self->Flush();
        if (!self->m_is_closed) {
          self->ReadSome();
        }
      });
}

void Http2Session::Flush() {
  if (!m_is_writing && !m_is_closed) {
    WriteSome();
  }
}

void Http2Session::WriteSome() {
  m_write_buffer.clear();
  while (m_write_buffer.size() < kWriteChunkBytes) {
    const uint8_t* data = nullptr;
    const ssize_t length = nghttp2_session_mem_send(m_session, &data);
    if (length < 0) {
      Close();
      return;
    }
    if (length == 0) {
      break;
    }
    m_write_buffer.append(ToStringView(data, static_cast<size_t>(length)));
  }
  if (m_write_buffer.empty()) {
    return;
  }
  m_is_writing = true;
  asio::async_write(
      m_socket, asio::buffer(m_write_buffer),
      [self = shared_from_this()](const std::error_code& error, size_t bytes) {
        g_transferred_bytes.fetch_add(bytes);
        self->m_is_writing = false;
        if (self->m_is_closed) {
          return;
        }
        if (error) {
          self->Close();
          return;
        }
        self->WriteSome();
      });
}

}  // namespace shallotwick::link
