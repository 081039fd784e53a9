#pragma once

#include <chrono>
#include <compare>
#include <functional>
#include <string>

#include "http/message.h"

namespace shallotwick::http {

// How a request to another process ended.
enum class TransferOutcome {
  // The whole answer is there.
  kComplete,
  // No byte of the request left this process.
  kNotSent,
  // Bytes were sent and no whole answer came: it may have run or not.
  kUnknown,
};

struct TransferResult {
  TransferOutcome outcome = TransferOutcome::kNotSent;
  Response response;
  // What went wrong, where the outcome is not kComplete.
  std::string error;
  // No first byte of an answer came within its bound.
  bool first_byte_timed_out = false;

  auto operator<=>(const TransferResult&) const = default;
};

struct TransferOptions {
  // For a call to which the server may wait `wait` on purpose with its answer.
  static TransferOptions WithTimeout(
      std::chrono::milliseconds timeout,
      std::chrono::milliseconds wait = std::chrono::milliseconds(0)) {
    TransferOptions options;
    options.connect_timeout = timeout;
    options.first_byte_timeout = timeout + wait;
    options.total_timeout = timeout + wait;
    return options;
  }

  std::chrono::milliseconds connect_timeout{1'000};
  std::chrono::milliseconds first_byte_timeout{5'000};
  std::chrono::milliseconds total_timeout{10'000};
  size_t largest_body_bytes = size_t{8} * 1024 * 1024;
  // Never sent a second time by any layer, and only on a new connection: an old
  // one may be dead, which shows only after the bytes are gone.
  bool send_once = false;
  // Connections made longer ago than this are not used again; zero for new ones
  // only, negative for no bound.
  std::chrono::seconds oldest_connection{-1};
};

using OnTransferEnd = std::function<void(TransferResult)>;

}  // namespace shallotwick::http
