#include "keep_alive_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

#include "http/response_parser.h"

namespace shallotwick::soak {

KeepAliveConnection::KeepAliveConnection(std::string address)
    : m_address(std::move(address)) {}

KeepAliveConnection::~KeepAliveConnection() { Close(); }

bool KeepAliveConnection::Open() {
  if (m_socket >= 0) {
    return true;
  }
  const size_t colon = m_address.rfind(':');
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_port =
      htons(static_cast<uint16_t>(std::stoi(m_address.substr(colon + 1))));
  inet_pton(AF_INET, m_address.substr(0, colon).c_str(), &peer.sin_addr);
  m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
  const auto* name = reinterpret_cast<const sockaddr*>(&peer);
  if (connect(m_socket, name, sizeof(peer)) != 0) {
    Close();
    return false;
  }
  return true;
}

void KeepAliveConnection::Close() {
  if (m_socket >= 0) {
    close(m_socket);
    m_socket = -1;
  }
}

KeepAliveConnection::Result KeepAliveConnection::Call(
    const std::string& method, const std::string& path, const std::string& body,
    std::chrono::milliseconds timeout, const http::Headers& headers) {
  Result result;
  if (!Open()) {
    return result;
  }
  std::string request = method + " " + path +
                        " HTTP/1.1\r\nHost: " + m_address +
                        "\r\nContent-Type: application/json\r\n"
                        "Content-Length: " +
                        std::to_string(body.size()) + "\r\n";
  for (const auto& [name, value] : headers) {
    request += name + ": " + value + "\r\n";
  }
  request += "\r\n" + body;
  result.outcome = Outcome::kUnknown;
  if (send(m_socket, request.data(), request.size(), MSG_NOSIGNAL) !=
      static_cast<ssize_t>(request.size())) {
    Close();
    return result;
  }
  const auto end = std::chrono::steady_clock::now() + timeout;
  http::ResponseParser parser(false, 1'000'000);
  std::array<char, 8'192> buffer{};
  while (true) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        end - std::chrono::steady_clock::now());
    pollfd waiting{m_socket, POLLIN, 0};
    if (left.count() <= 0 ||
        poll(&waiting, 1, static_cast<int>(left.count())) == 0) {
      result.has_timed_out = true;
      Close();
      return result;
    }
    const ssize_t size = recv(m_socket, buffer.data(), buffer.size(), 0);
    const auto progress =
        size <= 0 ? http::ResponseParser::Progress::kInvalid
                  : parser.Parse({buffer.data(), static_cast<size_t>(size)});
    if (progress == http::ResponseParser::Progress::kInvalid) {
      Close();
      return result;
    }
    if (progress == http::ResponseParser::Progress::kFinished) {
      result.outcome = Outcome::kComplete;
      result.response = parser.ExtractResponse();
      if (!parser.CanReuseConnection()) {
        Close();
      }
      return result;
    }
  }
}

}  // namespace shallotwick::soak
