#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "http/message.h"

namespace shallotwick::soak {

// A caller's connection to one process, which stays open until the peer closes
// it.
class KeepAliveConnection {
 public:
  enum class Outcome { kComplete, kNotSent, kUnknown };
  struct Result {
    Outcome outcome = Outcome::kNotSent;
    http::Response response;
    // The peer neither answered nor closed the connection.
    bool has_timed_out = false;
  };

  explicit KeepAliveConnection(std::string address);
  ~KeepAliveConnection();
  KeepAliveConnection(const KeepAliveConnection&) = delete;
  KeepAliveConnection& operator=(const KeepAliveConnection&) = delete;

  Result Call(const std::string& method, const std::string& path,
              const std::string& body, std::chrono::milliseconds timeout,
              const http::Headers& headers = {});
  const std::string& GetAddress() const { return m_address; }

 private:
  bool Open();
  void Close();

  std::string m_address;
  int m_socket = -1;
};

}  // namespace shallotwick::soak
