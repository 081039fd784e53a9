#pragma once

#include <curl/curl.h>

#include <chrono>
#include <string>

#include "http/transfer.h"

namespace shallotwick::http {

// One request through one libcurl easy handle. Used by the asynchronous and by
// the blocking client.
class EasyTransfer {
 public:
  EasyTransfer(const std::string& url, Request request,
               const TransferOptions& options);
  ~EasyTransfer();
  EasyTransfer(const EasyTransfer&) = delete;
  EasyTransfer& operator=(const EasyTransfer&) = delete;

  CURL* GetHandle() const { return m_handle; }

  // Whether no first byte of an answer has come within its bound; the transfer
  // is to be ended then.
  bool IsFirstByteLate();

  // Takes the result once libcurl has ended with `code`.
  TransferResult TakeResult(CURLcode code);

 private:
  static size_t WriteBody(char* data, size_t size, size_t count, void* self);
  static size_t WriteHeader(char* data, size_t size, size_t count, void* self);
  static size_t ReadBody(char* data, size_t size, size_t count, void* self);
  static int RefuseSeek(void* self, curl_off_t offset, int origin);
  static int CheckProgress(void* self, curl_off_t download_total,
                           curl_off_t downloaded, curl_off_t upload_total,
                           curl_off_t uploaded);

  bool IsWhole(int status) const;
  void SetMethodAndBody();
  void SetHeaders();
  void SetBounds();

  CURL* m_handle;
  curl_slist* m_header_list = nullptr;
  Request m_request;
  TransferOptions m_options;
  Response m_response;
  size_t m_body_read = 0;
  bool m_body_too_large = false;
  bool m_status_line_seen = false;
  bool m_headers_ended = false;
  // The answer says where its body ends.
  bool m_has_framing = false;
  bool m_first_byte_timed_out = false;
  std::chrono::steady_clock::time_point m_started =
      std::chrono::steady_clock::now();
  char m_error[CURL_ERROR_SIZE] = {};
};

}  // namespace shallotwick::http
