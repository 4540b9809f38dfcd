#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <string>
#include <utility>
#include <vector>

#include "libs/net/socket_address.h"
#include "tests/auto/net/http_session.h"
#include "tests/auto/support/port_range.h"
#include "tests/auto/support/story.h"

namespace ibisladder::net {
namespace {

using testing::Section;

const testing::PortRange kPorts;
const Endpoint kRaw{"127.0.0.1", kPorts.At(1)};

constexpr std::string_view kAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";

/// Answers a number of requests with the same bytes and keeps the connections
/// open; resets the connection of each further request.
class CountingServer {
 public:
  CountingServer(EventLoop& loop, int answers,
                 std::string answer = std::string(kAnswer))
      : answers_left_(answers), answer_(std::move(answer)) {
    // Like the daemon, since the client may close before the answer is written.
    std::signal(SIGPIPE, SIG_IGN);
    auto address = ToSocketAddress(kRaw);
    listener_ = evconnlistener_new_bind(
        loop.base(), &CountingServer::OnAccept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16, address->get(),
        static_cast<int>(address->size));
  }
  ~CountingServer() {
    for (bufferevent* it : connections_) bufferevent_free(it);
    evconnlistener_free(listener_);
  }
  CountingServer(const CountingServer&) = delete;
  CountingServer& operator=(const CountingServer&) = delete;

  int requests() const { return requests_; }
  /// Sends bytes on the last connection at once, as during a stall of the peer.
  void SendUnasked(const std::string& bytes) const {
    const int fd = bufferevent_getfd(connections_.back());
    const ssize_t n = send(fd, bytes.data(), bytes.size(), 0);
    CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(bytes.size()), n);
  }

 private:
  static void OnAccept(evconnlistener* listener, evutil_socket_t fd,
                       sockaddr* /*address*/, int /*size*/, void* self) {
    bufferevent* bev = bufferevent_socket_new(evconnlistener_get_base(listener),
                                              fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(bev, &CountingServer::OnRead, nullptr, nullptr, self);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    static_cast<CountingServer*>(self)->connections_.push_back(bev);
  }
  static void OnRead(bufferevent* bev, void* self) {
    auto& it = *static_cast<CountingServer*>(self);
    evbuffer* input = bufferevent_get_input(bev);
    evbuffer_drain(input, evbuffer_get_length(input));
    ++it.requests_;
    if (--it.answers_left_ >= 0) {
      bufferevent_write(bev, it.answer_.data(), it.answer_.size());
      return;
    }
    const linger abort{1, 0};
    setsockopt(bufferevent_getfd(bev), SOL_SOCKET, SO_LINGER, &abort,
               sizeof(abort));
    std::erase(it.connections_, bev);
    bufferevent_free(bev);
  }

  int answers_left_;
  std::string answer_;
  int requests_ = 0;
  evconnlistener* listener_ = nullptr;
  std::vector<bufferevent*> connections_;
};

/// What the client reports about requests that a server may have read.
class HttpDeliveryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpDeliveryTest);
  CPPUNIT_TEST(RequestSentInALateTurnIsNotReportedAsUnsent);
  CPPUNIT_TEST(RequestThatAServerReadIsNotReportedAsUnsent);
  CPPUNIT_TEST(AnswerThatArrivedBeforeTheRequestIsNotItsAnswer);
  CPPUNIT_TEST(CallFromAHandlerGetsNoAnswerThatIsBuffered);
  CPPUNIT_TEST(SlowAnswerEndsIfItsTotalTimeAllows);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against answers on slow links that are cut off although they make
  /// progress, and are so requested for ever.
  void SlowAnswerEndsIfItsTotalTimeAllows() {
    HttpCall call = CallTo(kRaw);
    call.timeout = Millis(300);
    constexpr int kBodyBytes = 10;
    const auto fetch = [&](Session& session) {
      const CountingServer server(*session.loop, 1,
                                  "HTTP/1.1 200 OK\r\nContent-Length: " +
                                      std::to_string(kBodyBytes) + "\r\n\r\n");
      int sent = 0;
      std::size_t most_received = 0;
      const Timer trickle(
          *session.loop, Timer::Kind::kPeriodic, Millis(100), [&] {
            most_received =
                std::max(most_received, session.client.ReceivedBytes(1));
            if (sent++ < kBodyBytes) server.SendUnasked("a");
          });
      session.Send(call);
      return most_received;
    };
    Section("longer than the default of twice the timeout", [&] {
      Session session;
      fetch(session);
      CPPUNIT_ASSERT(session.failure == HttpFailure::kTimeout);
    });
    Section("within the total time; what has arrived is known", [&] {
      call.total_timeout = Seconds(4);
      Session session;
      const std::size_t received = fetch(session);
      CPPUNIT_ASSERT(session.answer);
      CPPUNIT_ASSERT(received >= kBodyBytes / 2);
    });
  }

  /// Guards against at-most-once requests that run twice: after a stall, the
  /// connect completes in the same turn of the event loop in which the connect
  /// timeout is due. A timeout of zero brings this about.
  void RequestSentInALateTurnIsNotReportedAsUnsent() {
    HttpCall call = CallTo(kRaw);
    call.timeout = Duration::zero();
    Section("a connection that the kernel has opened", [&] {
      Session session;
      const CountingServer server(*session.loop, 1);
      session.Send(call);
      CPPUNIT_ASSERT(!session.failure);
      CPPUNIT_ASSERT(session.answer);
    });
    Section("a connection that the kernel has opened, to a server that resets",
            [&] {
              Session session;
              const CountingServer server(*session.loop, 0);
              session.Send(call);
              CPPUNIT_ASSERT(session.failure == HttpFailure::kConnectionLost);
              CPPUNIT_ASSERT_EQUAL(1, server.requests());
            });
    Section(
        "a connection that the kernel has not opened: nothing is sent", [&] {
          auto address = ToSocketAddress(kRaw);
          const int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
          const int yes = 1;
          setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
          CPPUNIT_ASSERT(bind(listener, address->get(), address->size) == 0);
          listen(listener, 0);
          const int first = socket(AF_INET, SOCK_STREAM, 0);
          CPPUNIT_ASSERT(connect(first, address->get(), address->size) == 0);
          Session session;
          session.Send(call);
          CPPUNIT_ASSERT(session.failure == HttpFailure::kConnectFailed);
          char byte = 0;
          const int accepted = accept(listener, nullptr, nullptr);
          CPPUNIT_ASSERT_EQUAL(ssize_t{-1},
                               recv(accepted, &byte, 1, MSG_DONTWAIT));
          CPPUNIT_ASSERT_EQUAL(-1, accept(listener, nullptr, nullptr));
          for (const int it : {accepted, first, listener}) close(it);
        });
  }

  /// Guards against at-most-once requests that run twice: by a claim that a
  /// request was not sent although a server has read it, and by a repeat of the
  /// request within evhttp.
  void RequestThatAServerReadIsNotReportedAsUnsent() {
    Section("on a new connection", [] {
      Session session;
      const CountingServer server(*session.loop, 0);
      session.Send(CallTo(kRaw));
      CPPUNIT_ASSERT(session.failure == HttpFailure::kConnectionLost);
      CPPUNIT_ASSERT_EQUAL(1, server.requests());
    });
    Section("on a reused connection", [] {
      Session session;
      const CountingServer server(*session.loop, 1);
      session.Send(CallTo(kRaw));
      CPPUNIT_ASSERT(session.answer);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, session.client.open_connections());
      session.Send(CallTo(kRaw));
      CPPUNIT_ASSERT(session.failure == HttpFailure::kConnectionLost);
      CPPUNIT_ASSERT_EQUAL(2, server.requests());
    });
    Section("whose answer has the status that evhttp uses for a failed connect",
            [] {
              for (const char* status : {"0", "000", "4294967296", "x"}) {
                Session session;
                const CountingServer server(
                    *session.loop, 1,
                    std::string("HTTP/1.1 ") + status +
                        " X\r\nContent-Length: 0\r\n\r\n");
                session.Send(CallTo(kRaw));
                CPPUNIT_ASSERT(!session.answer);
                CPPUNIT_ASSERT(session.failure != HttpFailure::kConnectFailed);
              }
            });
  }

  /// Guards against outcomes that belong to another request: a second answer
  /// waits unread on an idle connection during a stall, and would be taken for
  /// the answer to the next request on it.
  void AnswerThatArrivedBeforeTheRequestIsNotItsAnswer() {
    Session session;
    const CountingServer server(*session.loop, 2);
    session.Send(CallTo(kRaw));
    server.SendUnasked("HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n");
    session.Send(CallTo(kRaw));
    CPPUNIT_ASSERT(session.answer);
    CPPUNIT_ASSERT_EQUAL(200, session.answer->status);
    Section("the other connection is closed", [&] {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, session.client.open_connections());
    });
  }

  /// Guards against the same where the second answer came together with the
  /// first one, and the next call is sent while the first one is handled; and
  /// against a call that never ends then.
  void CallFromAHandlerGetsNoAnswerThatIsBuffered() {
    const std::string second = "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n";
    const std::vector<std::pair<const char*, std::string>> cases = {
        {"a whole answer", second},
        {"the start of an answer", second.substr(0, 10)},
        {"many answers", second + second + second},
        {"bytes that are no answer", "x"},
        {"more than is read at once", std::string(1U << 20U, 'x')}};
    for (const auto& it : cases) {
      Section(it.first,
              [&] { ExpectOwnAnswers(std::string(kAnswer) + it.second); });
    }
  }

 private:
  /// Sends each call from the handler of the previous call's answer.
  static void ExpectOwnAnswers(const std::string& answer) {
    constexpr std::uint64_t kCalls = 3;
    auto loop = std::move(*EventLoop::Create());
    const CountingServer server(*loop, kCalls, answer);
    HttpClient client(*loop);
    std::vector<int> statuses;
    const auto send = [&](std::uint64_t id) {
      HttpCall call = CallTo(kRaw);
      call.id = id;
      client.Send(call);
    };
    client.signal_answer().connect([&](const HttpAnswer& it) {
      statuses.push_back(it.status);
      if (it.id < kCalls) {
        send(it.id + 1);
      } else {
        loop->Stop();
      }
    });
    client.signal_error().connect([&](const HttpError&) { loop->Stop(); });
    const Timer guard(*loop, Timer::Kind::kOnce, Seconds(12),
                      [&] { loop->Stop(); });
    send(1);
    loop->Run();
    CPPUNIT_ASSERT((statuses == std::vector<int>{200, 200, 200}));
    CPPUNIT_ASSERT_EQUAL(3, server.requests());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpDeliveryTest);

}  // namespace
}  // namespace ibisladder::net
