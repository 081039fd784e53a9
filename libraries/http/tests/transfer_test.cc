#include <CppUTest/TestHarness.h>

#include <future>

#include "fakes/scripted_server.h"
#include "http/blocking_client.h"
#include "http/client.h"

namespace fakes = shallotwick::fakes;
namespace http = shallotwick::http;

using http::TransferOutcome;
using std::chrono::milliseconds;

namespace {

// Runs one request through the asynchronous client.
http::TransferResult SendBy(http::Client& client, const std::string& url,
                            http::Request request,
                            const http::TransferOptions& options = {}) {
  std::promise<http::TransferResult> result;
  client.Send(url, std::move(request), options,
              [&result](http::TransferResult ended) {
                result.set_value(std::move(ended));
              });
  return result.get_future().get();
}

// Answers the first request of each connection, then reads the next one whole
// and closes: what a reused connection to a dying server looks like.
fakes::ScriptedAnswer CloseOnSecond(int /*connection*/, int request,
                                    const std::string& /*text*/) {
  if (request == 1) {
    return {fakes::MakeAnswer("ok")};
  }
  return {"", true};
}

int CountRequests(const fakes::ScriptedServer& server,
                  const std::string& method) {
  int count = 0;
  for (const std::string& request : server.GetRequests()) {
    count += request.compare(0, method.size() + 1, method + " ") == 0 ? 1 : 0;
  }
  return count;
}

}  // namespace

TEST_GROUP(Transfer){};

TEST(Transfer, PostIsNotSentAgainWhenAReusedConnectionTurnsOutDead) {
  fakes::ScriptedServer server(CloseOnSecond);
  http::Client client(4);
  CHECK_TRUE(SendBy(client, server.GetUrl("/"), {"GET", "/", {}, ""}).outcome ==
             TransferOutcome::kComplete);
  // Without send_once the connection is reused and dies under the request.
  const auto result =
      SendBy(client, server.GetUrl("/"), {"POST", "/", {}, "body"});
  CHECK_TRUE(result.outcome == TransferOutcome::kUnknown);
  LONGS_EQUAL(1, CountRequests(server, "POST"));
}

TEST(Transfer, SendOnceTakesANewConnectionAlsoWithoutABody) {
  for (const char* method : {"POST", "DELETE", "PATCH"}) {
    fakes::ScriptedServer server(CloseOnSecond);
    http::Client client(4);
    SendBy(client, server.GetUrl("/"), {"GET", "/", {}, ""});
    http::TransferOptions options;
    options.send_once = true;
    const auto result =
        SendBy(client, server.GetUrl("/"), {method, "/", {}, ""}, options);
    CHECK_TRUE(result.outcome == TransferOutcome::kComplete);
    LONGS_EQUAL(1, CountRequests(server, method));
    LONGS_EQUAL(2, server.CountConnections());
  }
}

TEST(Transfer, BrokenAnswersAreNeverComplete) {
  const std::string broken[] = {
      // Shorter than its Content-Length.
      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
      // A chunked body that breaks off.
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
      // A chunk size that is none.
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n",
      // The last chunk is missing.
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
      // Headers that break off.
      "HTTP/1.1 200 OK\r\nContent-Le",
      // Nothing at all.
      "",
  };
  for (const std::string& bytes : broken) {
    fakes::ScriptedServer server(
        [&bytes](int, int, const std::string&) -> fakes::ScriptedAnswer {
          return {bytes, true};
        });
    http::Client client(4);
    const auto result =
        SendBy(client, server.GetUrl("/"), {"POST", "/", {}, "body"});
    CHECK_TEXT(result.outcome == TransferOutcome::kUnknown, bytes.c_str());
    LONGS_EQUAL(1, CountRequests(server, "POST"));
  }
}

TEST(Transfer, AnAnswerWithoutLengthThatEndsWithTheConnectionIsNotTrusted) {
  fakes::ScriptedServer server(
      [](int, int, const std::string&) -> fakes::ScriptedAnswer {
        return {"HTTP/1.1 200 OK\r\n\r\nhalf an ans", true};
      });
  http::Client client(4);
  const auto result = SendBy(client, server.GetUrl("/"), {"GET", "/", {}, ""});
  CHECK_TRUE(result.outcome == TransferOutcome::kUnknown);
}

TEST(Transfer, AnUnreachableTargetIsNotSent) {
  uint16_t port = 0;
  {
    fakes::ScriptedServer server(CloseOnSecond);
    port = server.GetPort();
  }
  http::Client client(4);
  const auto result =
      SendBy(client, "http://127.0.0.1:" + std::to_string(port) + "/",
             {"POST", "/", {}, "body"});
  CHECK_TRUE(result.outcome == TransferOutcome::kNotSent);
  CHECK_FALSE(result.error.empty());
}

TEST(Transfer, ASilentConnectionEndsAtTheBoundOnTheFirstByte) {
  fakes::ScriptedServer server(
      [](int, int, const std::string&) -> fakes::ScriptedAnswer {
        return {"", false, true};
      });
  http::Client client(4);
  http::TransferOptions options;
  options.first_byte_timeout = milliseconds(60);
  const auto result =
      SendBy(client, server.GetUrl("/"), {"GET", "/", {}, ""}, options);
  CHECK_TRUE(result.outcome == TransferOutcome::kUnknown);
  CHECK_TRUE(result.first_byte_timed_out);
}

TEST(Transfer, ALateAnswerMeetsNoOtherRequest) {
  // The first request is never answered on its connection; the next must not
  // be given what may still come there.
  fakes::ScriptedServer server(
      [](int connection, int,
         const std::string& text) -> fakes::ScriptedAnswer {
        if (connection == 1) {
          return {"", false, true};
        }
        return {fakes::MakeAnswer(text.substr(0, text.find(" HTTP")))};
      });
  http::Client client(4);
  http::TransferOptions options;
  options.first_byte_timeout = milliseconds(60);
  SendBy(client, server.GetUrl("/first"), {"GET", "/first", {}, ""}, options);
  const auto second =
      SendBy(client, server.GetUrl("/second"), {"GET", "/second", {}, ""});
  STRCMP_EQUAL("GET /second", second.response.body.c_str());
  LONGS_EQUAL(2, server.CountConnections());
}

TEST(Transfer, OnlyNewConnectionsAreUsedWhenOldOnesAreNotTrusted) {
  fakes::ScriptedServer server(
      [](int, int, const std::string&) -> fakes::ScriptedAnswer {
        return {fakes::MakeAnswer("ok")};
      });
  http::Client client(4);
  SendBy(client, server.GetUrl("/"), {"GET", "/", {}, ""});
  SendBy(client, server.GetUrl("/"), {"GET", "/", {}, ""});
  LONGS_EQUAL(1, server.CountConnections());
  http::TransferOptions options;
  options.oldest_connection = std::chrono::seconds(0);
  SendBy(client, server.GetUrl("/"), {"GET", "/", {}, ""}, options);
  LONGS_EQUAL(2, server.CountConnections());
}

TEST(Transfer, AnAnswerOverTheLimitIsNotTaken) {
  fakes::ScriptedServer server(
      [](int, int, const std::string&) -> fakes::ScriptedAnswer {
        return {fakes::MakeAnswer(std::string(2000, 'x'))};
      });
  http::TransferOptions options;
  options.largest_body_bytes = 1000;
  const auto result =
      http::SendAndWait(server.GetUrl("/"), {"GET", "/", {}, ""}, options);
  CHECK_TRUE(result.outcome == TransferOutcome::kUnknown);
}

TEST(Transfer, HopByHopHeadersStayOnTheirConnection) {
  fakes::ScriptedServer server(
      [](int, int, const std::string&) -> fakes::ScriptedAnswer {
        return {
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: 5\r\n"
            "X-Own: yes\r\n\r\nok"};
      });
  const auto result = http::SendAndWait(
      server.GetUrl("/"),
      {"GET", "/", {{"Upgrade", "x"}, {"X-Mine", "1"}, {"X-Empty", ""}}, ""});
  const std::string request = server.GetRequests().at(0);
  CHECK(request.find("Upgrade") == std::string::npos);
  CHECK(request.find("X-Mine: 1\r\n") != std::string::npos);
  CHECK(request.find("X-Empty:\r\n") != std::string::npos);
  LONGS_EQUAL(1, result.response.headers.size());
  STRCMP_EQUAL("X-Own", result.response.headers[0].first.c_str());
}
