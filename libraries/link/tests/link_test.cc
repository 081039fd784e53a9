#include <CppUTest/TestHarness.h>

#include <asio.hpp>
#include <future>
#include <thread>

#include "base/runtime_clock.h"
#include "link/client.h"
#include "link/server.h"

namespace base = shallotwick::base;
namespace wire = shallotwick::link;

using std::chrono::milliseconds;
using wire::ReplyStatus;

namespace {

wire::Bytes MakeBytes(size_t size) {
  wire::Bytes bytes(size);
  for (size_t index = 0; index < size; ++index) {
    bytes[index] = static_cast<uint8_t>(index * 31);
  }
  return bytes;
}

}  // namespace

// Runs the server and the client on separate threads.
TEST_GROUP(Link) {
  asio::io_context m_server_context{1};
  asio::io_context m_client_context{1};
  std::unique_ptr<wire::Server> m_server;
  std::unique_ptr<wire::Client> m_client;
  std::vector<wire::OnReply> m_unanswered_replies;
  std::promise<void> m_first_call_received;
  std::thread m_server_thread;
  std::thread m_client_thread;

  void Start(wire::CallHandler handler) {
    m_server = std::make_unique<wire::Server>(
        m_server_context, base::ParseEndpoint("127.0.0.1:0"),
        std::move(handler));
    m_client = std::make_unique<wire::Client>(
        m_client_context, base::Endpoint{"127.0.0.1", m_server->GetPort()});
    m_server_thread = std::thread([this] {
      const auto work = asio::make_work_guard(m_server_context);
      m_server_context.run();
    });
    m_client_thread = std::thread([this] {
      const auto work = asio::make_work_guard(m_client_context);
      m_client_context.run();
    });
  }

  std::future<wire::Reply> StartCall(
      const std::string& path, const wire::Bytes& body, milliseconds timeout,
      const wire::Identity& recipient = {}) {
    const auto reply = std::make_shared<std::promise<wire::Reply>>();
    asio::post(m_client_context, [=, this] {
      m_client->Send({path, body, recipient}, timeout,
                     [reply](wire::Reply received) {
                       reply->set_value(std::move(received));
                     });
    });
    return reply->get_future();
  }

  wire::Reply Call(const std::string& path, const wire::Bytes& body,
                   milliseconds timeout = std::chrono::seconds(5),
                   const wire::Identity& recipient = {}) {
    return StartCall(path, body, timeout, recipient).get();
  }

  void teardown() override {
    base::RuntimeClock::Resume();
    asio::post(m_client_context, [this] {
      m_client.reset();
      m_client_context.stop();
    });
    asio::post(m_server_context, [this] {
      m_unanswered_replies.clear();
      m_server.reset();
      m_server_context.stop();
    });
    m_client_thread.join();
    m_server_thread.join();
  }
};

static void EchoCall(const wire::Call& call, const wire::OnReply& reply) {
  if (call.path == "/refuse") {
    reply({ReplyStatus::kRefused, {}});
    return;
  }
  reply({ReplyStatus::kOk, call.body});
}

TEST(Link, TransfersMessagesOfVariousSizes) {
  Start(EchoCall);
  for (size_t size : {0UL, 1UL, 16'384UL, 100'000UL, 3'000'000UL}) {
    const wire::Reply reply = Call("/echo", MakeBytes(size));
    CHECK_TRUE(reply.status == ReplyStatus::kOk);
    CHECK_TRUE(reply.body == MakeBytes(size));
  }
  CHECK_TRUE(Call("/refuse", {}).status == ReplyStatus::kRefused);
}

TEST(Link, TransfersTheIdentitiesOfRecipientAndSender) {
  wire::Identity named;
  Start([&named](const wire::Call& call, const wire::OnReply& reply) {
    named = call.recipient;
    reply({ReplyStatus::kMisdirected, {}, {"system-2", "incarnation-2"}});
  });
  const wire::Reply reply =
      Call("/echo", {1}, std::chrono::seconds(5), {"system-1", ""});
  CHECK_TRUE((named == wire::Identity{"system-1", ""}));
  CHECK_TRUE(reply.status == ReplyStatus::kMisdirected);
  CHECK_TRUE((reply.sender == wire::Identity{"system-2", "incarnation-2"}));
}

TEST(Link, ConcurrentCallsReceiveTheirOwnReplies) {
  Start(EchoCall);
  std::atomic<int> matching_replies{0};
  std::promise<void> all_replied;
  constexpr int kCalls = 200;
  std::atomic<int> reply_count{0};
  asio::post(m_client_context, [&] {
    for (int index = 0; index < kCalls; ++index) {
      const wire::Bytes body = {static_cast<uint8_t>(index)};
      m_client->Send({"/echo", body}, std::chrono::seconds(5),
                     [&, body](const wire::Reply& reply) {
                       matching_replies += reply.body == body ? 1 : 0;
                       if (++reply_count == kCalls) {
                         all_replied.set_value();
                       }
                     });
    }
  });
  all_replied.get_future().get();
  LONGS_EQUAL(kCalls, matching_replies.load());
}

TEST(Link, TimedOutCallIsUnreachableAndNextCallOpensNewConnection) {
  Start([this](const wire::Call& call, wire::OnReply reply) {
    if (m_unanswered_replies.empty()) {
      m_unanswered_replies.push_back(std::move(reply));
      m_first_call_received.set_value();
      return;
    }
    reply({ReplyStatus::kOk, call.body});
  });
  base::RuntimeClock::Pause();
  std::future<wire::Reply> silent = StartCall("/silent", {1}, milliseconds(50));
  CHECK_TRUE(m_first_call_received.get_future().wait_for(
                 std::chrono::seconds(30)) == std::future_status::ready);
  CHECK_TRUE(silent.wait_for(milliseconds(0)) == std::future_status::timeout);
  base::RuntimeClock::Advance(milliseconds(50));
  CHECK_TRUE(silent.get().status == ReplyStatus::kUnreachable);
  base::RuntimeClock::Resume();
  // A late reply on the closed connection must not reach the next call.
  asio::post(m_server_context, [this] {
    m_unanswered_replies.at(0)({ReplyStatus::kOk, {9}});
  });
  const wire::Reply reply = Call("/echo", {2});
  CHECK_TRUE(reply.body == wire::Bytes{2});
}

TEST(Link, ClosedServerIsUnreachableUntilItListensAgain) {
  Start(EchoCall);
  const base::Endpoint endpoint = m_client->GetServer();
  CHECK_TRUE(Call("/echo", {1}).status == ReplyStatus::kOk);
  std::promise<void> closed;
  asio::post(m_server_context, [&] {
    m_server.reset();
    closed.set_value();
  });
  closed.get_future().get();
  CHECK_TRUE(Call("/echo", {1}).status == ReplyStatus::kUnreachable);
  std::promise<void> reopened;
  asio::post(m_server_context, [&] {
    m_server =
        std::make_unique<wire::Server>(m_server_context, endpoint, EchoCall);
    reopened.set_value();
  });
  reopened.get_future().get();
  CHECK_TRUE(Call("/echo", {1}).status == ReplyStatus::kOk);
}

TEST(Link, NonHttp2DataClosesOnlyItsConnection) {
  Start(EchoCall);
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  socket.connect(
      {asio::ip::make_address("127.0.0.1"), m_client->GetServer().port});
  asio::write(socket, asio::buffer(std::string(500, 'x')));
  std::error_code error;
  std::string received;
  asio::read(socket, asio::dynamic_buffer(received), error);
  CHECK_TRUE(static_cast<bool>(error));
  CHECK_TRUE(Call("/echo", {1}).status == ReplyStatus::kOk);
}

TEST(Link, MessageOverSizeLimitIsRejected) {
  Start(EchoCall);
  CHECK_TRUE(Call("/echo", MakeBytes(wire::kMaxMessageBytes + 1)).status ==
             ReplyStatus::kUnreachable);
  CHECK_TRUE(Call("/echo", {1}).status == ReplyStatus::kOk);
}
