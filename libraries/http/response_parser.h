#pragma once

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "http/message.h"

namespace shallotwick::http {

// Takes the bytes of one answer as they come. Interim answers (1xx) are left
// out; hop-by-hop headers are dropped.
class ResponseParser {
 public:
  enum class Progress { kPartial, kWhole, kBroken };

  // `is_head`: the answer has no body, whatever its headers say.
  ResponseParser(bool is_head, size_t largest_body_bytes);
  ResponseParser(const ResponseParser&) = delete;
  ResponseParser& operator=(const ResponseParser&) = delete;

  Progress Take(std::string_view bytes);
  // Whether the connection may carry another request after this answer.
  bool MayReuseConnection() const { return m_may_reuse; }
  bool HasStatusLine() const { return m_has_status_line; }
  Response TakeResponse() { return std::move(m_response); }

 private:
  static ResponseParser& From(http_parser* parser);
  static const http_parser_settings& GetCallbacks();
  void AddHeader();
  int OnHeadersComplete();
  int OnMessageComplete();

  http_parser m_parser;
  bool m_is_head;
  size_t m_largest_body_bytes;
  Response m_response;
  std::string m_field;
  std::string m_value;
  bool m_is_in_value = false;
  bool m_has_status_line = false;
  bool m_is_whole = false;
  bool m_may_reuse = false;
};

}  // namespace shallotwick::http
