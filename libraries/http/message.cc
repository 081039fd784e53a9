#include "http/message.h"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>

namespace shallotwick::http {
namespace {

int HexDigitValue(char digit) {
  if (digit >= '0' && digit <= '9') {
    return digit - '0';
  }
  const int lower = std::tolower(static_cast<unsigned char>(digit));
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

bool IsUnreserved(char character) {
  return std::isalnum(static_cast<unsigned char>(character)) != 0 ||
         character == '-' || character == '.' || character == '_' ||
         character == '~';
}

}  // namespace

bool IsSameHeaderName(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](unsigned char a, unsigned char b) {
                      return std::tolower(a) == std::tolower(b);
                    });
}

bool IsHopByHopHeader(std::string_view name) {
  constexpr std::string_view kNames[] = {
      "Connection",      "Keep-Alive", "Transfer-Encoding",
      "Content-Length",  "Host",       "TE",
      "Trailer",         "Upgrade",    "Expect",
      "Proxy-Connection"};
  return std::any_of(
      std::begin(kNames), std::end(kNames),
      [name](std::string_view hop) { return IsSameHeaderName(name, hop); });
}

std::optional<std::string> FindHeader(const Headers& headers,
                                      std::string_view name) {
  for (const auto& [header, value] : headers) {
    if (IsSameHeaderName(header, name)) {
      return value;
    }
  }
  return std::nullopt;
}

std::string GetPath(const std::string& target) {
  return target.substr(0, target.find('?'));
}

std::vector<std::string> SplitPath(const std::string& path) {
  const std::string_view text = path;
  std::vector<std::string> segments;
  size_t begin = 0;
  while (begin < path.size()) {
    const size_t end = std::min(path.find('/', begin), path.size());
    if (end > begin) {
      segments.push_back(PercentDecode(text.substr(begin, end - begin)));
    }
    begin = end + 1;
  }
  return segments;
}

std::optional<std::string> FindQueryParameter(const std::string& target,
                                              const std::string& name) {
  const size_t question = target.find('?');
  if (question == std::string::npos) {
    return std::nullopt;
  }
  const std::string_view text = target;
  size_t begin = question + 1;
  while (begin <= target.size()) {
    const size_t end = std::min(target.find('&', begin), target.size());
    const std::string_view pair = text.substr(begin, end - begin);
    const size_t equals = std::min(pair.find('='), pair.size());
    if (PercentDecode(pair.substr(0, equals)) == name) {
      return PercentDecode(pair.substr(std::min(equals + 1, pair.size())));
    }
    begin = end + 1;
  }
  return std::nullopt;
}

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  for (size_t index = 0; index < text.size(); ++index) {
    if (text[index] == '%' && index + 2 < text.size()) {
      const int high = HexDigitValue(text[index + 1]);
      const int low = HexDigitValue(text[index + 2]);
      if (high >= 0 && low >= 0) {
        decoded.push_back(static_cast<char>(high * 16 + low));
        index += 2;
        continue;
      }
    }
    decoded.push_back(text[index]);
  }
  return decoded;
}

std::string PercentEncode(std::string_view text) {
  constexpr char kDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (char character : text) {
    if (IsUnreserved(character)) {
      encoded.push_back(character);
      continue;
    }
    const auto code = static_cast<unsigned char>(character);
    encoded.push_back('%');
    encoded.push_back(kDigits[code >> 4]);
    encoded.push_back(kDigits[code & 0xF]);
  }
  return encoded;
}

Response MakeJsonResponse(int status, std::string body) {
  return Response{
      status, {{"Content-Type", "application/json"}}, std::move(body)};
}

Response MakeProblem(int status, const std::string& reason,
                     const std::string& detail) {
  const nlohmann::json body = {{"type", "urn:shallotwick:problem:" + reason},
                               {"title", reason},
                               {"status", status},
                               {"detail", detail}};
  return Response{
      status,
      {{"Content-Type", "application/problem+json"}},
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

}  // namespace shallotwick::http
