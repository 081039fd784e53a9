#include "storage/http_platform.h"

#include <utility>

#include "http/blocking_client.h"
#include "storage/platform_codec.h"

namespace shallotwick::storage {
namespace {

constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr size_t kMaxResponseBytes = size_t{64} * 1024 * 1024;

// Parses a member of a response body. Throws Unavailable if it is malformed, as
// if no response had been received.
template <typename Value>
Value ParseResponse(const std::string& body, const char* member) {
  try {
    return nlohmann::json::parse(body).at(member).get<Value>();
  } catch (const nlohmann::json::exception& error) {
    throw Unavailable(std::string("malformed response from the platform: ") +
                      error.what());
  }
}

}  // namespace

HttpPlatform::HttpPlatform(std::string address,
                           std::chrono::milliseconds timeout)
    : m_address(std::move(address)) {
  m_options.connect_timeout = timeout;
  m_options.first_byte_timeout = timeout;
  m_options.total_timeout = timeout;
  m_options.largest_body_bytes = kMaxResponseBytes;
}

http::Response HttpPlatform::Call(const std::string& method,
                                  const std::string& path, std::string body) {
  m_transferred_bytes.fetch_add(body.size());
  http::Request request{
      method, path, {{"Content-Type", "application/json"}}, std::move(body)};
  http::TransferResult result = http::SendAndWait(
      "http://" + m_address + path, std::move(request), m_options);
  if (result.outcome != http::TransferOutcome::kComplete) {
    throw Unavailable(m_address + path + ": " + result.error);
  }
  m_transferred_bytes.fetch_add(result.response.body.size());
  const int status = result.response.status;
  if (status != kOk && status != kCreated && status != kNotFound &&
      status != kConflict) {
    throw Unavailable(m_address + path + ": status " + std::to_string(status));
  }
  return std::move(result.response);
}

std::vector<Row> HttpPlatform::Read(const ReadRequest& request) {
  const http::Response response =
      Call("POST", "/table/read", nlohmann::json(request).dump());
  return ParseResponse<std::vector<Row>>(response.body, "rows");
}

CommitResult HttpPlatform::Commit(const Transaction& transaction) {
  const http::Response response =
      Call("POST", "/table/commit", nlohmann::json(transaction).dump());
  CommitResult result;
  if (response.status == kConflict) {
    result.status = CommitStatus::kConflict;
    result.conflicting_keys = ParseResponse<std::vector<std::string>>(
        response.body, "conflicting_keys");
    return result;
  }
  result.generation = ParseResponse<uint64_t>(response.body, "generation");
  return result;
}

void HttpPlatform::Put(const std::string& key, const std::string& value) {
  Call("PUT", "/objects/" + http::PercentEncode(key), value);
}

std::optional<std::string> HttpPlatform::Get(const std::string& key) {
  http::Response response =
      Call("GET", "/objects/" + http::PercentEncode(key), "");
  if (response.status == kNotFound) {
    return std::nullopt;
  }
  return std::move(response.body);
}

std::vector<ListedHost> HttpPlatform::List() {
  return ParseResponse<std::vector<ListedHost>>(Call("GET", "/hosts", "").body,
                                                "hosts");
}

void HttpPlatform::Reboot(const std::string& host, const std::string& boot_id) {
  const nlohmann::json body = {{"boot_id", boot_id}};
  Call("POST", "/hosts/" + http::PercentEncode(host) + "/reboot", body.dump());
}

}  // namespace shallotwick::storage
