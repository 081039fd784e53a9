#include "http/blocking_client.h"

#include <curl/curl.h>

#include <utility>

#include "http/easy_transfer.h"

namespace shallotwick::http {
namespace {

// Owns the libcurl multi handle of one thread, so that the successive easy
// handles of the thread reuse its connections.
class MultiHandle {
 public:
  MultiHandle() : m_multi(curl_multi_init()) {}
  ~MultiHandle() { curl_multi_cleanup(m_multi); }
  MultiHandle(const MultiHandle&) = delete;
  MultiHandle& operator=(const MultiHandle&) = delete;

  CURLcode Perform(EasyTransfer* transfer) {
    curl_multi_add_handle(m_multi, transfer->GetHandle());
    CURLcode code = CURLE_OK;
    while (!PerformOnce(transfer, &code)) {
    }
    curl_multi_remove_handle(m_multi, transfer->GetHandle());
    return code;
  }

 private:
  static constexpr int kMaxPollMs = 50;

  // Runs one iteration of the transfer. Returns true and sets `code` once the
  // transfer has ended.
  bool PerformOnce(EasyTransfer* transfer, CURLcode* code) {
    int running_handles = 0;
    if (curl_multi_perform(m_multi, &running_handles) != CURLM_OK) {
      *code = CURLE_FAILED_INIT;
      return true;
    }
    int messages_left = 0;
    while (CURLMsg* message = curl_multi_info_read(m_multi, &messages_left)) {
      if (message->msg == CURLMSG_DONE) {
        *code = message->data.result;
        return true;
      }
    }
    if (transfer->HasFirstByteTimedOut()) {
      *code = CURLE_OPERATION_TIMEDOUT;
      return true;
    }
    curl_multi_poll(m_multi, nullptr, 0, kMaxPollMs, nullptr);
    return false;
  }

  CURLM* m_multi;
};

}  // namespace

TransferResult SendAndWait(const std::string& url, Request request,
                           const TransferOptions& options) {
  EasyTransfer transfer(url, std::move(request), options);
  thread_local MultiHandle multi_handle;
  const CURLcode code = multi_handle.Perform(&transfer);
  return transfer.ExtractResult(code);
}

}  // namespace shallotwick::http
