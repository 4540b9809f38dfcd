#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <optional>

#include "libs/net/http_client.h"
#include "tests/auto/support/endless_server.h"
#include "tests/auto/support/port_range.h"
#include "tests/auto/support/story.h"

namespace ibisladder::net {
namespace {

using testing::Section;

const testing::PortRange kPorts;
constexpr std::size_t kMaxAnswerBytes = 1U << 20U;
/// What the kernel's buffers on both sides hold, and libevent's.
constexpr std::size_t kBufferedBytes = 12U << 20U;

HttpCall MakeCall(const Endpoint& endpoint) {
  HttpCall call;
  call.id = 1;
  call.endpoint = endpoint;
  call.timeout = Millis(700);
  call.max_answer_bytes = kMaxAnswerBytes;
  return call;
}

class EndlessAnswersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndlessAnswersTest);
  CPPUNIT_TEST(AnswersWithoutEndAreCutOff);
  CPPUNIT_TEST(BytesBehindAnAnswerEndTheConnection);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against memory that grows until the process is ended, and calls
  /// that never end, since a peer sends without end.
  void AnswersWithoutEndAreCutOff() {
    std::signal(SIGPIPE, SIG_IGN);
    int port = 0;
    for (const auto& answer : testing::EndlessAnswers()) {
      Section(answer.title, [&] {
        auto loop = std::move(*EventLoop::Create());
        const Endpoint endpoint{"127.0.0.1", kPorts.At(++port)};
        const testing::EndlessServer server(*loop, endpoint, answer);
        HttpClient client(*loop);
        std::optional<HttpFailure> failure;
        bool is_answered = false;
        client.signal_answer().connect(
            [&](HttpAnswer& /*answer*/) { is_answered = true; });
        client.signal_error().connect(
            [&](const HttpError& it) { failure = it.failure; });
        client.Send(MakeCall(endpoint));
        const Timer poll(*loop, Timer::Kind::kPeriodic, Millis(5), [&] {
          if (server.closed() > 0 && failure) loop->Stop();
        });
        const Timer guard(*loop, Timer::Kind::kOnce, Seconds(5),
                          [&] { loop->Stop(); });
        loop->Run();
        CPPUNIT_ASSERT(!is_answered);
        CPPUNIT_ASSERT(failure.has_value());
        CPPUNIT_ASSERT_EQUAL(1, server.closed());
        CPPUNIT_ASSERT_MESSAGE(
            std::to_string(server.sent()),
            server.sent() < kMaxAnswerBytes + kBufferedBytes);
      });
    }
  }

  /// Guards against the same behind a whole answer, on a connection that is
  /// kept for further calls.
  void BytesBehindAnAnswerEndTheConnection() {
    std::signal(SIGPIPE, SIG_IGN);
    int port = 40;
    for (const auto& answer : testing::EndlessBytesBehindAnswers()) {
      Section(answer.title, [&] {
        auto loop = std::move(*EventLoop::Create());
        const Endpoint endpoint{"127.0.0.1", kPorts.At(++port)};
        const testing::EndlessServer server(*loop, endpoint, answer);
        HttpClient client(*loop);
        client.Send(MakeCall(endpoint));
        const Timer poll(*loop, Timer::Kind::kPeriodic, Millis(5), [&] {
          if (server.closed() > 0) loop->Stop();
        });
        const Timer guard(*loop, Timer::Kind::kOnce, Seconds(5),
                          [&] { loop->Stop(); });
        loop->Run();
        CPPUNIT_ASSERT_EQUAL(1, server.closed());
        CPPUNIT_ASSERT_MESSAGE(
            std::to_string(server.sent()),
            server.sent() < kMaxAnswerBytes + kBufferedBytes);
      });
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessAnswersTest);

}  // namespace
}  // namespace ibisladder::net
