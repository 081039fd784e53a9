#pragma once

#include <memory>
#include <string>

#include "http/request_sender.h"

namespace shallotwick::http {

// An asynchronous HTTP/1.1 client: libcurl's multi interface driven by Asio, on
// one thread of its own, with its own pool of connections.
class Client : public RequestSender {
 public:
  // `connections_per_host` bounds the open connections to one address.
  explicit Client(int connections_per_host);
  ~Client() override;
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // `on_end` is called on the client's thread.
  void Send(const std::string& url, Request request,
            const TransferOptions& options, OnTransferEnd on_end) override;

 private:
  class Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace shallotwick::http
