#include "plugins/gateway/server_connections.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <event2/buffer.h>
#include <event2/listener.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <optional>

#include "libs/net/socket_address.h"
#include "tests/auto/support/port_range.h"
#include "tests/auto/support/story.h"

namespace ibisladder::gateway {
namespace {

using ibisladder::testing::Section;

const ibisladder::testing::PortRange kPorts;

/// Longer than the connect timeout.
constexpr Duration kStall = Seconds(1);

/// Answers all input with the same bytes; with `closes`, then shuts the
/// connection down.
class RawServer {
 public:
  RawServer(net::EventLoop& loop, const Endpoint& endpoint, std::string bytes,
            bool closes)
      : loop_(loop), bytes_(std::move(bytes)), closes_(closes) {
    // Like the daemon, since a peer may close before the answer is written.
    std::signal(SIGPIPE, SIG_IGN);
    const auto address = net::ToSocketAddress(endpoint);
    listener_ = evconnlistener_new_bind(
        loop.base(), &RawServer::OnAccept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1, address->get(),
        static_cast<int>(address->size));
  }
  ~RawServer() {
    for (bufferevent* it : connections_) bufferevent_free(it);
    evconnlistener_free(listener_);
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  std::size_t connections() const { return connections_.size(); }
  /// Sends bytes on the last connection at once, as during a stall of the peer.
  void SendUnasked(const std::string& bytes) const {
    const int fd = bufferevent_getfd(connections_.back());
    const ssize_t n = send(fd, bytes.data(), bytes.size(), 0);
    CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(bytes.size()), n);
  }
  /// Number of times that input was read.
  int reads() const { return reads_; }
  /// Ends the last connection at once.
  void Shutdown() const {
    shutdown(bufferevent_getfd(connections_.back()), SHUT_WR);
  }

 private:
  static void OnAccept(evconnlistener* /*listener*/, evutil_socket_t fd,
                       sockaddr* /*address*/, int /*size*/, void* self) {
    auto& it = *static_cast<RawServer*>(self);
    bufferevent* bev =
        bufferevent_socket_new(it.loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(bev, &RawServer::OnReadable, &RawServer::OnWritten,
                      nullptr, self);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    it.connections_.push_back(bev);
  }
  static void OnReadable(bufferevent* bev, void* self) {
    auto& it = *static_cast<RawServer*>(self);
    evbuffer_drain(bufferevent_get_input(bev), 4096);
    bufferevent_write(bev, it.bytes_.data(), it.bytes_.size());
    it.has_answered_ = true;
    ++it.reads_;
  }
  static void OnWritten(bufferevent* bev, void* self) {
    auto& it = *static_cast<RawServer*>(self);
    if (it.closes_ && it.has_answered_)
      shutdown(bufferevent_getfd(bev), SHUT_WR);
  }

  net::EventLoop& loop_;
  std::string bytes_;
  bool closes_;
  /// libevent also reports an empty output before anything is written.
  bool has_answered_ = false;
  int reads_ = 0;
  evconnlistener* listener_ = nullptr;
  std::vector<bufferevent*> connections_;
};

AnswerMatch MatchesRequest(const http1::Response& response,
                           const std::string& id) {
  const auto* it = http1::FindHeader(response.headers, "Id");
  if (it == nullptr) return AnswerMatch::kUnnamed;
  return *it == id ? AnswerMatch::kMatches : AnswerMatch::kOther;
}

struct ExchangeResult {
  std::optional<http1::Response> answer;
  std::optional<AttemptFailure> failure;
};

/// Sends a request and waits for its answer or failure.
ExchangeResult Exchange(net::EventLoop& loop, ServerConnections& servers,
                        const Endpoint& endpoint, std::uint64_t attempt,
                        const std::string& request_id = "mine") {
  ExchangeResult result;
  const sigc::connection answered =
      servers.signal_answer().connect([&](AttemptId, http1::Response& it) {
        result.answer = it;
        loop.Stop();
      });
  const sigc::connection failed =
      servers.signal_failure().connect([&](const ExchangeFailure& it) {
        result.failure = it.failure;
        loop.Stop();
      });
  servers.Send({AttemptId(attempt), BackendServerId(1), endpoint,
                "GET / HTTP/1.1\r\nHost: h\r\n\r\n", false, request_id});
  loop.Run();
  sigc::connection(answered).disconnect();
  sigc::connection(failed).disconnect();
  return result;
}

class ServerConnectionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerConnectionsTest);
  CPPUNIT_TEST(ConnectionsAreReused);
  CPPUNIT_TEST(AnswersToOtherRequestsAreDropped);
  CPPUNIT_TEST(ExtraBytesCloseTheConnection);
  CPPUNIT_TEST(FailedExchangesAreReported);
  CPPUNIT_TEST(RequestSentInALateTurnIsNotReportedAsUnsent);
  CPPUNIT_TEST(UnopenedConnectionsTimeOut);
  CPPUNIT_TEST(AnswerThatArrivedBeforeTheRequestIsNotItsAnswer);
  CPPUNIT_TEST(RequestsAreNotSentOnConnectionsThatEnded);
  CPPUNIT_TEST(FailuresAgreeWithWhatTheServerRead);
  CPPUNIT_TEST(SpareConnectionsShowWhetherAServerIsReached);
  CPPUNIT_TEST(EarlierRefusalIsNotTheAnswerToARepetition);
  CPPUNIT_TEST(AnswerWithoutAnIdOnAUsedConnectionIsNotTrusted);
  CPPUNIT_TEST(AnswerWhoseHeadBreaksOffIsNoAnswer);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ConnectionsAreReused() {
    auto loop = std::move(*net::EventLoop::Create());
    const Endpoint endpoint{"127.0.0.1", kPorts.At(1)};
    ServerConnections servers(*loop, {}, &MatchesRequest);
    Section("after an answer without extra bytes", [&] {
      RawServer server(*loop, endpoint,
                       "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", false);
      CPPUNIT_ASSERT(Exchange(*loop, servers, endpoint, 1, "").answer);
      CPPUNIT_ASSERT(Exchange(*loop, servers, endpoint, 2, "").answer);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.connections());
    });
  }

  void AnswersToOtherRequestsAreDropped() {
    auto loop = std::move(*net::EventLoop::Create());
    const Endpoint endpoint{"127.0.0.1", kPorts.At(2)};
    ServerConnections servers(*loop, {}, &MatchesRequest);
    RawServer server(*loop, endpoint,
                     "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\n"
                     "xHTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 1\r\n\r\n"
                     "a",
                     false);
    const ExchangeResult result = Exchange(*loop, servers, endpoint, 1);
    Section("the answer with the right ID is delivered", [&] {
      CPPUNIT_ASSERT(result.answer);
      CPPUNIT_ASSERT_EQUAL(std::string("a"), result.answer->body);
    });
    Section("the connection is not reused", [&] {
      Exchange(*loop, servers, endpoint, 2);
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server.connections());
    });
  }

  /// After an answer with extra bytes the next request must not be sent on the
  /// same connection: the remaining bytes would break its answer.
  void ExtraBytesCloseTheConnection() {
    auto loop = std::move(*net::EventLoop::Create());
    const Endpoint endpoint{"127.0.0.1", kPorts.At(6)};
    ServerConnections servers(*loop, {}, &MatchesRequest);
    RawServer server(*loop, endpoint,
                     "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na\r\nrest",
                     false);
    int answers = 0;
    int failures = 0;
    servers.signal_answer().connect([&](AttemptId, http1::Response&) {
      if (++answers == 2) return loop->Stop();
      servers.Send({AttemptId(2), BackendServerId(1), endpoint,
                    "GET / HTTP/1.1\r\nHost: h\r\n\r\n", false, "mine"});
    });
    servers.signal_failure().connect([&](const ExchangeFailure&) {
      ++failures;
      loop->Stop();
    });
    servers.Send({AttemptId(1), BackendServerId(1), endpoint,
                  "GET / HTTP/1.1\r\nHost: h\r\n\r\n", false, "mine"});
    loop->Run();
    CPPUNIT_ASSERT_EQUAL(2, answers);
    CPPUNIT_ASSERT_EQUAL(0, failures);
  }

  /// Guards against refusals that are not true: a server writes its refusal of
  /// a request once more, as the answer to a repetition of that request on the
  /// same connection, which it runs meanwhile.
  void EarlierRefusalIsNotTheAnswerToARepetition() {
    auto loop = std::move(*net::EventLoop::Create());
    const Endpoint endpoint{"127.0.0.1", kPorts.At(15)};
    ServerConnections servers(*loop, {}, &MatchesRequest);
    RawServer server(*loop, endpoint,
                     "HTTP/1.1 503 Unavailable\r\nId: mine\r\nNot-Run: 1\r\n"
                     "Content-Length: 0\r\n\r\n",
                     false);
    CPPUNIT_ASSERT(Exchange(*loop, servers, endpoint, 1).answer);
    CPPUNIT_ASSERT(Exchange(*loop, servers, endpoint, 2).answer);
    Section("the repetition went over another connection", [&] {
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server.connections());
    });
  }

  /// Guards against answers to earlier requests, refusals among them, that a
  /// server writes once more without an ID while the next request runs.
  void AnswerWithoutAnIdOnAUsedConnectionIsNotTrusted() {
    auto loop = std::move(*net::EventLoop::Create());
    for (const char* status : {"503 Unavailable", "200 OK", "500 Error"}) {
      const Endpoint endpoint{"127.0.0.1", kPorts.At(16)};
      ServerConnections servers(*loop, {}, &MatchesRequest);
      RawServer server(
          *loop, endpoint,
          std::string("HTTP/1.1 ") + status + "\r\nContent-Length: 1\r\n\r\na",
          false);
      CPPUNIT_ASSERT(Exchange(*loop, servers, endpoint, 1, "first").answer);
      const auto second = Exchange(*loop, servers, endpoint, 2, "second");
      CPPUNIT_ASSERT(!second.answer);
      CPPUNIT_ASSERT(second.failure == AttemptFailure::kTruncated);
    }
  }

  /// Guards against an empty success: the server closes the connection in the
  /// middle of its answer's head.
  void AnswerWhoseHeadBreaksOffIsNoAnswer() {
    auto loop = std::move(*net::EventLoop::Create());
    const std::string answer =
        "HTTP/1.1 200 OK\r\nId: mine\r\nSignature: s\r\nContent-Length: 3\r\n"
        "\r\nabc";
    for (std::size_t n = 1; n < answer.size(); ++n) {
      const Endpoint endpoint{"127.0.0.1", kPorts.At(17)};
      ServerConnections servers(*loop, {}, &MatchesRequest);
      RawServer server(*loop, endpoint, answer.substr(0, n), true);
      const ExchangeResult result = Exchange(*loop, servers, endpoint, n);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(n), !result.answer);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(n),
                             result.failure == AttemptFailure::kTruncated);
    }
    Section("without a length, too", [&] {
      const std::string endless = "HTTP/1.1 200 OK\r\nId: mine\r\n\r\n";
      for (std::size_t n = 1; n < endless.size(); ++n) {
        const Endpoint endpoint{"127.0.0.1", kPorts.At(18)};
        ServerConnections servers(*loop, {}, &MatchesRequest);
        RawServer server(*loop, endpoint, endless.substr(0, n), true);
        const ExchangeResult result = Exchange(*loop, servers, endpoint, n);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(n), !result.answer);
      }
    });
  }

  void SpareConnectionsShowWhetherAServerIsReached() {
    auto loop = std::move(*net::EventLoop::Create());
    const Endpoint endpoint{"127.0.0.1", kPorts.At(13)};
    ServerConnections servers(*loop, {}, &MatchesRequest);
    std::vector<bool> results;
    servers.signal_spare_ended().connect([&](BackendServerId, bool is_open) {
      results.push_back(is_open);
      loop->Stop();
    });
    RawServer server(*loop, endpoint,
                     "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", false);
    Section("one that opens is closed again", [&] {
      servers.OpenSpare(BackendServerId(1), endpoint);
      loop->Run();
      CPPUNIT_ASSERT(results == std::vector<bool>{true});
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, servers.open_connections());
      CPPUNIT_ASSERT(Exchange(*loop, servers, endpoint, 1).answer);
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server.connections());
    });
    Section("connections without a request can be closed", [&] {
      servers.CloseIdle(BackendServerId(1));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, servers.open_connections());
    });
    Section("a port without a listener is not reached", [&] {
      results.clear();
      servers.OpenSpare(BackendServerId(2), {"127.0.0.1", kPorts.At(14)});
      loop->Run();
      CPPUNIT_ASSERT(results == std::vector<bool>{false});
    });
    Section("nor is an address that does not answer in time", [&] {
      results.clear();
      servers.OpenSpare(BackendServerId(3), {"nowhere", 1});
      servers.Sweep(net::MonotonicNow());
      CPPUNIT_ASSERT(results.empty());
      servers.Sweep(net::MonotonicNow() + kStall);
      CPPUNIT_ASSERT(results == std::vector<bool>{false});
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, servers.open_connections());
  }

  void FailedExchangesAreReported() {
    auto loop = std::move(*net::EventLoop::Create());
    ServerConnections servers(*loop, {}, &MatchesRequest);
    Section("an answer that ends early", [&] {
      const Endpoint endpoint{"127.0.0.1", kPorts.At(3)};
      RawServer server(*loop, endpoint,
                       "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", true);
      CPPUNIT_ASSERT(Exchange(*loop, servers, endpoint, 1).failure ==
                     AttemptFailure::kTruncated);
    });
    Section("bytes that are not an HTTP response", [&] {
      const Endpoint endpoint{"127.0.0.1", kPorts.At(4)};
      RawServer server(*loop, endpoint, "what?\r\n\r\n", false);
      CPPUNIT_ASSERT(Exchange(*loop, servers, endpoint, 2).failure ==
                     AttemptFailure::kTruncated);
    });
    Section("a port without a listener", [&] {
      const Endpoint endpoint{"127.0.0.1", kPorts.At(5)};
      CPPUNIT_ASSERT(Exchange(*loop, servers, endpoint, 3).failure ==
                     AttemptFailure::kConnectFailed);
    });
  }

  /// Guards against at-most-once requests that run twice: after a stall, the
  /// connect completes and the request is written in the same turn of the event
  /// loop in which the connect timeout is due.
  void RequestSentInALateTurnIsNotReportedAsUnsent() {
    auto loop = std::move(*net::EventLoop::Create());
    const Endpoint endpoint{"127.0.0.1", kPorts.At(7)};
    ServerConnections servers(*loop, {}, &MatchesRequest);
    RawServer server(*loop, endpoint,
                     "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", false);
    Section(
        "the answer is delivered although the sweep runs before the "
        "connect is reported",
        [&] {
          const net::Timer sweep(
              *loop, net::Timer::Kind::kOnce, Duration::zero(),
              [&] { servers.Sweep(net::MonotonicNow() + kStall); });
          const ExchangeResult result = Exchange(*loop, servers, endpoint, 1);
          CPPUNIT_ASSERT(!result.failure);
          CPPUNIT_ASSERT(result.answer);
        });
    Section(
        "before any turn, what the kernel has opened is no failed connect",
        [&] {
          ServerConnections others(*loop, {}, &MatchesRequest);
          std::optional<int> status;
          others.signal_answer().connect([&](AttemptId, http1::Response& it) {
            status = it.status;
            loop->Stop();
          });
          others.signal_failure().connect(
              [&](const ExchangeFailure&) { loop->Stop(); });
          others.Send({AttemptId(2), BackendServerId(1), endpoint,
                       "GET / HTTP/1.1\r\nHost: h\r\n\r\n", false, "mine"});
          others.Sweep(net::MonotonicNow() + kStall);
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, others.open_connections());
          loop->Run();
          CPPUNIT_ASSERT(status == 200);
        });
  }

  /// Guards against requests that wait for a server that accepts nothing, and
  /// against a claim that one was not sent while the kernel may still send it.
  void UnopenedConnectionsTimeOut() {
    auto loop = std::move(*net::EventLoop::Create());
    const Endpoint endpoint{"127.0.0.1", kPorts.At(12)};
    const auto address = net::ToSocketAddress(endpoint);
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    CPPUNIT_ASSERT(bind(listener, address->get(), address->size) == 0);
    // The first connection fills the backlog.
    listen(listener, 0);
    const int first = socket(AF_INET, SOCK_STREAM, 0);
    CPPUNIT_ASSERT(connect(first, address->get(), address->size) == 0);
    const auto fails = [&](const Endpoint& server) {
      ServerConnections servers(*loop, {}, &MatchesRequest);
      std::optional<AttemptFailure> failure;
      servers.signal_failure().connect(
          [&](const ExchangeFailure& it) { failure = it.failure; });
      servers.Send({AttemptId(1), BackendServerId(1), server,
                    "GET / HTTP/1.1\r\nHost: h\r\n\r\n", false, "mine"});
      servers.Sweep(net::MonotonicNow() + kStall);
      return failure == AttemptFailure::kConnectFailed &&
             servers.open_connections() == 0;
    };
    Section("while the kernel connects",
            [&] { CPPUNIT_ASSERT(fails(endpoint)); });
    Section("when the address is none or cannot be reached", [&] {
      CPPUNIT_ASSERT(fails({"nowhere", 1}));
      CPPUNIT_ASSERT(fails({"255.255.255.255", 1}));
    });
    const int accepted = accept(listener, nullptr, nullptr);
    CPPUNIT_ASSERT_EQUAL(-1, accept(listener, nullptr, nullptr));
    for (const int it : {accepted, first, listener}) close(it);
  }

  /// Guards against at-most-once requests that run twice: an answer "not run"
  /// without a request ID waits unread on an idle connection during a stall,
  /// and would be taken for the answer to the next request on it.
  void AnswerThatArrivedBeforeTheRequestIsNotItsAnswer() {
    auto loop = std::move(*net::EventLoop::Create());
    const Endpoint endpoint{"127.0.0.1", kPorts.At(8)};
    ServerConnections servers(*loop, {}, &MatchesRequest);
    RawServer server(*loop, endpoint,
                     "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", false);
    CPPUNIT_ASSERT(Exchange(*loop, servers, endpoint, 1).answer);
    server.SendUnasked(
        "HTTP/1.1 503 Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    const ExchangeResult result = Exchange(*loop, servers, endpoint, 2);
    CPPUNIT_ASSERT(result.answer);
    CPPUNIT_ASSERT_EQUAL(200, result.answer->status);
    Section("the request went over another connection", [&] {
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server.connections());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, servers.open_connections());
    });
  }

  /// Guards against at-most-once requests that are lost after a stall: they
  /// were sent on a connection whose end the kernel had received already.
  void RequestsAreNotSentOnConnectionsThatEnded() {
    auto loop = std::move(*net::EventLoop::Create());
    const Endpoint endpoint{"127.0.0.1", kPorts.At(9)};
    ServerConnections servers(*loop, {}, &MatchesRequest);
    RawServer server(*loop, endpoint,
                     "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", false);
    CPPUNIT_ASSERT(Exchange(*loop, servers, endpoint, 1).answer);
    server.Shutdown();
    const ExchangeResult result = Exchange(*loop, servers, endpoint, 2);
    CPPUNIT_ASSERT(!result.failure);
    CPPUNIT_ASSERT(result.answer);
  }

  /// Guards against at-most-once requests that run twice: connect, write and
  /// the end of the connection fall into one turn of the event loop.
  void FailuresAgreeWithWhatTheServerRead() {
    auto loop = std::move(*net::EventLoop::Create());
    ServerConnections servers(*loop, {}, &MatchesRequest);
    std::optional<AttemptFailure> failure;
    servers.signal_failure().connect([&](const ExchangeFailure& it) {
      failure = it.failure;
      loop->Stop();
    });
    const auto send = [&](std::uint64_t attempt, const Endpoint& endpoint) {
      servers.Send({AttemptId(attempt), BackendServerId(1), endpoint,
                    "GET / HTTP/1.1\r\nHost: h\r\n\r\n", false, ""});
    };
    const auto claims_unsent = [&] {
      return failure == AttemptFailure::kConnectFailed;
    };
    Section("on a reused connection", [&] {
      const Endpoint endpoint{"127.0.0.1", kPorts.At(10)};
      RawServer server(*loop, endpoint,
                       "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", false);
      CPPUNIT_ASSERT(Exchange(*loop, servers, endpoint, 1).answer);
      send(2, endpoint);
      server.Shutdown();
      loop->Run();
      for (int i = 0; i < 3; ++i) {
        event_base_loop(loop->base(), EVLOOP_NONBLOCK);
      }
      CPPUNIT_ASSERT_EQUAL(claims_unsent(), server.reads() == 1);
    });
    Section("on a new connection", [&] {
      const Endpoint endpoint{"127.0.0.1", kPorts.At(11)};
      const auto address = net::ToSocketAddress(endpoint);
      const int listener = socket(AF_INET, SOCK_STREAM, 0);
      CPPUNIT_ASSERT(bind(listener, address->get(), address->size) == 0);
      listen(listener, 1);
      send(3, endpoint);
      const int accepted = accept(listener, nullptr, nullptr);
      shutdown(accepted, SHUT_WR);
      loop->Run();
      char byte = 0;
      const bool is_empty = recv(accepted, &byte, 1, MSG_DONTWAIT) <= 0;
      CPPUNIT_ASSERT_EQUAL(claims_unsent(), is_empty);
      close(accepted);
      close(listener);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerConnectionsTest);

}  // namespace
}  // namespace ibisladder::gateway
