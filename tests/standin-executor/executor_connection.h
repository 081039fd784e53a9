#pragma once

#include <asio.hpp>
#include <map>
#include <memory>
#include <string>

#include "executor_host.h"

namespace shallotwick::standin {

// One connection to an executor. Speaks as much HTTP/1.1 as tests need, by
// hand: a library would not send the broken answers.
class ExecutorConnection
    : public std::enable_shared_from_this<ExecutorConnection> {
 public:
  ExecutorConnection(asio::ip::tcp::socket socket, ExecutorHost& host);

  void Start();
  void Close();
  void Silence() { m_silent = true; }

 private:
  void ReadHeader();
  void ReadBody(size_t missing);
  void ParseHeader(const std::string& text);
  std::string GetHeader(const std::string& name) const;
  void Run();
  void Finish();
  void Answer(int status, const std::string& extra_headers,
              const std::string& body);
  void Write(std::string text, bool close);

  asio::ip::tcp::socket m_socket;
  ExecutorHost& m_host;
  asio::steady_timer m_timer;
  std::string m_buffer;
  std::string m_method;
  std::string m_path;
  std::map<std::string, std::string> m_headers;
  std::string m_body;
  std::string m_output;
  int m_requests = 0;
  bool m_silent = false;
  bool m_closed = false;
  bool m_running = false;
};

}  // namespace shallotwick::standin
