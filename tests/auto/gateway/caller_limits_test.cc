#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>

#include "plugins/gateway/caller_connections.h"
#include "tests/auto/gateway/raw_socket.h"
#include "tests/auto/support/port_range.h"
#include "tests/auto/support/story.h"

namespace ibisladder::gateway {
namespace {

using ibisladder::testing::RawSocket;
using ibisladder::testing::Section;

const ibisladder::testing::PortRange kPorts;

constexpr char kGet[] = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr int kMaxTurns = 2000;

/// Connections under test; answers each request at once with `body`.
struct Listener {
  explicit Listener(std::uint16_t port) {
    callers = std::move(*CallerConnections::Listen(*loop, {"127.0.0.1", port},
                                                   CallId(), guard));
    callers->signal_request().connect([this](CallId id, http1::Request& it) {
      requests.push_back(std::move(it));
      if (answers) callers->Answer(id, {200, {}, body}, false);
    });
    callers->signal_callers_left().connect(
        [this](const std::vector<CallId>& it) { left += it.size(); });
  }
  template <typename Condition>
  bool TurnUntil(const Condition& condition) {
    for (int i = 0; i < kMaxTurns && !condition(); ++i) {
      event_base_loop(loop->base(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
      usleep(100);
    }
    return condition();
  }

  std::unique_ptr<net::EventLoop> loop = std::move(*net::EventLoop::Create());
  ConnectionGuardPtr guard =
      std::make_shared<ConnectionGuard>(memory::MakeBudget(0));
  std::unique_ptr<CallerConnections> callers;
  std::string body;
  bool answers = true;
  std::vector<http1::Request> requests;
  /// Unanswered requests of closed connections.
  std::size_t left = 0;
};

class CallerLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerLimitsTest);
  CPPUNIT_TEST(CallersThatDoNotReadAreClosed);
  CPPUNIT_TEST(IdleConnectionsAreClosedFirst);
  CPPUNIT_TEST(RefusedBodiesLeaveTheConnectionOpen);
  CPPUNIT_TEST(AllMemoryIsGivenBack);
  CPPUNIT_TEST(RequestsAreRefusedAtOnceWhileMemoryIsShort);
  CPPUNIT_TEST(CloseOfAConnectionThatIsNotReadIsNoticed);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against answers that are kept for ever for callers that stop
  /// reading.
  void CallersThatDoNotReadAreClosed() {
    Listener listener(kPorts.At(1));
    listener.body = std::string(std::size_t{16} << 20U, 'x');
    const RawSocket caller = RawSocket::Connect(kPorts.At(1));
    caller.Write(kGet);
    CPPUNIT_ASSERT(
        listener.TurnUntil([&] { return !listener.requests.empty(); }));
    const TimePoint now = net::MonotonicNow();
    listener.callers->Sweep(now);
    listener.callers->Sweep(now + Seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, listener.callers->open_connections());
    listener.callers->Sweep(now + Seconds(40));
    listener.callers->Sweep(now + Seconds(41));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, listener.callers->open_connections());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         listener.guard->count(GuardReason::kSlowReader));
  }

  /// Guards against connections that use up the process's descriptors, and
  /// against closing a caller whose request is in progress for an idle one.
  void IdleConnectionsAreClosedFirst() {
    Listener listener(kPorts.At(2));
    listener.callers->SetMaxConnections(2);
    const RawSocket busy = RawSocket::Connect(kPorts.At(2));
    busy.Write("GET /a HTTP/1.1\r\nHo");
    const auto are_open = [&](std::size_t n) {
      return listener.callers->open_connections() == n;
    };
    CPPUNIT_ASSERT(listener.TurnUntil([&] { return are_open(1); }));
    const RawSocket idle = RawSocket::Connect(kPorts.At(2));
    CPPUNIT_ASSERT(listener.TurnUntil([&] { return are_open(2); }));
    const RawSocket third = RawSocket::Connect(kPorts.At(2));
    third.Write(kGet);
    CPPUNIT_ASSERT(listener.TurnUntil([&] { return third.IsReadable(); }));
    CPPUNIT_ASSERT(idle.IsReadable() && idle.Read().empty());
    busy.Write("st: h\r\n\r\n");
    CPPUNIT_ASSERT(listener.TurnUntil([&] { return busy.IsReadable(); }));
    CPPUNIT_ASSERT(are_open(2));
  }

  /// Guards against a second answer to a request that was answered before its
  /// body, and against closing a caller that sends it.
  void RefusedBodiesLeaveTheConnectionOpen() {
    Listener listener(kPorts.At(3));
    listener.callers->SetBodyFilter(
        [](const http1::Request&) { return false; });
    const RawSocket caller = RawSocket::Connect(kPorts.At(3));
    caller.Write("POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nabc");
    CPPUNIT_ASSERT(listener.TurnUntil([&] { return caller.IsReadable(); }));
    CPPUNIT_ASSERT(caller.Read().starts_with("HTTP/1.1 200"));
    caller.Write(std::string("de") + kGet);
    CPPUNIT_ASSERT(listener.TurnUntil([&] { return caller.IsReadable(); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, listener.requests.size());
    CPPUNIT_ASSERT(listener.requests[0].is_body_dropped);
    Section("one that stops is closed without another answer", [&] {
      caller.Read();
      caller.Write("POST /b HTTP/1.1\r\nContent-Length: 5\r\n\r\nabc");
      CPPUNIT_ASSERT(listener.TurnUntil([&] { return caller.IsReadable(); }));
      caller.Read();
      listener.callers->Sweep(net::MonotonicNow() + Seconds(6));
      CPPUNIT_ASSERT(listener.TurnUntil([&] { return caller.IsReadable(); }));
      CPPUNIT_ASSERT_EQUAL(std::string(), caller.Read());
    });
  }

  /// Guards against a budget that fills since bytes are not given back.
  void AllMemoryIsGivenBack() {
    Listener listener(kPorts.At(4));
    listener.body = "answer";
    {
      const RawSocket caller = RawSocket::Connect(kPorts.At(4));
      std::string bytes = "POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcde";
      for (int i = 0; i < 100; ++i) bytes += kGet;
      caller.Write(bytes + "POST /b HTTP/1.1\r\nContent-Length: 5\r\n\r\nabc");
      CPPUNIT_ASSERT(
          listener.TurnUntil([&] { return listener.requests.size() == 101; }));
      CPPUNIT_ASSERT(listener.guard->budget().used > 0);
    }
    CPPUNIT_ASSERT(listener.TurnUntil(
        [&] { return listener.callers->open_connections() == 0; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, listener.guard->budget().used);
  }

  /// Guards against a request that was read and is kept without an answer until
  /// other callers give memory back.
  void RequestsAreRefusedAtOnceWhileMemoryIsShort() {
    Listener listener(kPorts.At(5));
    listener.callers->SetRefusalFields({{"Refused-By", "test"}});
    const RawSocket caller = RawSocket::Connect(kPorts.At(5));
    memory::Holdings before{};
    memory::Holdings others{};
    others.front() = 2 * listener.guard->budget().capacity;
    memory::Report(listener.guard->budget(), before, others);
    caller.Write(std::string(kGet) + kGet);
    CPPUNIT_ASSERT(listener.TurnUntil([&] { return caller.IsReadable(); }));
    const std::string answer = caller.Read();
    CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 503 "));
    for (const char* it : {"Retry-After: 1", "Refused-By", "Connection: close"})
      CPPUNIT_ASSERT_MESSAGE(it, answer.find(it) != std::string::npos);
    Section("and does not run afterwards", [&] {
      memory::Report(listener.guard->budget(), before, {});
      CPPUNIT_ASSERT(listener.TurnUntil([&] { return caller.IsReadable(); }));
      CPPUNIT_ASSERT_EQUAL(std::string(), caller.Read());
      CPPUNIT_ASSERT(listener.requests.empty());
    });
  }

  /// Guards against requests that run for a caller that has left, whose
  /// connection is not read since enough of its requests are unanswered.
  void CloseOfAConnectionThatIsNotReadIsNoticed() {
    Listener listener(kPorts.At(6));
    listener.answers = false;
    std::optional<RawSocket> caller = RawSocket::Connect(kPorts.At(6));
    constexpr std::size_t kReadAhead = 32;
    std::string bytes;
    for (std::size_t i = 0; i < kReadAhead; ++i) bytes += kGet;
    caller->Write(bytes);
    CPPUNIT_ASSERT(listener.TurnUntil(
        [&] { return listener.requests.size() == kReadAhead; }));
    Section("what it sends now stays in the socket", [&] {
      caller->Write(kGet);
      listener.TurnUntil([] { return false; });
      CPPUNIT_ASSERT_EQUAL(kReadAhead, listener.requests.size());
    });
    caller.reset();
    CPPUNIT_ASSERT(listener.TurnUntil([&] {
      listener.callers->Sweep(net::MonotonicNow());
      return listener.left > 0;
    }));
    CPPUNIT_ASSERT_EQUAL(kReadAhead, listener.left);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, listener.callers->open_connections());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerLimitsTest);

}  // namespace
}  // namespace ibisladder::gateway
