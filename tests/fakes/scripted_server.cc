#include "fakes/scripted_server.h"

#include <cstdlib>
#include <utility>

namespace shallotwick::fakes {
namespace {

constexpr char kHeaderEnd[] = "\r\n\r\n";
constexpr char kLengthHeader[] = "Content-Length: ";

size_t GetContentLength(const std::string& header) {
  const size_t at = header.find(kLengthHeader);
  if (at == std::string::npos) {
    return 0;
  }
  return static_cast<size_t>(
      std::atoll(header.c_str() + at + sizeof(kLengthHeader) - 1));
}

// Reads one request whole; returns an empty text at the connection's end.
std::string ReadRequest(asio::ip::tcp::socket& socket, std::string* buffer) {
  std::error_code error;
  const size_t header = asio::read_until(socket, asio::dynamic_buffer(*buffer),
                                         kHeaderEnd, error);
  if (error) {
    return "";
  }
  const size_t whole = header + GetContentLength(buffer->substr(0, header));
  if (buffer->size() < whole) {
    asio::read(socket, asio::dynamic_buffer(*buffer),
               asio::transfer_exactly(whole - buffer->size()), error);
  }
  if (error) {
    return "";
  }
  std::string request = buffer->substr(0, whole);
  buffer->erase(0, whole);
  return request;
}

}  // namespace

ScriptedServer::ScriptedServer(Script script)
    : m_script(std::move(script)),
      m_acceptor(m_context, asio::ip::tcp::endpoint(
                                asio::ip::make_address("127.0.0.1"), 0)),
      m_port(m_acceptor.local_endpoint().port()),
      m_accept_thread([this] { Accept(); }) {}

ScriptedServer::~ScriptedServer() {
  m_stopping.store(true);
  {
    // Wakes the blocked accept.
    asio::ip::tcp::socket socket(m_context);
    std::error_code ignored;
    socket.connect({asio::ip::make_address("127.0.0.1"), m_port}, ignored);
  }
  m_accept_thread.join();
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& socket : m_sockets) {
      std::error_code ignored;
      socket->shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    }
  }
  for (std::thread& thread : m_threads) {
    thread.join();
  }
}

std::string ScriptedServer::GetUrl(const std::string& path) const {
  return "http://127.0.0.1:" + std::to_string(m_port) + path;
}

std::vector<std::string> ScriptedServer::GetRequests() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_requests;
}

void ScriptedServer::Accept() {
  while (true) {
    asio::ip::tcp::socket socket = m_acceptor.accept();
    if (m_stopping.load()) {
      return;
    }
    const int connection = ++m_connections;
    m_threads.emplace_back(
        [this, connection, socket = std::move(socket)]() mutable {
          Serve(std::move(socket), connection);
        });
  }
}

void ScriptedServer::Serve(asio::ip::tcp::socket socket, int connection) {
  auto shared = std::make_shared<asio::ip::tcp::socket>(std::move(socket));
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_sockets.push_back(shared);
  }
  std::string buffer;
  for (int number = 1;; ++number) {
    const std::string request = ReadRequest(*shared, &buffer);
    if (request.empty()) {
      break;
    }
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      m_requests.push_back(request);
    }
    const ScriptedResponse answer = m_script(connection, number, request);
    if (answer.silent) {
      continue;
    }
    std::error_code error;
    const size_t size = answer.bytes.size();
    for (size_t part = 0; part < answer.parts; ++part) {
      const size_t begin = size * part / answer.parts;
      const size_t end = size * (part + 1) / answer.parts;
      asio::write(*shared,
                  asio::buffer(answer.bytes.data() + begin, end - begin),
                  error);
      std::this_thread::sleep_for(answer.pause);
    }
    if (answer.close) {
      break;
    }
  }
  std::error_code ignored;
  shared->shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
}

std::string MakeAnswer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

}  // namespace shallotwick::fakes
