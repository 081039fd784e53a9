#include "http/easy_transfer.h"

#include <algorithm>
#include <new>
#include <utility>

namespace shallotwick::http {
namespace {

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

std::string Trim(std::string_view text) {
  const size_t begin = text.find_first_not_of(" \t\r\n");
  if (begin == std::string_view::npos) {
    return "";
  }
  return std::string(
      text.substr(begin, text.find_last_not_of(" \t\r\n") - begin + 1));
}

void InitializeLibraryOnce() {
  static const CURLcode kResult = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(kResult);
}

}  // namespace

EasyTransfer::EasyTransfer(const std::string& url, Request request,
                           const TransferOptions& options)
    : m_request(std::move(request)), m_options(options) {
  InitializeLibraryOnce();
  m_handle = curl_easy_init();
  if (m_handle == nullptr) {
    throw std::bad_alloc();
  }
  curl_easy_setopt(m_handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(m_handle, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(m_handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(m_handle, CURLOPT_PROXY, "");
  curl_easy_setopt(m_handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(m_handle, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(m_handle, CURLOPT_ERRORBUFFER, m_error);
  curl_easy_setopt(m_handle, CURLOPT_PRIVATE, this);
  curl_easy_setopt(m_handle, CURLOPT_WRITEFUNCTION, &EasyTransfer::WriteBody);
  curl_easy_setopt(m_handle, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(m_handle, CURLOPT_HEADERFUNCTION,
                   &EasyTransfer::WriteHeader);
  curl_easy_setopt(m_handle, CURLOPT_HEADERDATA, this);
  SetMethodAndBody();
  SetHeaders();
  SetTimeoutsAndConnectionReuse();
}

EasyTransfer::~EasyTransfer() {
  curl_easy_cleanup(m_handle);
  curl_slist_free_all(m_header_list);
}

void EasyTransfer::SetMethodAndBody() {
  const bool has_body = !m_request.body.empty();
  if (m_request.method == "HEAD") {
    curl_easy_setopt(m_handle, CURLOPT_NOBODY, 1L);
    return;
  }
  if (has_body) {
    // libcurl retries a request by itself if a reused connection turns out to
    // be closed. The seek function refuses to rewind the body, which prevents
    // such a retry.
    curl_easy_setopt(m_handle, CURLOPT_UPLOAD, 1L);
    curl_easy_setopt(m_handle, CURLOPT_INFILESIZE_LARGE,
                     static_cast<curl_off_t>(m_request.body.size()));
    curl_easy_setopt(m_handle, CURLOPT_READFUNCTION, &EasyTransfer::ReadBody);
    curl_easy_setopt(m_handle, CURLOPT_READDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_SEEKFUNCTION, &EasyTransfer::RefuseSeek);
    curl_easy_setopt(m_handle, CURLOPT_SEEKDATA, this);
  } else if (m_request.method == "POST" || m_request.method == "PUT") {
    curl_easy_setopt(m_handle, CURLOPT_POST, 1L);
    curl_easy_setopt(m_handle, CURLOPT_POSTFIELDSIZE, 0L);
    curl_easy_setopt(m_handle, CURLOPT_POSTFIELDS, "");
  }
  curl_easy_setopt(m_handle, CURLOPT_CUSTOMREQUEST, m_request.method.c_str());
}

void EasyTransfer::SetHeaders() {
  for (const auto& [name, value] : m_request.headers) {
    if (!IsHopByHopHeader(name)) {
      // libcurl removes a header that is given as "Name:" without a value;
      // "Name;" sends it with an empty value.
      const std::string line = value.empty() ? name + ";" : name + ": " + value;
      m_header_list = curl_slist_append(m_header_list, line.c_str());
    }
  }
  m_header_list = curl_slist_append(m_header_list, "Expect:");
  curl_easy_setopt(m_handle, CURLOPT_HTTPHEADER, m_header_list);
}

void EasyTransfer::SetTimeoutsAndConnectionReuse() {
  curl_easy_setopt(m_handle, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(m_options.connect_timeout.count()));
  curl_easy_setopt(m_handle, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(m_options.total_timeout.count()));
  curl_easy_setopt(m_handle, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt(m_handle, CURLOPT_XFERINFOFUNCTION,
                   &EasyTransfer::OnProgress);
  curl_easy_setopt(m_handle, CURLOPT_XFERINFODATA, this);
  const bool requires_new_connection =
      m_options.send_once || m_options.oldest_connection.count() == 0;
  if (requires_new_connection) {
    curl_easy_setopt(m_handle, CURLOPT_FRESH_CONNECT, 1L);
  }
  if (m_options.oldest_connection.count() > 0) {
    curl_easy_setopt(m_handle, CURLOPT_MAXLIFETIME_CONN,
                     static_cast<long>(m_options.oldest_connection.count()));
  }
}

size_t EasyTransfer::WriteBody(char* data, size_t size, size_t count,
                               void* self) {
  auto* transfer = static_cast<EasyTransfer*>(self);
  const size_t bytes = size * count;
  if (transfer->m_response.body.size() + bytes >
      transfer->m_options.largest_body_bytes) {
    transfer->m_is_body_too_large = true;
    return 0;
  }
  transfer->m_response.body.append(data, bytes);
  return bytes;
}

size_t EasyTransfer::WriteHeader(char* data, size_t size, size_t count,
                                 void* self) {
  auto* transfer = static_cast<EasyTransfer*>(self);
  const std::string_view line(data, size * count);
  if (line.substr(0, 5) == "HTTP/") {
    // An interim response (1xx) is followed by the headers of the final one.
    transfer->m_response.headers.clear();
    transfer->m_has_status_line = true;
    transfer->m_are_headers_complete = false;
    transfer->m_has_framing = false;
    return line.size();
  }
  if (line == "\r\n" || line == "\n") {
    transfer->m_are_headers_complete = true;
    return line.size();
  }
  const size_t colon = line.find(':');
  if (colon != std::string_view::npos) {
    const std::string name = Trim(line.substr(0, colon));
    transfer->m_has_framing = transfer->m_has_framing ||
                              IsSameHeaderName(name, "Content-Length") ||
                              IsSameHeaderName(name, "Transfer-Encoding");
    if (!IsHopByHopHeader(name)) {
      transfer->m_response.headers.emplace_back(name,
                                                Trim(line.substr(colon + 1)));
    }
  }
  return line.size();
}

size_t EasyTransfer::ReadBody(char* data, size_t size, size_t count,
                              void* self) {
  auto* transfer = static_cast<EasyTransfer*>(self);
  const std::string& body = transfer->m_request.body;
  const size_t bytes =
      std::min(size * count, body.size() - transfer->m_body_bytes_read);
  std::copy_n(body.data() + transfer->m_body_bytes_read, bytes, data);
  transfer->m_body_bytes_read += bytes;
  return bytes;
}

int EasyTransfer::RefuseSeek(void* /*self*/, curl_off_t /*offset*/,
                             int /*origin*/) {
  return CURL_SEEKFUNC_FAIL;
}

int EasyTransfer::OnProgress(void* self, curl_off_t /*download_total*/,
                             curl_off_t /*downloaded*/,
                             curl_off_t /*upload_total*/,
                             curl_off_t /*uploaded*/) {
  return static_cast<EasyTransfer*>(self)->HasFirstByteTimedOut() ? 1 : 0;
}

bool EasyTransfer::HasFirstByteTimedOut() {
  const bool has_first_byte = m_has_status_line;
  const auto elapsed = std::chrono::steady_clock::now() - m_started;
  if (!has_first_byte && elapsed > m_options.first_byte_timeout) {
    m_first_byte_timed_out = true;
  }
  return m_first_byte_timed_out;
}

// A response that is delimited only by the end of its connection may be
// truncated, although libcurl treats it as complete.
bool EasyTransfer::IsCompleteResponse(int status) const {
  const bool has_no_body = m_request.method == "HEAD" || status == kNoContent ||
                           status == kNotModified;
  return m_are_headers_complete && (m_has_framing || has_no_body);
}

TransferResult EasyTransfer::ExtractResult(CURLcode code) {
  TransferResult result;
  result.first_byte_timed_out =
      m_first_byte_timed_out ||
      (code == CURLE_OPERATION_TIMEDOUT && !m_has_status_line);
  long status = 0;
  curl_easy_getinfo(m_handle, CURLINFO_RESPONSE_CODE, &status);
  if (code == CURLE_OK && IsCompleteResponse(static_cast<int>(status))) {
    m_response.status = static_cast<int>(status);
    result.outcome = TransferOutcome::kComplete;
    result.response = std::move(m_response);
    return result;
  }
  long request_bytes = 0;
  curl_easy_getinfo(m_handle, CURLINFO_REQUEST_SIZE, &request_bytes);
  result.outcome = request_bytes == 0 ? TransferOutcome::kNotSent
                                      : TransferOutcome::kUnknown;
  result.error = m_error[0] != '\0' ? m_error : curl_easy_strerror(code);
  if (code == CURLE_OK) {
    result.error =
        "response is incomplete or has no Content-Length or Transfer-Encoding";
  }
  if (m_is_body_too_large) {
    result.error = "response body exceeds the size limit";
  }
  if (m_first_byte_timed_out) {
    result.error = "timed out waiting for the first byte of the response";
  }
  return result;
}

}  // namespace shallotwick::http
