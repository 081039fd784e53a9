#pragma once

#include <string>

#include "http/transfer.h"

namespace shallotwick::http {

// Sends one request and blocks until it has ended. Each thread has its own pool
// of connections.
TransferResult SendAndWait(const std::string& url, Request request,
                           const TransferOptions& options = {});

}  // namespace shallotwick::http
