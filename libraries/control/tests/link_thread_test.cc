#include "control/link_thread.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <future>

namespace base = shallotwick::base;
namespace control = shallotwick::control;
namespace wire = shallotwick::link;

using wire::ReplyStatus;

// The receiver is incarnation "i1" of system "ours".
TEST_GROUP(LinkThread) {
  control::LinkThread m_receiver{"i1"};
  control::LinkThread m_sender;
  std::atomic<int> m_verified_calls{0};
  std::atomic<int> m_unverified_calls{0};
  std::string m_address;

  void setup() override {
    m_receiver.SetSystem("ours");
    m_address = Listen(m_receiver);
  }
  void teardown() override {
    m_sender.Stop();
    m_receiver.Stop();
  }

  std::string Listen(control::LinkThread & receiver) {
    const uint16_t port = receiver.Listen(
        base::ParseEndpoint("127.0.0.1:0"),
        [this](const wire::Call& call, const wire::OnReply& reply) {
          ++(call.is_verified ? m_verified_calls : m_unverified_calls);
          reply({ReplyStatus::kOk, call.body});
        });
    return "127.0.0.1:" + std::to_string(port);
  }

  wire::Reply Send(const control::LinkPeer& peer) {
    std::promise<wire::Reply> reply;
    m_sender.Send(peer, {"/echo", {7}}, std::chrono::seconds(5),
                  [&reply](wire::Reply received) {
                    reply.set_value(std::move(received));
                  });
    return reply.get_future().get();
  }
};

TEST(LinkThread, ACallForAnotherSystemIsRefusedAndNotRepeated) {
  m_sender.SetSystem("theirs");
  CHECK_TRUE(Send({m_address}).status == ReplyStatus::kMisdirected);
  // The receiver would take the call now.
  m_receiver.SetSystem("theirs");
  CHECK_TRUE(Send({m_address}).status == ReplyStatus::kMisdirected);
  LONGS_EQUAL(0, m_verified_calls + m_unverified_calls);
  CHECK_TRUE(Send({m_address, "i1"}).status == ReplyStatus::kOk);
}

TEST(LinkThread, ACallForAnotherIncarnationIsRefused) {
  m_sender.SetSystem("ours");
  CHECK_TRUE(Send({m_address, "i0"}).status == ReplyStatus::kMisdirected);
  LONGS_EQUAL(0, m_verified_calls + m_unverified_calls);
  const wire::Reply reply = Send({m_address, "i1"});
  CHECK_TRUE(reply.status == ReplyStatus::kOk);
  CHECK_TRUE(reply.is_verified);
  LONGS_EQUAL(1, m_verified_calls.load());
}

TEST(LinkThread, CallsWithoutIdentityAreHandledButNotVerified) {
  const wire::Reply reply = Send({m_address});
  CHECK_TRUE(reply.status == ReplyStatus::kOk);
  CHECK_FALSE(reply.is_verified);
  CHECK_TRUE((reply.sender == wire::Identity{"ours", "i1"}));
  LONGS_EQUAL(1, m_unverified_calls.load());
}

TEST(LinkThread, AReplyWithoutIdentityIsNotVerified) {
  control::LinkThread receiver;
  const std::string address = Listen(receiver);
  m_sender.SetSystem("ours");
  const wire::Reply reply = Send({address, "i0"});
  CHECK_TRUE(reply.status == ReplyStatus::kOk);
  CHECK_FALSE(reply.is_verified);
  receiver.Stop();
}

TEST(LinkThread, AReplyOfAnotherProcessIsNotTaken) {
  asio::io_context context{1};
  wire::Server server(context, base::ParseEndpoint("127.0.0.1:0"),
                      [](const wire::Call& call, const wire::OnReply& reply) {
                        reply({ReplyStatus::kOk, call.body, {"theirs", "i2"}});
                      });
  std::thread thread([&context] { context.run(); });
  m_sender.SetSystem("ours");
  const wire::Reply reply =
      Send({"127.0.0.1:" + std::to_string(server.GetPort())});
  context.stop();
  thread.join();
  CHECK_TRUE(reply.status == ReplyStatus::kMisdirected);
  CHECK_TRUE(reply.body.empty());
}

TEST(LinkThread, ASystemThatIsKnownIsNotReplacedByThatOfAPeer) {
  const auto adopt = [this](const std::string& system) {
    std::promise<void> done;
    m_sender.Post([&] {
      m_sender.AdoptSystem(system);
      done.set_value();
    });
    done.get_future().get();
  };
  adopt("ours");
  adopt("theirs");
  CHECK_TRUE(Send({m_address}).is_verified);
  STRCMP_EQUAL("ours", m_sender.SetSystem("theirs").c_str());
}
