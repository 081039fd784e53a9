#include "http/blocking_client.h"

#include <curl/curl.h>

#include <utility>

#include "http/easy_transfer.h"

namespace shallotwick::http {
namespace {

// The connections of one thread, shared by its successive easy handles.
class ConnectionPool {
 public:
  ConnectionPool() : m_multi(curl_multi_init()) {}
  ~ConnectionPool() { curl_multi_cleanup(m_multi); }
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  CURLcode Perform(EasyTransfer* transfer) {
    curl_multi_add_handle(m_multi, transfer->GetHandle());
    CURLcode code = CURLE_OK;
    while (!PerformSome(transfer, &code)) {
    }
    curl_multi_remove_handle(m_multi, transfer->GetHandle());
    return code;
  }

 private:
  static constexpr int kLongestPollMilliseconds = 50;

  // Returns whether the transfer has ended, with its code.
  bool PerformSome(EasyTransfer* transfer, CURLcode* code) {
    int running = 0;
    if (curl_multi_perform(m_multi, &running) != CURLM_OK) {
      *code = CURLE_FAILED_INIT;
      return true;
    }
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
      if (message->msg == CURLMSG_DONE) {
        *code = message->data.result;
        return true;
      }
    }
    if (transfer->IsFirstByteLate()) {
      *code = CURLE_OPERATION_TIMEDOUT;
      return true;
    }
    curl_multi_poll(m_multi, nullptr, 0, kLongestPollMilliseconds, nullptr);
    return false;
  }

  CURLM* m_multi;
};

}  // namespace

TransferResult SendAndWait(const std::string& url, Request request,
                           const TransferOptions& options) {
  EasyTransfer transfer(url, std::move(request), options);
  thread_local ConnectionPool pool;
  const CURLcode code = pool.Perform(&transfer);
  return transfer.TakeResult(code);
}

}  // namespace shallotwick::http
