#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <optional>

#include "plugins/gateway/server_connections.h"
#include "tests/auto/gateway/raw_socket.h"
#include "tests/auto/support/port_range.h"
#include "tests/auto/support/story.h"

namespace ibisladder::gateway {
namespace {

using ibisladder::testing::RawSocket;
using ibisladder::testing::Section;

const ibisladder::testing::PortRange kPorts;

constexpr char kRequest[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr char kAnswer[] = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
/// More than the kernel takes for a connection whose peer does not read.
constexpr std::size_t kLargeRequestBytes = std::size_t{16} << 20U;
constexpr int kMaxTurns = 1000;

AnswerMatch IsForAnyRequest(const http1::Response& /*response*/,
                            const std::string& /*id*/) {
  return AnswerMatch::kMatches;
}

/// Connections to one server; the test runs single turns of their event loop.
struct Client {
  explicit Client(std::uint16_t port) : endpoint{"127.0.0.1", port} {
    std::signal(SIGPIPE, SIG_IGN);
    servers.signal_answer().connect([this](AttemptId id, http1::Response& it) {
      answered = id;
      status = it.status;
    });
    servers.signal_failure().connect(
        [this](const ExchangeFailure& it) { failure = it; });
  }

  void Send(std::uint64_t attempt, const std::string& bytes) {
    servers.Send({AttemptId(attempt), BackendServerId(1), endpoint, bytes,
                  false, "request-" + std::to_string(attempt)});
  }
  void Turn() { event_base_loop(loop->base(), EVLOOP_ONCE | EVLOOP_NONBLOCK); }
  /// Runs turns until the condition holds. Returns whether it does.
  template <typename Condition>
  bool TurnUntil(const Condition& condition) {
    for (int i = 0; i < kMaxTurns && !condition(); ++i) {
      Turn();
      usleep(100);
    }
    return condition();
  }

  std::unique_ptr<net::EventLoop> loop = std::move(*net::EventLoop::Create());
  ServerConnections servers{*loop, {}, &IsForAnyRequest};
  Endpoint endpoint;
  std::optional<AttemptId> answered;
  int status = 0;
  std::optional<ExchangeFailure> failure;
};

/// Carries out a first exchange. Returns the server's end of the connection,
/// which is idle afterwards.
RawSocket LeaveIdleConnection(Client& client, const RawSocket& listener) {
  client.Send(1, kRequest);
  RawSocket peer = listener.Accept();
  CPPUNIT_ASSERT(client.TurnUntil([&] { return peer.IsReadable(); }));
  peer.Read();
  peer.Write(kAnswer);
  CPPUNIT_ASSERT(client.TurnUntil([&] { return client.answered.has_value(); }));
  return peer;
}

class SentBytesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SentBytesTest);
  CPPUNIT_TEST(PartlyWrittenRequestIsNotReportedAsUnsent);
  CPPUNIT_TEST(ConnectionWhoseEndIsReadIsNotUsed);
  CPPUNIT_TEST(BytesOfTheLatestRequestAreCounted);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against at-most-once requests that run twice: a server may execute
  /// a request of which the kernel holds the rest back.
  void PartlyWrittenRequestIsNotReportedAsUnsent() {
    Client client(kPorts.At(1));
    const RawSocket listener = RawSocket::Listen(kPorts.At(1));
    client.Send(1, kRequest + std::string(kLargeRequestBytes, 'x'));
    RawSocket peer = listener.Accept();
    CPPUNIT_ASSERT(client.TurnUntil([&] { return peer.IsReadable(); }));
    peer.Close();
    CPPUNIT_ASSERT(
        client.TurnUntil([&] { return client.failure.has_value(); }));
    CPPUNIT_ASSERT(client.failure->failure == AttemptFailure::kConnectionLost);
    CPPUNIT_ASSERT(client.failure->written > 0);
    CPPUNIT_ASSERT(client.failure->unwritten > 0);
  }

  /// Guards against 502 answers to requests of which no byte was sent: the
  /// connection's end has been read, but not reported, when a request is sent.
  void ConnectionWhoseEndIsReadIsNotUsed() {
    Client client(kPorts.At(2));
    const RawSocket listener = RawSocket::Listen(kPorts.At(2));
    RawSocket peer = LeaveIdleConnection(client, listener);
    client.answered.reset();
    peer.Close();
    // In one turn: the end is read, the timer sends, the end is reported.
    const net::Timer send(*client.loop, net::Timer::Kind::kOnce,
                          Duration::zero(), [&] { client.Send(2, kRequest); });
    CPPUNIT_ASSERT(client.TurnUntil([&] { return listener.IsReadable(); }));
    const RawSocket next = listener.Accept();
    CPPUNIT_ASSERT(client.TurnUntil([&] { return next.IsReadable(); }));
    next.Write(kAnswer);
    CPPUNIT_ASSERT(
        client.TurnUntil([&] { return client.answered == AttemptId(2); }));
    CPPUNIT_ASSERT(!client.failure);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, client.servers.opened());
  }

  /// Guards against a count that is left from a connection's earlier request.
  void BytesOfTheLatestRequestAreCounted() {
    Client client(kPorts.At(3));
    const RawSocket listener = RawSocket::Listen(kPorts.At(3));
    RawSocket peer = LeaveIdleConnection(client, listener);
    const std::string longer = std::string(kRequest) + kRequest;
    client.Send(2, longer);
    CPPUNIT_ASSERT(client.TurnUntil([&] { return peer.IsReadable(); }));
    peer.Close();
    CPPUNIT_ASSERT(
        client.TurnUntil([&] { return client.failure.has_value(); }));
    CPPUNIT_ASSERT(client.failure->failure == AttemptFailure::kConnectionLost);
    CPPUNIT_ASSERT_EQUAL(longer.size(), client.failure->written);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, client.failure->unwritten);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SentBytesTest);

}  // namespace
}  // namespace ibisladder::gateway
