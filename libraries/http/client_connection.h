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

// One connection to a server, which carries one request at a time.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(asio::io_context& context,
                   const asio::ip::tcp::endpoint& server);

  // The answer's first bytes have come.
  std::function<void()> m_on_first_byte;
  // The request has ended: with its answer, or without one.
  std::function<void(TransferResult)> m_on_end;
  // It closed while it carried no request.
  std::function<void()> m_on_idle_close;

  // Sends a request, as soon as the connection is there.
  void Send(std::string message, bool is_head, size_t largest_body_bytes);
  // Ends the request that is under way; the connection is closed.
  void Abort(const char* error, bool is_first_byte_late);
  // Drops the request that is under way and calls nobody.
  void Close();

  bool IsOpen() const { return m_is_open; }
  bool IsConnected() const { return m_is_connected; }
  bool HasFirstByte() const;
  std::chrono::steady_clock::time_point GetOpened() const { return m_opened; }

 private:
  void OnConnected(const std::error_code& error);
  void Write();
  void WaitForBytes();
  void OnReadable();
  void OnBytes(std::string_view bytes);
  void Fail(const std::string& error);
  void End(TransferResult result);

  asio::ip::tcp::socket m_socket;
  asio::ip::tcp::endpoint m_server;
  std::chrono::steady_clock::time_point m_opened;
  std::string m_message;
  size_t m_written = 0;
  std::optional<ResponseParser> m_parser;
  bool m_is_open = true;
  bool m_is_connected = false;
};

}  // namespace shallotwick::http
