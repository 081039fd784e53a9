#include "http/client_connection.h"

#include <array>
#include <utility>

namespace shallotwick::http {
namespace {

constexpr size_t kReadBufferBytes = size_t{16} * 1024;

}  // namespace

ClientConnection::ClientConnection(asio::io_context& context,
                                   const asio::ip::tcp::endpoint& server)
    : m_socket(context),
      m_server(server),
      m_opened_at(std::chrono::steady_clock::now()) {}

void ClientConnection::Send(std::string message, bool is_head,
                            size_t largest_body_bytes,
                            std::chrono::steady_clock::time_point send_by) {
  m_send_by = send_by;
  m_message = std::move(message);
  m_written = 0;
  m_parser.emplace(is_head, largest_body_bytes);
  if (m_is_connected) {
    Write();
    return;
  }
  m_socket.async_connect(
      m_server, [self = shared_from_this()](const std::error_code& error) {
        self->OnConnected(error);
      });
}

void ClientConnection::OnConnected(const std::error_code& error) {
  if (!m_is_open) {
    return;
  }
  if (error) {
    Fail(error.message());
    return;
  }
  // The process may have been suspended, and its caller has given up by now.
  if (std::chrono::steady_clock::now() >= m_send_by) {
    Fail("connected too late");
    return;
  }
  std::error_code ignored;
  // A failure is harmless: without TCP_NODELAY, data may be delayed but is not
  // lost.
  m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  m_socket.non_blocking(true);
  m_is_connected = true;
  WaitForReadable();
  Write();
}

// Writes without waiting for the socket first, because its send buffer nearly
// always has room for a whole request.
void ClientConnection::Write() {
  std::error_code error;
  m_written += m_socket.write_some(
      asio::buffer(m_message.data() + m_written, m_message.size() - m_written),
      error);
  if (error && error != asio::error::would_block) {
    // The server may have sent a response before it closed the connection; the
    // read path reports either the response or the error.
    return;
  }
  if (m_written == m_message.size()) {
    return;
  }
  m_socket.async_wait(
      asio::ip::tcp::socket::wait_write,
      [self = shared_from_this()](const std::error_code& failure) {
        if (!failure && self->m_is_open && self->m_parser) {
          self->Write();
        }
      });
}

void ClientConnection::WaitForReadable() {
  m_socket.async_wait(
      asio::ip::tcp::socket::wait_read,
      [self = shared_from_this()](const std::error_code& error) {
        if (!error && self->m_is_open) {
          self->OnReadable();
        }
      });
}

void ClientConnection::OnReadable() {
  std::array<char, kReadBufferBytes> buffer;
  size_t count = 0;
  do {
    std::error_code error;
    count = m_socket.read_some(asio::buffer(buffer), error);
    if (error == asio::error::would_block) {
      break;
    }
    if (error) {
      Fail(error.message());
      return;
    }
    ProcessBytes({buffer.data(), count});
  } while (m_is_open && count == buffer.size());
  if (m_is_open) {
    WaitForReadable();
  }
}

void ClientConnection::ProcessBytes(std::string_view bytes) {
  if (!m_parser) {
    Fail("received data without a pending request");
    return;
  }
  m_last_received = std::chrono::steady_clock::now();
  const bool had_first_byte = m_parser->HasStatusLine();
  switch (m_parser->Parse(bytes)) {
    case ResponseParser::Progress::kIncomplete:
      if (!had_first_byte && m_parser->HasStatusLine()) {
        m_on_first_byte();
      }
      return;
    case ResponseParser::Progress::kInvalid:
      Fail("response is malformed or too large");
      return;
    case ResponseParser::Progress::kFinished:
      break;
  }
  TransferResult result;
  result.outcome = TransferOutcome::kComplete;
  result.response = m_parser->ExtractResponse();
  // A server may respond before it has read the whole request. The connection
  // cannot be reused then, because the request was not sent in full.
  if (!m_parser->CanReuseConnection() || m_written < m_message.size()) {
    Close();
  }
  Complete(std::move(result));
}

bool ClientConnection::HasFirstByte() const {
  return m_parser && m_parser->HasStatusLine();
}

void ClientConnection::Abort(const char* error, bool has_first_byte_timed_out) {
  TransferResult result;
  result.outcome =
      m_written == 0 ? TransferOutcome::kNotSent : TransferOutcome::kUnknown;
  result.error = error;
  result.first_byte_timed_out = has_first_byte_timed_out;
  Close();
  Complete(std::move(result));
}

void ClientConnection::Fail(const std::string& error) {
  if (!m_parser) {
    Close();
    const auto on_idle_close = std::exchange(m_on_idle_close, nullptr);
    on_idle_close();
    return;
  }
  Abort(error.c_str(), false);
}

void ClientConnection::Complete(TransferResult result) {
  m_parser.reset();
  // The callback may send another request on this connection.
  const auto on_done = std::exchange(m_on_done, nullptr);
  on_done(std::move(result));
}

void ClientConnection::Close() {
  m_is_open = false;
  std::error_code ignored;
  // The result of the close does not matter.
  m_socket.close(ignored);
}

}  // namespace shallotwick::http
