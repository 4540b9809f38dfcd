#include "tools/ibisladder/http_sender.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

#include "libs/net/frame_stream.h"
#include "libs/net/http_server.h"
#include "libs/rpc/replies.h"
#include "tests/auto/support/port_range.h"
#include "tests/auto/support/story.h"
#include "tools/ibisladder/failover.h"

// A change that was not sent is reported as not made. These tests guard against
// a sender that reports a call as not sent although the instance may have
// executed it.
namespace ibisladder::tool {
namespace {

using testing::Section;

const testing::PortRange kPorts;
const Endpoint kInstance{"127.0.0.1", kPorts.At(1)};
const Endpoint kUnusedEndpoint{"127.0.0.1", kPorts.At(2)};
constexpr const char* kToken = "0123456789abcdef";

/// Runs an event loop in its own thread until destroyed.
class LoopThread {
 public:
  explicit LoopThread(net::EventLoop& loop)
      : loop_(loop), thread_([&loop] { loop.Run(); }) {}
  ~LoopThread() {
    loop_.Stop();
    thread_.join();
  }
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

 private:
  net::EventLoop& loop_;
  std::thread thread_;
};

/// Answers a Version call with the right token and a readable body, and refuses
/// other calls.
void AnswerVersionCall(net::HttpServer& server, const net::HttpRequest& it) {
  const auto field = [&](const char* name) {
    const auto* value = net::FindHeader(it.headers, name);
    return value == nullptr ? std::string() : *value;
  };
  constexpr auto kType = rpc::ContentType::kProtobuf;
  std::string body = rpc::EncodeReply(rpc::HandleVersion(), kType);
  const auto call = rpc::DecodeCall(it.target, field("Content-Type"), it.body);
  if (!call) body = rpc::EncodeErrorReply(call.error(), kType);
  if (!rpc::IsAuthorised(field("Authorization"), kToken)) {
    body = rpc::EncodeErrorReply({ResultCode::kUnauthorised, "", ""}, kType);
  }
  server.Reply(it.id, 200, {}, body);
}

class HttpSenderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpSenderTest);
  CPPUNIT_TEST(DeliversReplies);
  CPPUNIT_TEST(DistinguishesFailures);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DeliversReplies() {
    auto loop = std::move(*net::EventLoop::Create());
    auto server = std::move(*net::HttpServer::Listen(*loop, kInstance, {}));
    server->signal_request().connect([&](net::HttpRequest& request) {
      AnswerVersionCall(*server, request);
    });
    const LoopThread thread(*loop);
    Section("a call with the token is answered", [] {
      const auto result =
          MakeHttpSender(kToken)(kInstance, rpc::VersionRequest());
      CPPUNIT_ASSERT(result.delivery == Delivery::kAnswered);
      rpc::VersionReply reply;
      CPPUNIT_ASSERT(rpc::DecodeReply(result.body, reply));
      CPPUNIT_ASSERT(reply.program().starts_with("ibisladder "));
    });
    Section("a wrong token is refused, which is an answer too", [] {
      const auto result =
          MakeHttpSender("another-token-here")(kInstance, rpc::ShowRequest());
      CPPUNIT_ASSERT(result.delivery == Delivery::kAnswered);
      CPPUNIT_ASSERT(CodeOfReply(result.body) == ResultCode::kUnauthorised);
    });
  }

  void DistinguishesFailures() {
    const Sender send = MakeHttpSender(kToken);
    Section("no connection: nothing was sent", [&] {
      const auto result = send(kUnusedEndpoint, rpc::ApplyRequest());
      CPPUNIT_ASSERT(result.delivery == Delivery::kNotSent);
      CPPUNIT_ASSERT(
          result.detail.starts_with(FormatEndpoint(kUnusedEndpoint) + ": "));
    });
    Section("the connection is lost after the call: it may have run", [&] {
      auto loop = std::move(*net::EventLoop::Create());
      // Reads the call as a frame over its size limit and closes the
      // connection.
      auto peer = std::move(*net::FrameServer::Listen(*loop, kInstance, 1));
      const LoopThread thread(*loop);
      const auto result = send(kInstance, rpc::ApplyRequest());
      CPPUNIT_ASSERT(result.delivery == Delivery::kReplyLost);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpSenderTest);

}  // namespace
}  // namespace ibisladder::tool
