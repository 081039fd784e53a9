#include "executor_connection.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <utility>

namespace shallotwick::standin {
namespace {

constexpr char kHeaderEnd[] = "\r\n\r\n";
constexpr int kDefaultWorkMilliseconds = 2;

std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

// A sum that shows a mixed-up or cut body.
uint32_t Checksum(const std::string& text) {
  uint32_t sum = 2166136261U;
  for (unsigned char byte : text) {
    sum = (sum ^ byte) * 16777619U;
  }
  return sum;
}

}  // namespace

ExecutorConnection::ExecutorConnection(asio::ip::tcp::socket socket,
                                       ExecutorHost& host)
    : m_socket(std::move(socket)),
      m_host(host),
      m_timer(m_socket.get_executor()) {}

void ExecutorConnection::Start() {
  std::error_code ignored;
  m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  ReadHeader();
}

void ExecutorConnection::Close() {
  if (m_closed) {
    return;
  }
  m_closed = true;
  m_timer.cancel();
  std::error_code ignored;
  m_socket.close(ignored);
}

void ExecutorConnection::ReadHeader() {
  asio::async_read_until(
      m_socket, asio::dynamic_buffer(m_buffer), kHeaderEnd,
      [self = shared_from_this()](const std::error_code& error, size_t length) {
        if (self->m_closed || self->m_silent) {
          return;
        }
        if (error) {
          self->m_host.Forget(self);
          self->Close();
          return;
        }
        self->ParseHeader(self->m_buffer.substr(0, length));
        self->m_buffer.erase(0, length);
        const auto expected = static_cast<size_t>(
            std::atoll(self->GetHeader("content-length").c_str()));
        const size_t there = std::min(expected, self->m_buffer.size());
        self->m_body = self->m_buffer.substr(0, there);
        self->m_buffer.erase(0, there);
        self->ReadBody(expected - there);
      });
}

void ExecutorConnection::ParseHeader(const std::string& text) {
  std::istringstream lines(text);
  std::string line;
  std::getline(lines, line);
  std::istringstream(line) >> m_method >> m_path;
  m_headers.clear();
  while (std::getline(lines, line)) {
    const size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    const size_t begin = line.find_first_not_of(' ', colon + 1);
    const size_t end = line.find_last_not_of("\r ");
    m_headers[ToLower(line.substr(0, colon))] =
        begin == std::string::npos || end < begin
            ? ""
            : line.substr(begin, end - begin + 1);
  }
}

std::string ExecutorConnection::GetHeader(const std::string& name) const {
  const auto found = m_headers.find(name);
  return found == m_headers.end() ? "" : found->second;
}

void ExecutorConnection::ReadBody(size_t missing) {
  if (missing == 0) {
    Run();
    return;
  }
  const size_t have = m_body.size();
  m_body.resize(have + missing);
  asio::async_read(
      m_socket, asio::buffer(m_body.data() + have, missing),
      [self = shared_from_this()](const std::error_code& error, size_t) {
        if (self->m_closed || self->m_silent) {
          return;
        }
        if (error) {
          self->m_host.Forget(self);
          self->Close();
          return;
        }
        self->Run();
      });
}

void ExecutorConnection::Run() {
  ++m_requests;
  if (m_host.IsLeaving()) {
    Answer(503, "Shallotwick-Refused: leaving\r\n", "");
    return;
  }
  if (!m_host.TryStart(GetHeader("standin-request"))) {
    Answer(503, "Shallotwick-Refused: no-slot\r\n", "");
    return;
  }
  m_running = true;
  const bool closes_now =
      m_host.GetFault() == ExecutorFault::kCloseOnSecond && m_requests >= 2;
  if (closes_now) {
    m_host.End(GetHeader("standin-request"));
    m_host.Forget(shared_from_this());
    Close();
    return;
  }
  const std::string work = GetHeader("standin-work-ms");
  m_timer.expires_after(std::chrono::milliseconds(
      work.empty() ? kDefaultWorkMilliseconds : std::atoi(work.c_str())));
  m_timer.async_wait([self = shared_from_this()](const std::error_code& error) {
    if (!error && !self->m_closed) {
      self->Finish();
    }
  });
}

void ExecutorConnection::Finish() {
  m_running = false;
  const std::string request = GetHeader("standin-request");
  m_host.End(request);
  const auto size = static_cast<size_t>(
      std::atoll(GetHeader("standin-answer-bytes").c_str()));
  std::string content = m_method + " " + m_path + " " + request + " " + m_body;
  if (content.size() < size) {
    content.append(size - content.size(), '.');
  }
  Answer(
      200,
      "Standin-Request: " + request + "\r\nStandin-Host: " + m_host.GetName() +
          "\r\nStandin-Checksum: " + std::to_string(Checksum(content)) + "\r\n",
      content);
}

void ExecutorConnection::Answer(int status, const std::string& extra_headers,
                                const std::string& body) {
  if (m_silent) {
    return;
  }
  const std::string head =
      "HTTP/1.1 " + std::to_string(status) + " Answer\r\n" + extra_headers;
  const std::string length =
      "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  switch (status == 200 ? m_host.GetFault() : ExecutorFault::kNone) {
    case ExecutorFault::kNone:
    case ExecutorFault::kCloseOnSecond:
      Write(head + length + (m_method == "HEAD" ? "" : body), false);
      return;
    case ExecutorFault::kShortBody:
      Write(head + length + body.substr(0, body.size() / 2), true);
      return;
    case ExecutorFault::kBrokenChunks:
      Write(head + "Transfer-Encoding: chunked\r\n\r\n" + "4\r\n" +
                body.substr(0, 4) + "\r\nzz",
            true);
      return;
    case ExecutorFault::kCloseAfterRun:
      m_host.Forget(shared_from_this());
      Close();
      return;
  }
}

void ExecutorConnection::Write(std::string text, bool close) {
  m_output = std::move(text);
  asio::async_write(
      m_socket, asio::buffer(m_output),
      [self = shared_from_this(), close](const std::error_code& error, size_t) {
        if (self->m_closed) {
          return;
        }
        if (error || close) {
          self->m_host.Forget(self);
          self->Close();
          return;
        }
        self->ReadHeader();
      });
}

}  // namespace shallotwick::standin
