#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "libs/net/http_server.h"
#include "tests/auto/net/http_session.h"
#include "tests/auto/support/port_range.h"
#include "tests/auto/support/story.h"

namespace ibisladder::net {
namespace {

using ibisladder::testing::Section;

const ibisladder::testing::PortRange kPorts;

int OptionOf(int fd, int level, int name) {
  int value = -1;
  socklen_t size = sizeof(value);
  getsockopt(fd, level, name, &value, &size);
  return value;
}

/// Returns this process's end of the connection to the port; -1 without one.
int FindConnectionTo(std::uint16_t port) {
  constexpr int kMaxDescriptors = 1024;
  for (int fd = 0; fd < kMaxDescriptors; ++fd) {
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    const bool is_connected =
        getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) == 0;
    if (is_connected && peer.sin_family == AF_INET &&
        ntohs(peer.sin_port) == port) {
      return fd;
    }
  }
  return -1;
}

class KeepAliveTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeepAliveTest);
  CPPUNIT_TEST(ProbesGiveUpWhenTheyShould);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a watch that hangs on a lost path although its connection
  /// is probed: a TCP_USER_TIMEOUT, which libraries may set, decides when
  /// probes give up, whatever their number.
  void ProbesGiveUpWhenTheyShould() {
    constexpr int kGiveUpMillis = 3000;
    constexpr int kMillisPerSecond = 1000;
    const Endpoint endpoint{"127.0.0.1", kPorts.At(1)};
    Session session;
    auto server = std::move(*HttpServer::Listen(*session.loop, endpoint, {}));
    int fd = -1;
    server->signal_request().connect([&](HttpRequest& it) {
      fd = FindConnectionTo(endpoint.port);
      server->Reply(it.id, 200, {}, "");
    });
    HttpCall call = CallTo(endpoint);
    call.keep_alive_probes = true;
    for (int i = 0; i < 2; ++i) {
      session.Send(call);
      CPPUNIT_ASSERT(session.answer);
      CPPUNIT_ASSERT(fd >= 0);
      Section(i == 0 ? "on a new connection" : "on one that was used", [&] {
        CPPUNIT_ASSERT_EQUAL(1, OptionOf(fd, SOL_SOCKET, SO_KEEPALIVE));
        const int idle = OptionOf(fd, IPPROTO_TCP, TCP_KEEPIDLE);
        const int interval = OptionOf(fd, IPPROTO_TCP, TCP_KEEPINTVL);
        const int count = OptionOf(fd, IPPROTO_TCP, TCP_KEEPCNT);
        CPPUNIT_ASSERT_EQUAL(kGiveUpMillis,
                             (idle + interval * count) * kMillisPerSecond);
        const int user_timeout = OptionOf(fd, IPPROTO_TCP, TCP_USER_TIMEOUT);
        CPPUNIT_ASSERT(user_timeout == 0 || user_timeout == kGiveUpMillis);
      });
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeepAliveTest);

}  // namespace
}  // namespace ibisladder::net
