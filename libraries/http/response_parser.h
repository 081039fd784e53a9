#pragma once

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "http/message.h"

namespace shallotwick::http {

// Parses one response incrementally. Skips interim responses (1xx) and drops
// hop-by-hop headers.
class ResponseParser {
 public:
  enum class Progress { kIncomplete, kFinished, kInvalid };

  // `is_head`: the response answers a HEAD request, so it has no body, whatever
  // its headers indicate.
  ResponseParser(bool is_head, size_t largest_body_bytes);
  ResponseParser(const ResponseParser&) = delete;
  ResponseParser& operator=(const ResponseParser&) = delete;

  // Parses the next bytes of the response. kInvalid means that the response is
  // malformed or its body exceeds the limit.
  Progress Parse(std::string_view bytes);
  // Whether the connection can be reused after this response. Valid once the
  // response is complete.
  bool CanReuseConnection() const { return m_can_reuse_connection; }
  bool HasStatusLine() const { return m_has_status_line; }
  // Moves the response out.
  Response ExtractResponse() { return std::move(m_response); }

 private:
  static ResponseParser& From(http_parser* parser);
  static const http_parser_settings& GetCallbacks();
  void FinishHeader();
  int OnHeadersComplete();
  int OnMessageComplete();

  http_parser m_parser;
  bool m_is_head;
  size_t m_max_body_bytes;
  Response m_response;
  std::string m_field;
  std::string m_value;
  bool m_is_in_value = false;
  bool m_has_status_line = false;
  bool m_is_finished = false;
  bool m_can_reuse_connection = false;
};

}  // namespace shallotwick::http
