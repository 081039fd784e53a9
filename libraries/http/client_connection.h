#pragma once

#include <asio.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "http/response_parser.h"
#include "http/transfer.h"

namespace shallotwick::http {

// One client connection to a server. Carries one request at a time.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(asio::io_context& context,
                   const asio::ip::tcp::endpoint& server);

  // Called when the status line of the response has been received, unless the
  // response is complete by then.
  std::function<void()> m_on_first_byte;
  // Called when the request has ended, with or without a response.
  std::function<void(TransferResult)> m_on_done;
  // Called when the connection closed while it carried no request.
  std::function<void()> m_on_idle_close;

  // Sends a request, after connecting if necessary. It is not sent if the
  // connection is established only after `send_by`.
  void Send(std::string message, bool is_head, size_t largest_body_bytes,
            std::chrono::steady_clock::time_point send_by);
  // Closes the connection and ends the current request with `error`.
  void Abort(const char* error, bool has_first_byte_timed_out);
  // Closes the connection without calling any callback.
  void Close();

  bool IsOpen() const { return m_is_open; }
  bool IsConnected() const { return m_is_connected; }
  // Whether the status line of the response has been received.
  bool HasFirstByte() const;
  // Returns when bytes were last received.
  std::chrono::steady_clock::time_point GetLastReceived() const {
    return m_last_received;
  }
  std::chrono::steady_clock::time_point GetOpenedAt() const {
    return m_opened_at;
  }

 private:
  void OnConnected(const std::error_code& error);
  void Write();
  void WaitForReadable();
  void OnReadable();
  void ProcessBytes(std::string_view bytes);
  void Fail(const std::string& error);
  void Complete(TransferResult result);

  asio::ip::tcp::socket m_socket;
  asio::ip::tcp::endpoint m_server;
  std::chrono::steady_clock::time_point m_opened_at;
  std::chrono::steady_clock::time_point m_send_by;
  std::chrono::steady_clock::time_point m_last_received;
  std::string m_message;
  size_t m_written = 0;
  std::optional<ResponseParser> m_parser;
  bool m_is_open = true;
  bool m_is_connected = false;
};

}  // namespace shallotwick::http
