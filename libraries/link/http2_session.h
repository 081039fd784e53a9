#pragma once

#include <nghttp2/nghttp2.h>

#include <array>
#include <asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "link/message.h"

namespace shallotwick::link {

// One nghttp2 session over one TCP connection; the common base of the client
// and server sessions. Must be used on one Asio thread only. Pending socket
// operations hold a reference, which keeps a session alive while its socket is
// open.
class Http2Session : public std::enable_shared_from_this<Http2Session> {
 public:
  virtual ~Http2Session();
  Http2Session(const Http2Session&) = delete;
  Http2Session& operator=(const Http2Session&) = delete;

  // Starts reading and writing. The socket must be connected.
  void Start();
  // Closes the connection and calls OnClosed(). Pending calls of a client
  // complete as kUnreachable.
  void Close();
  bool IsClosed() const { return m_is_closed; }

 protected:
  struct Stream {
    std::string path;
    int status = 0;
    // The identity that the received headers name.
    Identity identity;
    Bytes received_body;
    Bytes outgoing_body;
    // Bytes of `outgoing_body` that have been passed to nghttp2.
    size_t sent_bytes = 0;
    // The received body exceeded kMaxMessageBytes; the stream has been reset.
    bool is_too_large = false;
  };

  Http2Session(asio::ip::tcp::socket socket, bool is_server);

  // Called when a complete message has been received on a stream.
  virtual void OnMessageReceived(int32_t stream_id, Stream* stream) = 0;
  // Called when nghttp2 has closed a stream, whether or not a message has been
  // received on it.
  virtual void OnStreamEnded(int32_t stream_id) = 0;
  // Called once, when the connection is closed.
  virtual void OnClosed() = 0;

  // Returns a provider from which nghttp2 reads the body of an outgoing
  // message. `stream` must outlive the HTTP/2 stream.
  static nghttp2_data_provider MakeBodyProvider(Stream* stream);
  // Writes pending nghttp2 output to the socket, unless a write is in progress.
  void Flush();

  asio::ip::tcp::socket& GetSocket() { return m_socket; }
  nghttp2_session* GetSession() { return m_session; }
  Stream* FindStream(int32_t stream_id);
  Stream& AddStream(int32_t stream_id);
  void AdoptStream(int32_t stream_id, std::unique_ptr<Stream> stream) {
    m_streams[stream_id] = std::move(stream);
  }
  void RemoveStream(int32_t stream_id) { m_streams.erase(stream_id); }

 private:
  static nghttp2_session_callbacks* MakeCallbacks();
  static int OnHeader(nghttp2_session* session, const nghttp2_frame* frame,
                      const uint8_t* name, size_t name_length,
                      const uint8_t* value, size_t value_length, uint8_t flags,
                      void* self);
  static int OnData(nghttp2_session* session, uint8_t flags, int32_t stream_id,
                    const uint8_t* data, size_t length, void* self);
  static int OnFrame(nghttp2_session* session, const nghttp2_frame* frame,
                     void* self);
  static int OnStreamClose(nghttp2_session* session, int32_t stream_id,
                           uint32_t error, void* self);
  static ssize_t ReadBody(nghttp2_session* session, int32_t stream_id,
                          uint8_t* buffer, size_t length, uint32_t* flags,
                          nghttp2_data_source* source, void* self);

  void ReadSome();
  void WriteSome();

  asio::ip::tcp::socket m_socket;
  nghttp2_session* m_session = nullptr;
  std::map<int32_t, std::unique_ptr<Stream>> m_streams;
  std::array<uint8_t, size_t{16} * 1024> m_read_buffer;
  std::string m_write_buffer;
  bool m_is_writing = false;
  bool m_is_closed = false;
};

}  // namespace shallotwick::link
