#include "http/response_parser.h"

#include <utility>

namespace shallotwick::http {
namespace {

constexpr int kFirstFinalStatus = 200;
// Return value of http_parser's on_headers_complete callback if the message has
// no body.
constexpr int kSkipBody = 1;

}  // namespace

ResponseParser::ResponseParser(bool is_head, size_t largest_body_bytes)
    : m_is_head(is_head), m_max_body_bytes(largest_body_bytes) {
  http_parser_init(&m_parser, HTTP_RESPONSE);
  m_parser.data = this;
}

ResponseParser& ResponseParser::From(http_parser* parser) {
  return *static_cast<ResponseParser*>(parser->data);
}

ResponseParser::Progress ResponseParser::Parse(std::string_view bytes) {
  const size_t parsed_bytes = http_parser_execute(&m_parser, &GetCallbacks(),
                                                  bytes.data(), bytes.size());
  if (m_is_finished) {
    // Bytes after the response belong to no request, so the connection must not
    // be reused.
    m_can_reuse_connection =
        m_can_reuse_connection && parsed_bytes == bytes.size();
    return Progress::kFinished;
  }
  return HTTP_PARSER_ERRNO(&m_parser) == HPE_OK ? Progress::kIncomplete
                                                : Progress::kInvalid;
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
      self.FinishHeader();
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
      if (self.m_response.body.size() + size > self.m_max_body_bytes) {
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

// Stores the current header if its value has been read. A header is complete
// only when the next one begins or the header section ends, because its name
// and value may arrive in parts.
void ResponseParser::FinishHeader() {
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
  FinishHeader();
  m_response.status = static_cast<int>(m_parser.status_code);
  return m_is_head ? kSkipBody : 0;
}

int ResponseParser::OnMessageComplete() {
  if (m_response.status < kFirstFinalStatus) {
    return 0;
  }
  m_is_finished = true;
  m_can_reuse_connection = http_should_keep_alive(&m_parser) != 0;
  http_parser_pause(&m_parser, 1);
  return 0;
}

}  // namespace shallotwick::http
