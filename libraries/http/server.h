#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include "base/runtime_clock.h"
#include "base/settings.h"
#include "http/message.h"

namespace shallotwick::http {

// Responds to one request. Only the first call has an effect. May be called
// from any thread and may outlive the handler and the server.
using Respond = std::function<void(Response)>;
using Handler = std::function<void(Request, Respond)>;

struct ServerOptions {
  base::Endpoint listen;
  int threads = 2;
  size_t largest_body_bytes = size_t{8} * 1024 * 1024;
  // A connection is closed if its request has not been responded to within this
  // time, or if writing the response takes longer.
  std::chrono::milliseconds handling_timeout{60'000};
  // Maximum time to wait for the next request on a connection.
  std::chrono::milliseconds keep_alive_timeout{60'000};
};

// An HTTP/1.1 server that runs on a pool of threads.
class Server {
 public:
  // Starts listening. Throws std::runtime_error if the address cannot be bound.
  Server(const ServerOptions& options, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Returns the actual port, also if the options specified port 0.
  uint16_t GetPort() const;

  // Returns the number of requests that were passed to the handler and have not
  // been responded to.
  int64_t GetUnansweredCount() const;

  // Makes all further responses ask the client to close its connection.
  void CloseConnectionsAfterAnswers();

  // Aborts the remaining connections and waits for all threads to exit.
  void Stop();

 private:
  class Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace shallotwick::http
