#include "http/server.h"

#include <CppUTest/TestHarness.h>

#include <asio.hpp>
#include <thread>

#include "http/blocking_client.h"

namespace base = shallotwick::base;
namespace http = shallotwick::http;

namespace {

http::ServerOptions MakeOptions() {
  http::ServerOptions options;
  options.listen = base::ParseEndpoint("127.0.0.1:0");
  options.largest_body_bytes = 1000;
  return options;
}

void Echo(const http::Request& request, const http::Respond& respond) {
  respond(http::Response{
      200,
      {{"X-Method", request.method}, {"X-Break", "a\r\nX-Injected: yes"}},
      request.target + "|" + request.body});
}

std::string GetUrl(const http::Server& server) {
  return "http://127.0.0.1:" + std::to_string(server.GetPort());
}

// Sends raw bytes and returns everything received until the server closes the
// connection.
std::string Exchange(const http::Server& server, const std::string& bytes) {
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  socket.connect({asio::ip::make_address("127.0.0.1"), server.GetPort()});
  std::error_code error;
  asio::write(socket, asio::buffer(bytes), error);
  std::string received;
  asio::read(socket, asio::dynamic_buffer(received), error);
  return received;
}

}  // namespace

TEST_GROUP(HttpServer){};

TEST(HttpServer, PassesCompleteRequestAndSendsCompleteResponse) {
  http::Server server(MakeOptions(), Echo);
  const auto result =
      http::SendAndWait(GetUrl(server) + "/a/b?c=d",
                        {"PUT", "/a/b?c=d", {}, std::string(500, 'x')});
  LONGS_EQUAL(200, result.response.status);
  STRCMP_EQUAL(("/a/b?c=d|" + std::string(500, 'x')).c_str(),
               result.response.body.c_str());
  STRCMP_EQUAL("PUT",
               http::FindHeader(result.response.headers, "x-method")->c_str());
}

TEST(HttpServer, RemovesLineBreaksFromResponseHeaders) {
  http::Server server(MakeOptions(), Echo);
  const auto result = http::SendAndWait(GetUrl(server), {});
  CHECK_FALSE(http::FindHeader(result.response.headers, "X-Injected"));
}

TEST(HttpServer, RespondsWith413ToBodyOverLimit) {
  http::Server server(MakeOptions(), Echo);
  const auto result = http::SendAndWait(
      GetUrl(server), {"POST", "/", {}, std::string(1001, 'x')});
  LONGS_EQUAL(413, result.response.status);
}

TEST(HttpServer, ClosesConnectionOnMalformedRequest) {
  http::Server server(MakeOptions(), Echo);
  for (const std::string& bytes :
       {std::string("NONSENSE\r\n\r\n"),
        "GET /" + std::string(9000, 'a') + " HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nX: " + std::string(9000, 'a') + "\r\n\r\n",
        std::string("POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n")}) {
    STRCMP_EQUAL("", Exchange(server, bytes).c_str());
  }
  LONGS_EQUAL(200, http::SendAndWait(GetUrl(server), {}).response.status);
}

// The body arrives after the first response has been written.
TEST(HttpServer, RequestReadDuringImmediateResponseIsNotLost) {
  http::Server server(MakeOptions(), Echo);
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  socket.connect({asio::ip::make_address("127.0.0.1"), server.GetPort()});
  const std::string first =
      "GET /first HTTP/1.1\r\nHost: a\r\n\r\n"
      "PUT /second HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
      "Content-Length: 4\r\n\r\n";
  asio::write(socket, asio::buffer(first));
  std::string received;
  std::error_code error;
  asio::read_until(socket, asio::dynamic_buffer(received), "/first|", error);
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  asio::write(socket, asio::buffer(std::string("body")), error);
  asio::read(socket, asio::dynamic_buffer(received), error);
  STRCMP_CONTAINS("/second|body", received.c_str());
}

TEST(HttpServer, RespondsOnceAndCountsPendingRequests) {
  std::mutex mutex;
  std::vector<http::Respond> pending;
  http::Server server(MakeOptions(),
                      [&](const http::Request&, http::Respond respond) {
                        std::lock_guard<std::mutex> lock(mutex);
                        pending.push_back(std::move(respond));
                      });
  std::thread caller([&] {
    STRCMP_EQUAL("one",
                 http::SendAndWait(GetUrl(server), {}).response.body.c_str());
  });
  std::vector<http::Respond> responds;
  while (responds.empty()) {
    std::lock_guard<std::mutex> lock(mutex);
    responds = pending;
  }
  LONGS_EQUAL(1, server.GetUnansweredCount());
  responds.at(0)(http::Response{200, {}, "one"});
  responds.at(0)(http::Response{200, {}, "two"});
  caller.join();
  LONGS_EQUAL(0, server.GetUnansweredCount());
}

TEST(HttpServer, ResponseMayBeSentAfterServerIsDestroyed) {
  http::Respond pending;
  std::atomic<bool> has_request{false};
  auto server = std::make_unique<http::Server>(
      MakeOptions(), [&](const http::Request&, http::Respond respond) {
        pending = std::move(respond);
        has_request.store(true);
      });
  std::thread caller([url = GetUrl(*server)] {
    CHECK_TRUE(http::SendAndWait(url, {}).outcome ==
               http::TransferOutcome::kUnknown);
  });
  while (!has_request.load()) {
    std::this_thread::yield();
  }
  server.reset();
  pending(http::Response{200, {}, "late"});
  pending = nullptr;
  caller.join();
}

TEST(HttpServer, RespondsWith500IfHandlerThrows) {
  http::Server server(MakeOptions(),
                      [](const http::Request&, const http::Respond&) {
                        throw std::runtime_error("broken");
                      });
  LONGS_EQUAL(500, http::SendAndWait(GetUrl(server), {}).response.status);
}
