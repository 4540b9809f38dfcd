// An instance whose callers leave in the middle of several requests.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "libs/net/socket_address.h"
#include "platform/message_codec.h"
#include "plugins/gateway/gateway_task.h"
#include "tests/auto/gateway/raw_socket.h"
#include "tests/auto/support/port_range.h"
#include "tests/auto/support/story.h"

namespace ibisladder::platform {
namespace {

using ibisladder::testing::RawSocket;
using ibisladder::testing::Section;

const ibisladder::testing::PortRange kPorts;
constexpr int kCallersOffset = 1;
constexpr int kServerOffset = 2;
constexpr std::size_t kLargeBytes = 700000;

/// Starts a large answer to the first request that it gets, and counts the
/// others.
class BreakingServer {
 public:
  BreakingServer(net::EventLoop& loop, const Endpoint& endpoint) {
    const auto address = net::ToSocketAddress(endpoint);
    listener_ = evconnlistener_new_bind(
        loop.base(), &BreakingServer::OnAccept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1, address->get(),
        static_cast<int>(address->size));
  }
  ~BreakingServer() {
    for (bufferevent* it : connections_) bufferevent_free(it);
    evconnlistener_free(listener_);
  }
  BreakingServer(const BreakingServer&) = delete;
  BreakingServer& operator=(const BreakingServer&) = delete;

  /// Ends all connections.
  void BreakOff() {
    for (bufferevent* it : connections_) {
      shutdown(bufferevent_getfd(it), SHUT_WR);
    }
  }
  int requests() const { return requests_; }

 private:
  static void OnAccept(evconnlistener* listener, evutil_socket_t fd,
                       sockaddr* /*address*/, int /*size*/, void* self) {
    bufferevent* bev = bufferevent_socket_new(evconnlistener_get_base(listener),
                                              fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(bev, &BreakingServer::OnReadable, nullptr, nullptr, self);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    static_cast<BreakingServer*>(self)->connections_.push_back(bev);
  }
  static void OnReadable(bufferevent* bev, void* self) {
    auto& it = *static_cast<BreakingServer*>(self);
    evbuffer* input = bufferevent_get_input(bev);
    evbuffer_drain(input, evbuffer_get_length(input));
    if (++it.requests_ > 1) return;
    const std::string bytes =
        "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n"
        "X-Request-Id: id-1\r\nContent-Length: " +
        std::to_string(kLargeBytes) + "\r\n\r\n" +
        std::string(kLargeBytes / 2, 'x');
    bufferevent_write(bev, bytes.data(), bytes.size());
  }

  int requests_ = 0;
  evconnlistener* listener_ = nullptr;
  std::vector<bufferevent*> connections_;
};

std::unique_ptr<gateway::GatewayTask> MakeInstance(net::EventLoop& loop,
                                                   const Endpoint& callers,
                                                   const Endpoint& server) {
  gateway::GatewayTask::Options options;
  options.callers = callers;
  options.forwarder.zone = ZoneName("a");
  options.codec = MakeMessageCodec();
  auto task = std::move(*gateway::GatewayTask::Create(loop, options));
  gateway::Route route;
  route.name = "read";
  route.host = "h";
  route.prefix = "/";
  route.repeat = gateway::RepeatRule::kIdempotent;
  route.timeout = Seconds(4);
  route.max_attempts = 1;
  route.services = {{"s", 1}};
  auto configuration = std::make_shared<gateway::Configuration>();
  configuration->version = ConfigVersion(1);
  configuration->routes = {std::make_shared<const gateway::Route>(route)};
  configuration->services = {{"s", "/healthz", 100}};
  task->InstallConfiguration(configuration);
  gateway::ServerEntry entry;
  entry.name = "s1";
  entry.service = "s";
  entry.endpoint = server;
  entry.zone = ZoneName("a");
  entry.slots = 1;
  task->SetServers({&entry, 1});
  return task;
}

std::string MakeRequest(int number) {
  return "GET / HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: 3000\r\n"
         "X-Request-Id: id-" +
         std::to_string(number) + "\r\n\r\n";
}

class LeavingCallersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeavingCallersTest);
  CPPUNIT_TEST(RequestsBehindABrokenAnswerAreNotSentAfterTheClose);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a request that is sent to a server after its caller's
  /// connection was closed: the same event ends an answer, which closes the
  /// connection, and finds a server for a request behind it.
  void RequestsBehindABrokenAnswerAreNotSentAfterTheClose() {
    auto loop = std::move(*net::EventLoop::Create());
    const Endpoint callers{"127.0.0.1", kPorts.At(kCallersOffset)};
    const Endpoint endpoint{"127.0.0.1", kPorts.At(kServerOffset)};
    BreakingServer server(*loop, endpoint);
    const auto task = MakeInstance(*loop, callers, endpoint);
    const RawSocket caller = RawSocket::Connect(callers.port);
    std::string requests;
    constexpr int kRequests = 20;
    for (int i = 1; i <= kRequests; ++i) requests += MakeRequest(i);
    caller.Write(requests);
    const auto run = [&] {
      const net::Timer end(*loop, net::Timer::Kind::kOnce, Millis(400),
                           [&] { loop->Stop(); });
      loop->Run();
    };
    run();
    const int sent_before = server.requests();
    Section("some requests wait for the server", [&] {
      CPPUNIT_ASSERT(sent_before > 0 && sent_before < kRequests);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, task->callers().open_connections());
    });
    server.BreakOff();
    run();
    Section("the broken answer closes the connection", [&] {
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, task->callers().open_connections());
    });
    Section("no further request is sent", [&] {
      CPPUNIT_ASSERT_EQUAL(sent_before, server.requests());
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, task->servers().open_connections());
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingCallersTest);

}  // namespace
}  // namespace ibisladder::platform
