#pragma once

#include <memory>
#include <string>

#include "http/request_sender.h"

namespace shallotwick::http {

// An asynchronous HTTP/1.1 client that drives libcurl's multi interface with
// Asio on a dedicated thread. Each client has its own pool of connections.
class Client : public RequestSender {
 public:
  // `connections_per_server` is the maximum number of open connections to one
  // address.
  explicit Client(int connections_per_server);
  ~Client() override;
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Calls `on_done` on the client's thread.
  void Send(const std::string& url, Request request,
            const TransferOptions& options, OnTransferEnd on_done) override;

 private:
  class Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace shallotwick::http
