#include "plugins/gateway/caller_connections.h"

#include <arpa/inet.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "libs/net/http_server.h"
#include "libs/net/socket_address.h"
#include "tests/auto/support/port_range.h"
#include "tests/auto/support/story.h"

namespace ibisladder::gateway {
namespace {

using ibisladder::testing::Section;

const ibisladder::testing::PortRange kPorts;

constexpr char kTwoRequests[] =
    "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n";

/// A caller that sends raw bytes and collects the received ones.
class RawCaller {
 public:
  RawCaller(net::EventLoop& loop, const Endpoint& endpoint,
            const std::string& bytes)
      : loop_(loop),
        bev_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)) {
    bufferevent_setcb(bev_, &RawCaller::OnReadable, nullptr,
                      &RawCaller::OnEvent, this);
    bufferevent_enable(bev_, EV_READ | EV_WRITE);
    const auto address = net::ToSocketAddress(endpoint);
    bufferevent_socket_connect(bev_, address->get(),
                               static_cast<int>(address->size));
    bufferevent_write(bev_, bytes.data(), bytes.size());
  }
  ~RawCaller() { bufferevent_free(bev_); }
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  /// Hands the bytes to the peer's kernel at once.
  void Send(const std::string& bytes) {
    const int fd = bufferevent_getfd(bev_);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const ssize_t n = send(fd, bytes.data(), bytes.size(), 0);
    CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(bytes.size()), n);
  }

  /// The loop stops after this many bytes (0: no limit), or at the end of the
  /// connection.
  std::size_t stop_after = 0;
  std::string received;
  bool is_closed = false;

 private:
  static void OnReadable(bufferevent* bev, void* self) {
    auto& it = *static_cast<RawCaller*>(self);
    char buf[4096];
    const std::size_t n = bufferevent_read(bev, buf, sizeof(buf));
    it.received.append(buf, n);
    if (it.stop_after > 0 && it.received.size() >= it.stop_after) {
      it.loop_.Stop();
    }
  }
  static void OnEvent(bufferevent* /*bev*/, short what, void* self) {  // NOLINT
    auto& it = *static_cast<RawCaller*>(self);
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
    it.is_closed = true;
    it.loop_.Stop();
  }

  net::EventLoop& loop_;
  bufferevent* bev_;
};

class CallerConnectionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerConnectionsTest);
  CPPUNIT_TEST(EvhttpReadsOneRequestAtATime);
  CPPUNIT_TEST(PipelinedRequestsAreReadBeforeAnswers);
  CPPUNIT_TEST(AnswersAreWrittenInRequestOrder);
  CPPUNIT_TEST(AmbiguousRequestsAreRejected);
  CPPUNIT_TEST(ClosedCallerConnectionIsReported);
  CPPUNIT_TEST(RequestsOfALeavingCallerMayBeAnsweredWhileItIsReported);
  CPPUNIT_TEST(ClosingAnswerIsTheLastOfTheRequestsPassedOn);
  CPPUNIT_TEST(TimedOutRequestsAreNotPassedOn);
  CPPUNIT_TEST(RequestsThatWaitUnreadAreNotTimedOut);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Documents why callers' connections don't use evhttp: it reads the next
  /// request of a connection only after the answer to the one before.
  void EvhttpReadsOneRequestAtATime() {
    auto loop = std::move(*net::EventLoop::Create());
    const Endpoint endpoint{"127.0.0.1", kPorts.At(1)};
    auto server = std::move(*net::HttpServer::Listen(*loop, endpoint, {}));
    std::vector<std::string> order;
    std::uint64_t first = 0;
    server->signal_request().connect([&](net::HttpRequest& it) {
      order.push_back(it.target);
      if (it.target == "/1") first = it.id;
      if (it.target == "/2") loop->Stop();
    });
    RawCaller caller(*loop, endpoint, kTwoRequests);
    net::Timer answer(*loop, net::Timer::Kind::kOnce, Millis(50), [&] {
      order.emplace_back("answer 1");
      server->Reply(first, 200, {}, "");
    });
    loop->Run();
    CPPUNIT_ASSERT((order == std::vector<std::string>{"/1", "answer 1", "/2"}));
  }

  void PipelinedRequestsAreReadBeforeAnswers() {
    auto loop = std::move(*net::EventLoop::Create());
    const Endpoint endpoint{"127.0.0.1", kPorts.At(2)};
    auto callers = std::move(*CallerConnections::Listen(*loop, endpoint));
    std::vector<std::string> read;
    callers->signal_request().connect([&](CallId, http1::Request& it) {
      read.push_back(it.target);
      if (read.size() == 2) loop->Stop();
    });
    RawCaller caller(*loop, endpoint, kTwoRequests);
    loop->Run();
    CPPUNIT_ASSERT((read == std::vector<std::string>{"/1", "/2"}));
  }

  /// The second request is answered first; its answer must not go out first.
  void AnswersAreWrittenInRequestOrder() {
    auto loop = std::move(*net::EventLoop::Create());
    const Endpoint endpoint{"127.0.0.1", kPorts.At(3)};
    auto callers = std::move(*CallerConnections::Listen(*loop, endpoint));
    std::vector<CallId> calls;
    callers->signal_request().connect([&](CallId call, http1::Request&) {
      calls.push_back(call);
      if (calls.size() < 2) return;
      callers->Answer(calls[1], {200, {}, "two", true}, true);
      callers->Answer(calls[0], {200, {}, "one", true}, false);
    });
    RawCaller caller(*loop, endpoint, kTwoRequests);
    loop->Run();
    CPPUNIT_ASSERT_EQUAL(
        std::string("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
                    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
                    "Connection: close\r\n\r\ntwo"),
        caller.received);
    CPPUNIT_ASSERT(caller.is_closed);
  }

  /// Two different lengths: if a backend server used the other one, the rest of
  /// the body would be read as a further request.
  void AmbiguousRequestsAreRejected() {
    auto loop = std::move(*net::EventLoop::Create());
    const Endpoint endpoint{"127.0.0.1", kPorts.At(4)};
    auto callers = std::move(*CallerConnections::Listen(*loop, endpoint));
    int forwarded = 0;
    callers->signal_request().connect(
        [&](CallId, http1::Request&) { ++forwarded; });
    RawCaller caller(*loop, endpoint,
                     "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
                     "Content-Length: 2\r\n\r\nab");
    loop->Run();
    CPPUNIT_ASSERT_EQUAL(0, forwarded);
    CPPUNIT_ASSERT(caller.received.starts_with("HTTP/1.1 400 "));
    CPPUNIT_ASSERT(caller.is_closed);
  }

  /// Without the signal, the forwarder would not learn that the caller has
  /// left.
  void ClosedCallerConnectionIsReported() {
    auto loop = std::move(*net::EventLoop::Create());
    const Endpoint endpoint{"127.0.0.1", kPorts.At(5)};
    auto callers = std::move(*CallerConnections::Listen(*loop, endpoint));
    std::optional<RawCaller> caller;
    std::optional<CallId> call;
    std::optional<CallId> left;
    callers->signal_request().connect([&](CallId it, http1::Request&) {
      call = it;
      caller.reset();
    });
    callers->signal_callers_left().connect([&](const std::vector<CallId>& it) {
      left = it.front();
      loop->Stop();
    });
    caller.emplace(*loop, endpoint, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    loop->Run();
    CPPUNIT_ASSERT(call && left == call);
  }

  /// Guards against an exception that ends the process: while one request of a
  /// closed connection is reported, the receiver answers the others.
  void RequestsOfALeavingCallerMayBeAnsweredWhileItIsReported() {
    auto loop = std::move(*net::EventLoop::Create());
    const Endpoint endpoint{"127.0.0.1", kPorts.At(9)};
    auto callers = std::move(*CallerConnections::Listen(*loop, endpoint));
    std::optional<RawCaller> caller;
    std::vector<CallId> calls;
    std::vector<CallId> left;
    callers->signal_request().connect([&](CallId it, http1::Request&) {
      calls.push_back(it);
      if (calls.size() == 2) caller.reset();
    });
    callers->signal_callers_left().connect([&](const std::vector<CallId>& it) {
      left = it;
      for (const CallId call : calls) {
        callers->Answer(call, {503, {}, "", true}, false);
        callers->StartAnswer(call, {200, {}, "", true});
        callers->AppendToAnswer(call, "part");
        callers->EndAnswer(call);
        callers->BreakAnswer(call);
        CPPUNIT_ASSERT(callers->CanStream(call, false));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, callers->BacklogOf(call));
        CPPUNIT_ASSERT_EQUAL(std::string(), callers->AddressOf(call));
      }
      loop->Stop();
    });
    caller.emplace(*loop, endpoint, kTwoRequests);
    loop->Run();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, calls.size());
    CPPUNIT_ASSERT(left == calls);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, callers->open_connections());
  }

  /// Guards against requests that are lost after a stall: the timers are due
  /// before a request is read that has arrived in the meantime.
  void RequestsThatWaitUnreadAreNotTimedOut() {
    auto loop = std::move(*net::EventLoop::Create());
    const Endpoint endpoint{"127.0.0.1", kPorts.At(7)};
    auto callers = std::move(*CallerConnections::Listen(*loop, endpoint));
    int requests = 0;
    callers->signal_request().connect([&](CallId call, http1::Request&) {
      ++requests;
      callers->Answer(call, {200, {}, "a", true}, false);
    });
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
    const std::string request = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
    RawCaller caller(*loop, endpoint, request);
    caller.stop_after = answer.size();
    loop->Run();
    const auto expect_answer = [&](const std::string& received) {
      loop->Run();
      CPPUNIT_ASSERT_EQUAL(received, caller.received);
      CPPUNIT_ASSERT(!caller.is_closed);
    };
    Section("by the idle timeout", [&] {
      caller.Send(request);
      callers->Sweep(net::MonotonicNow() + Seconds(3600));
      caller.stop_after += answer.size();
      expect_answer(answer + answer);
    });
    Section("by the timeout of its arrival", [&] {
      caller.Send(request.substr(0, 9));
      for (int i = 0; i < 3; ++i) {
        event_base_loop(loop->base(), EVLOOP_NONBLOCK);
      }
      caller.Send(request.substr(9));
      callers->Sweep(net::MonotonicNow() + Seconds(3600));
      caller.stop_after += answer.size();
      expect_answer(answer + answer + answer);
    });
    Section("by a stop", [&] {
      caller.Send(request);
      callers->CloseIdle();
      caller.stop_after += answer.size();
      expect_answer(answer + answer + answer + answer);
    });
    CPPUNIT_ASSERT_EQUAL(4, requests);
  }

  /// Guards against a 408 for a request that was passed on: the rest of the
  /// request arrives while the 408 waits for the answer before it.
  void TimedOutRequestsAreNotPassedOn() {
    auto loop = std::move(*net::EventLoop::Create());
    const Endpoint endpoint{"127.0.0.1", kPorts.At(6)};
    auto callers = std::move(*CallerConnections::Listen(*loop, endpoint));
    std::vector<CallId> calls;
    callers->signal_request().connect([&](CallId call, http1::Request&) {
      calls.push_back(call);
      loop->Stop();
    });
    RawCaller caller(*loop, endpoint,
                     "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\n");
    loop->Run();
    callers->Sweep(net::MonotonicNow() + Seconds(3600));
    caller.Send("Host: h\r\n\r\n");
    event_base_loop(loop->base(), EVLOOP_NONBLOCK);
    callers->Answer(calls.front(), {200, {}, "one", true}, false);
    loop->Run();
    Section("the request before it gets its own answer", [&] {
      CPPUNIT_ASSERT(caller.received.starts_with(
          "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\noneHTTP/1.1 408 "));
    });
    Section("the rest of the timed out request is dropped", [&] {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, calls.size());
      CPPUNIT_ASSERT(caller.is_closed);
    });
  }

  /// Guards against requests that run twice: callers take those behind a
  /// closing answer for unread and send them again.
  void ClosingAnswerIsTheLastOfTheRequestsPassedOn() {
    auto loop = std::move(*net::EventLoop::Create());
    const Endpoint endpoint{"127.0.0.1", kPorts.At(8)};
    auto callers = std::move(*CallerConnections::Listen(*loop, endpoint));
    std::vector<CallId> calls;
    std::vector<CallId> left;
    callers->signal_request().connect([&](CallId call, http1::Request&) {
      calls.push_back(call);
      if (calls.size() == 2) loop->Stop();
    });
    callers->signal_callers_left().connect(
        [&](const std::vector<CallId>& it) { left = it; });
    RawCaller caller(*loop, endpoint, kTwoRequests);
    loop->Run();
    Section("the process is to stop while two requests are in flight", [&] {
      callers->CloseAfterAnswers();
      callers->Answer(calls[0], {200, {}, "one", true}, false);
      callers->Answer(calls[1], {200, {}, "two", true}, false);
      loop->Run();
      CPPUNIT_ASSERT(caller.is_closed);
      CPPUNIT_ASSERT(left.empty());
    });
    Section("both are answered, and only the last answer closes", [&] {
      const std::size_t second = caller.received.find("HTTP/1.1 200", 1);
      CPPUNIT_ASSERT(second != std::string::npos);
      const std::size_t close = caller.received.find("Connection: close");
      CPPUNIT_ASSERT(close != std::string::npos && close > second);
      CPPUNIT_ASSERT(caller.received.ends_with("two"));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerConnectionsTest);

}  // namespace
}  // namespace ibisladder::gateway
