#include <CppUTest/TestHarness.h>

#include <asio.hpp>
#include <future>
#include <memory>
#include <thread>

#include "fakes/scripted_server.h"
#include "http/blocking_client.h"
#include "http/client.h"
#include "http/connection_pool.h"

namespace fakes = shallotwick::fakes;
namespace http = shallotwick::http;

using http::TransferOutcome;
using std::chrono::milliseconds;

namespace {

// Runs one request through the asynchronous client.
http::TransferResult SendBy(http::RequestSender& client, const std::string& url,
                            http::Request request,
                            const http::TransferOptions& options = {}) {
  std::promise<http::TransferResult> result;
  client.Send(url, std::move(request), options,
              [&result](http::TransferResult ended) {
                result.set_value(std::move(ended));
              });
  return result.get_future().get();
}

// A connection pool with a thread that runs its event loop.
class PoolWithThread : public http::RequestSender {
 public:
  explicit PoolWithThread(int connections)
      : m_pool(std::make_unique<http::ConnectionPool>(m_context, connections)),
        m_thread([this] { m_context.run(); }) {}
  ~PoolWithThread() override {
    asio::post(m_context, [this] {
      m_pool.reset();
      m_context.stop();
    });
    m_thread.join();
  }

  void Send(const std::string& url, http::Request request,
            const http::TransferOptions& options,
            http::OnTransferEnd on_end) override {
    asio::post(m_context, [this, url, request = std::move(request), options,
                           on_end = std::move(on_end)]() mutable {
      m_pool->Send(url, std::move(request), options, std::move(on_end));
    });
  }

 private:
  asio::io_context m_context{1};
  asio::executor_work_guard<asio::io_context::executor_type> m_work{
      m_context.get_executor()};
  std::unique_ptr<http::ConnectionPool> m_pool;
  std::thread m_thread;
};

enum class Kind { kClient, kPool };

std::unique_ptr<http::RequestSender> MakeSender(Kind kind,
                                                int connections = 4) {
  if (kind == Kind::kPool) {
    return std::make_unique<PoolWithThread>(connections);
  }
  return std::make_unique<http::Client>(connections);
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

void CheckPostIsNotSentAgainWhenAReusedConnectionTurnsOutDead(Kind kind) {
  fakes::ScriptedServer server(CloseOnSecond);
  const auto sender = MakeSender(kind);
  http::RequestSender& client = *sender;
  CHECK_TRUE(SendBy(client, server.GetUrl("/"), {"GET", "/", {}, ""}).outcome ==
             TransferOutcome::kComplete);
  // Without send_once the connection is reused and dies under the request.
  const auto result =
      SendBy(client, server.GetUrl("/"), {"POST", "/", {}, "body"});
  CHECK_TRUE(result.outcome == TransferOutcome::kUnknown);
  LONGS_EQUAL(1, CountRequests(server, "POST"));
}

TEST(Transfer, PostIsNotSentAgainWhenAReusedConnectionTurnsOutDead) {
  CheckPostIsNotSentAgainWhenAReusedConnectionTurnsOutDead(Kind::kClient);
}

TEST(Transfer, PostIsNotSentAgainWhenAReusedConnectionTurnsOutDeadInPool) {
  CheckPostIsNotSentAgainWhenAReusedConnectionTurnsOutDead(Kind::kPool);
}

void CheckSendOnceTakesANewConnectionAlsoWithoutABody(Kind kind) {
  for (const char* method : {"POST", "DELETE", "PATCH"}) {
    fakes::ScriptedServer server(CloseOnSecond);
    const auto sender = MakeSender(kind);
    http::RequestSender& client = *sender;
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

TEST(Transfer, SendOnceTakesANewConnectionAlsoWithoutABody) {
  CheckSendOnceTakesANewConnectionAlsoWithoutABody(Kind::kClient);
}

TEST(Transfer, SendOnceTakesANewConnectionAlsoWithoutABodyInPool) {
  CheckSendOnceTakesANewConnectionAlsoWithoutABody(Kind::kPool);
}

void CheckBrokenAnswersAreNeverComplete(Kind kind) {
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
    const auto sender = MakeSender(kind);
    http::RequestSender& client = *sender;
    const auto result =
        SendBy(client, server.GetUrl("/"), {"POST", "/", {}, "body"});
    CHECK_TEXT(result.outcome == TransferOutcome::kUnknown, bytes.c_str());
    LONGS_EQUAL(1, CountRequests(server, "POST"));
  }
}

TEST(Transfer, BrokenAnswersAreNeverComplete) {
  CheckBrokenAnswersAreNeverComplete(Kind::kClient);
}

TEST(Transfer, BrokenAnswersAreNeverCompleteInPool) {
  CheckBrokenAnswersAreNeverComplete(Kind::kPool);
}

void CheckAnAnswerWithoutLengthThatEndsWithTheConnectionIsNotTrusted(
    Kind kind) {
  fakes::ScriptedServer server(
      [](int, int, const std::string&) -> fakes::ScriptedAnswer {
        return {"HTTP/1.1 200 OK\r\n\r\nhalf an ans", true};
      });
  const auto sender = MakeSender(kind);
  http::RequestSender& client = *sender;
  const auto result = SendBy(client, server.GetUrl("/"), {"GET", "/", {}, ""});
  CHECK_TRUE(result.outcome == TransferOutcome::kUnknown);
}

TEST(Transfer, AnAnswerWithoutLengthThatEndsWithTheConnectionIsNotTrusted) {
  CheckAnAnswerWithoutLengthThatEndsWithTheConnectionIsNotTrusted(
      Kind::kClient);
}

TEST(Transfer,
     AnAnswerWithoutLengthThatEndsWithTheConnectionIsNotTrustedInPool) {
  CheckAnAnswerWithoutLengthThatEndsWithTheConnectionIsNotTrusted(Kind::kPool);
}

void CheckAnUnreachableTargetIsNotSent(Kind kind) {
  uint16_t port = 0;
  {
    fakes::ScriptedServer server(CloseOnSecond);
    port = server.GetPort();
  }
  const auto sender = MakeSender(kind);
  http::RequestSender& client = *sender;
  const auto result =
      SendBy(client, "http://127.0.0.1:" + std::to_string(port) + "/",
             {"POST", "/", {}, "body"});
  CHECK_TRUE(result.outcome == TransferOutcome::kNotSent);
  CHECK_FALSE(result.error.empty());
}

TEST(Transfer, AnUnreachableTargetIsNotSent) {
  CheckAnUnreachableTargetIsNotSent(Kind::kClient);
}

TEST(Transfer, AnUnreachableTargetIsNotSentInPool) {
  CheckAnUnreachableTargetIsNotSent(Kind::kPool);
}

void CheckASilentConnectionEndsAtTheBoundOnTheFirstByte(Kind kind) {
  fakes::ScriptedServer server(
      [](int, int, const std::string&) -> fakes::ScriptedAnswer {
        return {"", false, true};
      });
  const auto sender = MakeSender(kind);
  http::RequestSender& client = *sender;
  http::TransferOptions options;
  options.first_byte_timeout = milliseconds(60);
  const auto result =
      SendBy(client, server.GetUrl("/"), {"GET", "/", {}, ""}, options);
  CHECK_TRUE(result.outcome == TransferOutcome::kUnknown);
  CHECK_TRUE(result.first_byte_timed_out);
}

TEST(Transfer, ASilentConnectionEndsAtTheBoundOnTheFirstByte) {
  CheckASilentConnectionEndsAtTheBoundOnTheFirstByte(Kind::kClient);
}

TEST(Transfer, ASilentConnectionEndsAtTheBoundOnTheFirstByteInPool) {
  CheckASilentConnectionEndsAtTheBoundOnTheFirstByte(Kind::kPool);
}

void CheckALateAnswerMeetsNoOtherRequest(Kind kind) {
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
  const auto sender = MakeSender(kind);
  http::RequestSender& client = *sender;
  http::TransferOptions options;
  options.first_byte_timeout = milliseconds(60);
  SendBy(client, server.GetUrl("/first"), {"GET", "/first", {}, ""}, options);
  const auto second =
      SendBy(client, server.GetUrl("/second"), {"GET", "/second", {}, ""});
  STRCMP_EQUAL("GET /second", second.response.body.c_str());
  LONGS_EQUAL(2, server.CountConnections());
}

TEST(Transfer, ALateAnswerMeetsNoOtherRequest) {
  CheckALateAnswerMeetsNoOtherRequest(Kind::kClient);
}

TEST(Transfer, ALateAnswerMeetsNoOtherRequestInPool) {
  CheckALateAnswerMeetsNoOtherRequest(Kind::kPool);
}

void CheckOnlyNewConnectionsAreUsedWhenOldOnesAreNotTrusted(Kind kind) {
  fakes::ScriptedServer server(
      [](int, int, const std::string&) -> fakes::ScriptedAnswer {
        return {fakes::MakeAnswer("ok")};
      });
  const auto sender = MakeSender(kind);
  http::RequestSender& client = *sender;
  SendBy(client, server.GetUrl("/"), {"GET", "/", {}, ""});
  SendBy(client, server.GetUrl("/"), {"GET", "/", {}, ""});
  LONGS_EQUAL(1, server.CountConnections());
  http::TransferOptions options;
  options.oldest_connection = std::chrono::seconds(0);
  SendBy(client, server.GetUrl("/"), {"GET", "/", {}, ""}, options);
  LONGS_EQUAL(2, server.CountConnections());
}

TEST(Transfer, OnlyNewConnectionsAreUsedWhenOldOnesAreNotTrusted) {
  CheckOnlyNewConnectionsAreUsedWhenOldOnesAreNotTrusted(Kind::kClient);
}

TEST(Transfer, OnlyNewConnectionsAreUsedWhenOldOnesAreNotTrustedInPool) {
  CheckOnlyNewConnectionsAreUsedWhenOldOnesAreNotTrusted(Kind::kPool);
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

TEST(Transfer, RequestsWaitInOrderForAFreeConnectionOfThePool) {
  fakes::ScriptedServer server(
      [](int, int, const std::string& text) -> fakes::ScriptedAnswer {
        return {fakes::MakeAnswer(text.substr(0, text.find(" HTTP")))};
      });
  const auto sender = MakeSender(Kind::kPool, 1);
  constexpr int kRequests = 20;
  std::vector<std::promise<std::string>> answers(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    const std::string path = "/" + std::to_string(i);
    sender->Send(
        server.GetUrl(path), {"GET", path, {}, ""}, {},
        [&answers, i](const http::TransferResult& result) {
          answers[static_cast<size_t>(i)].set_value(result.response.body);
        });
  }
  for (int i = 0; i < kRequests; ++i) {
    STRCMP_EQUAL(("GET /" + std::to_string(i)).c_str(),
                 answers[static_cast<size_t>(i)].get_future().get().c_str());
  }
  LONGS_EQUAL(1, server.CountConnections());
}

TEST(Transfer, AnAddressThatIsNoneIsNotSent) {
  const auto sender = MakeSender(Kind::kPool);
  for (const char* url :
       {"http://nowhere/", "http:///", "http://1.2.3.4:0x/"}) {
    CHECK_TRUE(SendBy(*sender, url, {"GET", "/", {}, ""}).outcome ==
               TransferOutcome::kNotSent);
  }
}
