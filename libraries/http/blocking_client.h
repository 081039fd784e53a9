#pragma once

#include <string>

#include "http/transfer.h"

namespace shallotwick::http {

// Sends one request and waits for its end. Each thread keeps its own pool of
// connections.
TransferResult SendAndWait(const std::string& url, Request request,
                           const TransferOptions& options = {});

}  // namespace shallotwick::http
