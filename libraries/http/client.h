#pragma once

#include <memory>
#include <string>

#include "http/request_sender.h"

namespace asio {
class io_context;
}  // namespace asio

namespace shallotwick::http {

// An asynchronous HTTP/1.1 client: libcurl's multi interface driven by Asio,
// with its own pool of connections.
class Client : public RequestSender {
 public:
  // `connections_per_host` bounds the open connections to one address.
  // Runs on a thread of its own, on which `on_end` is called.
  explicit Client(int connections_per_host);
  // Runs on the one thread that runs `context`; Send is called there too.
  // `context` must outlive the client.
  Client(asio::io_context& context, int connections_per_host);
  ~Client() override;
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  void Send(const std::string& url, Request request,
            const TransferOptions& options, OnTransferEnd on_end) override;

 private:
  class Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace shallotwick::http
