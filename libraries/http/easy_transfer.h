#pragma once

#include <curl/curl.h>

#include <chrono>
#include <string>

#include "http/transfer.h"

namespace shallotwick::http {

// Transfers one request and its response through a libcurl easy handle. Shared
// by the asynchronous and the blocking client.
class EasyTransfer {
 public:
  EasyTransfer(const std::string& url, Request request,
               const TransferOptions& options);
  ~EasyTransfer();
  EasyTransfer(const EasyTransfer&) = delete;
  EasyTransfer& operator=(const EasyTransfer&) = delete;

  CURL* GetHandle() const { return m_handle; }

  // Returns whether the first byte of the response has not arrived within its
  // timeout. If so, the caller must end the transfer.
  bool HasFirstByteTimedOut();

  // Returns the result after libcurl has ended the transfer with `code`. Moves
  // the response out, so it may be called once only.
  TransferResult ExtractResult(CURLcode code);

 private:
  static size_t WriteBody(char* data, size_t size, size_t count, void* self);
  static size_t WriteHeader(char* data, size_t size, size_t count, void* self);
  static size_t ReadBody(char* data, size_t size, size_t count, void* self);
  static int RefuseSeek(void* self, curl_off_t offset, int origin);
  static int OnProgress(void* self, curl_off_t download_total,
                        curl_off_t downloaded, curl_off_t upload_total,
                        curl_off_t uploaded);

  bool IsCompleteResponse(int status) const;
  void SetMethodAndBody();
  void SetHeaders();
  void SetTimeoutsAndConnectionReuse();

  CURL* m_handle;
  curl_slist* m_header_list = nullptr;
  Request m_request;
  TransferOptions m_options;
  Response m_response;
  size_t m_body_bytes_read = 0;
  bool m_is_body_too_large = false;
  bool m_has_status_line = false;
  bool m_are_headers_complete = false;
  // The response has a Content-Length or Transfer-Encoding header.
  bool m_has_framing = false;
  bool m_first_byte_timed_out = false;
  std::chrono::steady_clock::time_point m_started =
      std::chrono::steady_clock::now();
  char m_error[CURL_ERROR_SIZE] = {};
};

}  // namespace shallotwick::http
