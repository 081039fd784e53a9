#include <CppUTest/TestHarness.h>

#include <asio.hpp>
#include <future>
#include <thread>

#include "link/client.h"
#include "link/server.h"

namespace base = shallotwick::base;
namespace wire = shallotwick::link;

using std::chrono::milliseconds;
using wire::ReplyStatus;

namespace {

wire::Bytes MakeBytes(size_t size) {
  wire::Bytes bytes(size);
  for (size_t at = 0; at < size; ++at) {
    bytes[at] = static_cast<uint8_t>(at * 31);
  }
  return bytes;
}

}  // namespace

// Server and client each on a thread of its own.
TEST_GROUP(Link) {
  asio::io_context m_server_context{1};
  asio::io_context m_client_context{1};
  std::unique_ptr<wire::Server> m_server;
  std::unique_ptr<wire::Client> m_client;
  std::vector<wire::OnReply> m_kept;
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

  wire::Reply Call(const std::string& path, const wire::Bytes& body,
                   milliseconds timeout = std::chrono::seconds(5)) {
    std::promise<wire::Reply> reply;
    asio::post(m_client_context, [&] {
      m_client->Send({path, body}, timeout, [&reply](wire::Reply received) {
        reply.set_value(std::move(received));
      });
    });
    return reply.get_future().get();
  }

  void teardown() override {
    asio::post(m_client_context, [this] {
      m_client.reset();
      m_client_context.stop();
    });
    asio::post(m_server_context, [this] {
      m_kept.clear();
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

TEST(Link, CarriesMessagesOfAllSizes) {
  Start(EchoCall);
  for (size_t size : {0UL, 1UL, 16'384UL, 100'000UL, 3'000'000UL}) {
    const wire::Reply reply = Call("/echo", MakeBytes(size));
    CHECK_TRUE(reply.status == ReplyStatus::kOk);
    CHECK_TRUE(reply.body == MakeBytes(size));
  }
  CHECK_TRUE(Call("/refuse", {}).status == ReplyStatus::kRefused);
}

TEST(Link, ManyCallsAtOnceGetTheirOwnReplies) {
  Start(EchoCall);
  std::atomic<int> right{0};
  std::promise<void> all;
  constexpr int kCalls = 200;
  std::atomic<int> ended{0};
  asio::post(m_client_context, [&] {
    for (int number = 0; number < kCalls; ++number) {
      const wire::Bytes body = {static_cast<uint8_t>(number)};
      m_client->Send({"/echo", body}, std::chrono::seconds(5),
                     [&, body](const wire::Reply& reply) {
                       right += reply.body == body ? 1 : 0;
                       if (++ended == kCalls) {
                         all.set_value();
                       }
                     });
    }
  });
  all.get_future().get();
  LONGS_EQUAL(kCalls, right.load());
}

TEST(Link, ACallWithoutAReplyIsUnreachableAndTheNextGetsANewConnection) {
  std::atomic<int> calls{0};
  Start([&](const wire::Call& call, wire::OnReply reply) {
    if (++calls == 1) {
      m_kept.push_back(std::move(reply));
      return;
    }
    reply({ReplyStatus::kOk, call.body});
  });
  CHECK_TRUE(Call("/silent", {1}, milliseconds(50)).status ==
             ReplyStatus::kUnreachable);
  // The late reply meets no other call.
  asio::post(m_server_context, [this] {
    m_kept.at(0)({ReplyStatus::kOk, {9}});
  });
  const wire::Reply reply = Call("/echo", {2});
  CHECK_TRUE(reply.body == wire::Bytes{2});
}

TEST(Link, AServerThatIsGoneIsUnreachableUntilItIsBack) {
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
  std::promise<void> back;
  asio::post(m_server_context, [&] {
    m_server =
        std::make_unique<wire::Server>(m_server_context, endpoint, EchoCall);
    back.set_value();
  });
  back.get_future().get();
  CHECK_TRUE(Call("/echo", {1}).status == ReplyStatus::kOk);
}

TEST(Link, BytesThatAreNoHttp2CloseTheConnectionOnly) {
  Start(EchoCall);
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  socket.connect(
      {asio::ip::make_address("127.0.0.1"), m_client->GetServer().port});
  asio::write(socket, asio::buffer(std::string(500, 'x')));
  std::error_code error;
  std::string answer;
  asio::read(socket, asio::dynamic_buffer(answer), error);
  CHECK_TRUE(static_cast<bool>(error));
  CHECK_TRUE(Call("/echo", {1}).status == ReplyStatus::kOk);
}

TEST(Link, AMessageOverTheLimitIsNotTaken) {
  Start(EchoCall);
  CHECK_TRUE(Call("/echo", MakeBytes(wire::kLargestMessageBytes + 1)).status ==
             ReplyStatus::kUnreachable);
  CHECK_TRUE(Call("/echo", {1}).status == ReplyStatus::kOk);
}
