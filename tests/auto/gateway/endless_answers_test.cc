#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <optional>

#include "plugins/gateway/server_connections.h"
#include "tests/auto/support/endless_server.h"
#include "tests/auto/support/port_range.h"
#include "tests/auto/support/story.h"

namespace ibisladder::gateway {
namespace {

using ibisladder::testing::EndlessServer;
using ibisladder::testing::Section;

const ibisladder::testing::PortRange kPorts;
constexpr char kRequest[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
/// What the kernel's buffers on both sides hold, and libevent's.
constexpr std::size_t kBufferedBytes = 12U << 20U;

AnswerMatch IsForAnyRequest(const http1::Response& /*response*/,
                            const std::string& /*id*/) {
  return AnswerMatch::kMatches;
}

class EndlessAnswersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndlessAnswersTest);
  CPPUNIT_TEST(AnswersWithoutEndAreCutOff);
  CPPUNIT_TEST(BytesBehindAnAnswerEndTheConnection);
  CPPUNIT_TEST(ManyLargeAnswersStayWithinTheMemory);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against memory that grows until the process is ended, since a
  /// backend server sends without end.
  void AnswersWithoutEndAreCutOff() {
    std::signal(SIGPIPE, SIG_IGN);
    int port = 0;
    for (const auto& answer : ibisladder::testing::EndlessAnswers()) {
      Section(answer.title, [&] {
        auto loop = std::move(*net::EventLoop::Create());
        const Endpoint endpoint{"127.0.0.1", kPorts.At(++port)};
        const EndlessServer server(*loop, endpoint, answer);
        http1::Limits limits;
        limits.body_bytes = 1U << 20U;
        ServerConnections connections(*loop, limits, &IsForAnyRequest);
        std::optional<AttemptFailure> failure;
        connections.signal_failure().connect(
            [&](const ExchangeFailure& it) { failure = it.failure; });
        connections.Send({AttemptId(1), BackendServerId(1), endpoint, kRequest,
                          false, "id"});
        RunUntil(*loop, [&] { return server.closed() > 0 && failure; });
        CPPUNIT_ASSERT_MESSAGE(failure ? FailureName(*failure) : "no failure",
                               failure == AttemptFailure::kTruncated);
        CPPUNIT_ASSERT_EQUAL(1, server.closed());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, connections.open_connections());
        const std::size_t allowed =
            2 * limits.body_bytes + limits.header_bytes + kBufferedBytes;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(server.sent()),
                               server.sent() < allowed);
      });
    }
  }

  /// Guards against the same behind a whole answer, which is passed on.
  void BytesBehindAnAnswerEndTheConnection() {
    std::signal(SIGPIPE, SIG_IGN);
    int port = 20;
    for (const auto& answer :
         ibisladder::testing::EndlessBytesBehindAnswers()) {
      Section(answer.title, [&] {
        auto loop = std::move(*net::EventLoop::Create());
        const Endpoint endpoint{"127.0.0.1", kPorts.At(++port)};
        const EndlessServer server(*loop, endpoint, answer);
        ServerConnections connections(*loop, {}, &IsForAnyRequest);
        std::string body;
        connections.signal_answer().connect(
            [&](AttemptId, http1::Response& it) { body += it.body; });
        connections.Send({AttemptId(1), BackendServerId(1), endpoint, kRequest,
                          false, "id"});
        RunUntil(*loop, [&] { return server.closed() > 0; });
        CPPUNIT_ASSERT_EQUAL(std::string("ab"), body);
        CPPUNIT_ASSERT_EQUAL(1, server.closed());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, connections.open_connections());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, connections.received_bytes());
        CPPUNIT_ASSERT_MESSAGE(std::to_string(server.sent()),
                               server.sent() < kBufferedBytes);
      });
    }
  }

  /// Guards against many answers that are within the limit of one, but together
  /// exceed the memory of the instance.
  void ManyLargeAnswersStayWithinTheMemory() {
    std::signal(SIGPIPE, SIG_IGN);
    constexpr int kExchanges = 12;
    auto loop = std::move(*net::EventLoop::Create());
    std::vector<std::unique_ptr<EndlessServer>> servers;
    ServerConnections connections(*loop, {}, &IsForAnyRequest);
    int failures = 0;
    std::size_t most = 0;
    connections.signal_failure().connect(
        [&](const ExchangeFailure&) { ++failures; });
    for (int i = 0; i < kExchanges; ++i) {
      const Endpoint endpoint{"127.0.0.1", kPorts.At(40 + i)};
      servers.push_back(std::make_unique<EndlessServer>(
          *loop, endpoint,
          ibisladder::testing::EndlessAnswer{"", "HTTP/1.1 200 OK\r\n\r\n",
                                             "x"}));
      connections.Send({AttemptId(static_cast<std::uint64_t>(i + 1)),
                        BackendServerId(static_cast<std::uint64_t>(i + 1)),
                        endpoint, kRequest, false, "id"});
    }
    RunUntil(*loop, [&] {
      most = std::max(most, connections.received_bytes());
      return failures == kExchanges;
    });
    CPPUNIT_ASSERT_EQUAL(kExchanges, failures);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(most),
                           most <= std::size_t{65} << 20U);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, connections.received_bytes());
  }

 private:
  template <typename Condition>
  static void RunUntil(net::EventLoop& loop, const Condition& condition) {
    const net::Timer poll(loop, net::Timer::Kind::kPeriodic, Millis(1), [&] {
      if (condition()) loop.Stop();
    });
    const net::Timer guard(loop, net::Timer::Kind::kOnce, Seconds(10),
                           [&] { loop.Stop(); });
    loop.Run();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessAnswersTest);

}  // namespace
}  // namespace ibisladder::gateway
