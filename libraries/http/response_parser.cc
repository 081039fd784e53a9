#include "http/response_parser.h"

#include <utility>

namespace shallotwick::http {
namespace {

constexpr int kFirstFinalStatus = 200;
// What the parser's callback returns to say that no body follows.
constexpr int kSkipBody = 1;

}  // namespace

ResponseParser::ResponseParser(bool is_head, size_t largest_body_bytes)
    : m_is_head(is_head), m_largest_body_bytes(largest_body_bytes) {
  http_parser_init(&m_parser, HTTP_RESPONSE);
  m_parser.data = this;
}

ResponseParser& ResponseParser::From(http_parser* parser) {
  return *static_cast<ResponseParser*>(parser->data);
}

ResponseParser::Progress ResponseParser::Take(std::string_view bytes) {
  const size_t taken = http_parser_execute(&m_parser, &GetCallbacks(),
                                           bytes.data(), bytes.size());
  if (m_is_whole) {
    // What follows the answer belongs to no request.
    m_may_reuse = m_may_reuse && taken == bytes.size();
    return Progress::kWhole;
  }
  return HTTP_PARSER_ERRNO(&m_parser) == HPE_OK ? Progress::kPartial
                                                : Progress::kBroken;
}

const http_parser_settings& ResponseParser::GetCallbacks() {
  static const http_parser_settings kCallbacks = [] {
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_message_begin = [](http_parser* parser) {
      ResponseParser& self = From(parser);
      self.m_response = Response{};
      return 0;
    };
    callbacks.on_status = [](http_parser* parser, const char*, size_t) {
      From(parser).m_has_status_line = true;
      return 0;
    };
    callbacks.on_header_field = [](http_parser* parser, const char* data,
                                   size_t size) {
      ResponseParser& self = From(parser);
      self.AddHeader();
      self.m_field.append(data, size);
      return 0;
    };
    callbacks.on_header_value = [](http_parser* parser, const char* data,
                                   size_t size) {
      ResponseParser& self = From(parser);
      self.m_is_in_value = true;
      self.m_value.append(data, size);
      return 0;
    };
    callbacks.on_headers_complete = [](http_parser* parser) {
      return From(parser).OnHeadersComplete();
    };
    callbacks.on_body = [](http_parser* parser, const char* data, size_t size) {
      ResponseParser& self = From(parser);
      if (self.m_response.body.size() + size > self.m_largest_body_bytes) {
        return -1;
      }
      self.m_response.body.append(data, size);
      return 0;
    };
    callbacks.on_message_complete = [](http_parser* parser) {
      return From(parser).OnMessageComplete();
    };
    return callbacks;
  }();
  return kCallbacks;
}

// A header is whole when the next one begins or all have ended.
void ResponseParser::AddHeader() {
  if (!m_is_in_value) {
    return;
  }
  if (!IsHopByHopHeader(m_field)) {
    m_response.headers.emplace_back(std::move(m_field), std::move(m_value));
  }
  m_field.clear();
  m_value.clear();
  m_is_in_value = false;
}

int ResponseParser::OnHeadersComplete() {
  AddHeader();
  m_response.status = static_cast<int>(m_parser.status_code);
  return m_is_head ? kSkipBody : 0;
}

int ResponseParser::OnMessageComplete() {
  if (m_response.status < kFirstFinalStatus) {
    return 0;
  }
  m_is_whole = true;
  m_may_reuse = http_should_keep_alive(&m_parser) != 0;
  http_parser_pause(&m_parser, 1);
  return 0;
}

}  // namespace shallotwick::http
