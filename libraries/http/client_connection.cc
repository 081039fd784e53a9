#include "http/client_connection.h"

#include <array>
#include <utility>

namespace shallotwick::http {
namespace {

constexpr size_t kReadBytes = size_t{16} * 1024;

}  // namespace

ClientConnection::ClientConnection(asio::io_context& context,
                                   const asio::ip::tcp::endpoint& server)
    : m_socket(context),
      m_server(server),
      m_opened(std::chrono::steady_clock::now()) {}

void ClientConnection::Send(std::string message, bool is_head,
                            size_t largest_body_bytes) {
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
  std::error_code ignored;
  // Without it an answer is late, but whole.
  m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  m_socket.non_blocking(true);
  m_is_connected = true;
  WaitForBytes();
  Write();
}

// Tries at once: the socket has room for a request nearly always.
void ClientConnection::Write() {
  std::error_code error;
  m_written += m_socket.write_some(
      asio::buffer(m_message.data() + m_written, m_message.size() - m_written),
      error);
  if (error && error != asio::error::would_block) {
    // An answer may have come before the connection ended; reading tells.
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

void ClientConnection::WaitForBytes() {
  m_socket.async_wait(
      asio::ip::tcp::socket::wait_read,
      [self = shared_from_this()](const std::error_code& error) {
        if (!error && self->m_is_open) {
          self->OnReadable();
        }
      });
}

void ClientConnection::OnReadable() {
  std::array<char, kReadBytes> buffer;
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
    OnBytes({buffer.data(), count});
  } while (m_is_open && count == buffer.size());
  if (m_is_open) {
    WaitForBytes();
  }
}

void ClientConnection::OnBytes(std::string_view bytes) {
  if (!m_parser) {
    Fail("bytes without a request");
    return;
  }
  const bool had_first_byte = m_parser->HasStatusLine();
  switch (m_parser->Take(bytes)) {
    case ResponseParser::Progress::kPartial:
      if (!had_first_byte && m_parser->HasStatusLine()) {
        m_on_first_byte();
      }
      return;
    case ResponseParser::Progress::kBroken:
      Fail("the answer is broken or too large");
      return;
    case ResponseParser::Progress::kWhole:
      break;
  }
  TransferResult result;
  result.outcome = TransferOutcome::kComplete;
  result.response = m_parser->TakeResponse();
  // A server may answer before it has read the whole request.
  if (!m_parser->MayReuseConnection() || m_written < m_message.size()) {
    Close();
  }
  End(std::move(result));
}

bool ClientConnection::HasFirstByte() const {
  return m_parser && m_parser->HasStatusLine();
}

void ClientConnection::Abort(const char* error, bool is_first_byte_late) {
  TransferResult result;
  result.outcome =
      m_written == 0 ? TransferOutcome::kNotSent : TransferOutcome::kUnknown;
  result.error = error;
  result.first_byte_timed_out = is_first_byte_late;
  Close();
  End(std::move(result));
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

void ClientConnection::End(TransferResult result) {
  m_parser.reset();
  // The connection may be given another request from within the call.
  const auto on_end = std::exchange(m_on_end, nullptr);
  on_end(std::move(result));
}

void ClientConnection::Close() {
  m_is_open = false;
  std::error_code ignored;
  // Nothing depends on how the closing goes.
  m_socket.close(ignored);
}

}  // namespace shallotwick::http
