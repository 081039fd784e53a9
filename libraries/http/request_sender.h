#pragma once

#include <string>

#include "http/transfer.h"

namespace shallotwick::http {

// Sends requests to other processes.
class RequestSender {
 public:
  virtual ~RequestSender() = default;

  // Starts a request to `url`. `on_end` is called once, never from within Send.
  virtual void Send(const std::string& url, Request request,
                    const TransferOptions& options, OnTransferEnd on_end) = 0;
};

}  // namespace shallotwick::http
