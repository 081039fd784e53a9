#pragma once

#include <string>

#include "http/transfer.h"

namespace shallotwick::http {

// Sends HTTP requests to other processes.
class RequestSender {
 public:
  virtual ~RequestSender() = default;

  // Starts a request to `url`. Calls `on_done` once, never from within Send().
  virtual void Send(const std::string& url, Request request,
                    const TransferOptions& options, OnTransferEnd on_done) = 0;
};

}  // namespace shallotwick::http
