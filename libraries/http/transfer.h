#pragma once

#include <chrono>
#include <compare>
#include <functional>
#include <string>

#include "http/message.h"

namespace shallotwick::http {

// Outcome of a request to another process.
enum class TransferOutcome {
  // The complete response was received.
  kComplete,
  // No byte of the request was sent.
  kNotSent,
  // At least part of the request was sent, but no complete response was
  // received. The server may or may not have processed the request.
  kUnknown,
};

struct TransferResult {
  TransferOutcome outcome = TransferOutcome::kNotSent;
  Response response;
  // Describes the failure if the outcome is not kComplete.
  std::string error;
  // The first byte of the response did not arrive within its timeout.
  bool first_byte_timed_out = false;

  auto operator<=>(const TransferResult&) const = default;
};

struct TransferOptions {
  // Returns options for a request whose response the server may deliberately
  // delay by up to `wait`, as in long polling. `timeout` applies in addition.
  static TransferOptions WithTimeout(
      std::chrono::milliseconds timeout,
      std::chrono::milliseconds wait = std::chrono::milliseconds(0)) {
    TransferOptions options;
    options.connect_timeout = timeout;
    options.first_byte_timeout = timeout + wait;
    options.total_timeout = timeout + wait;
    return options;
  }

  // Returns options for a request whose response may be large: its transfer may
  // take up to `max_time` if no two parts of it are further apart than
  // `timeout`.
  static TransferOptions WithStallTimeout(
      std::chrono::milliseconds timeout, std::chrono::milliseconds max_time,
      std::chrono::milliseconds wait = std::chrono::milliseconds(0)) {
    TransferOptions options = WithTimeout(timeout, wait);
    options.stall_timeout = timeout;
    options.total_timeout += max_time;
    return options;
  }

  std::chrono::milliseconds connect_timeout{1'000};
  std::chrono::milliseconds first_byte_timeout{5'000};
  std::chrono::milliseconds total_timeout{10'000};
  // The longest time between two parts of a response after its first byte. Zero
  // means no limit. Only ConnectionPool applies it.
  std::chrono::milliseconds stall_timeout{0};
  size_t largest_body_bytes = size_t{8} * 1024 * 1024;
  // Prevents every layer from sending the request again, and sends it on a new
  // connection: an idle connection may be dead, which is detected only after
  // the request has been written.
  bool send_once = false;
  // Sent before other requests that wait for a connection to the server. Only
  // ConnectionPool applies it.
  bool is_urgent = false;
  // Connections older than this are not reused. Zero means that only a new
  // connection is used; a negative value means no limit.
  std::chrono::seconds oldest_connection{-1};
};

using OnTransferEnd = std::function<void(TransferResult)>;

}  // namespace shallotwick::http
