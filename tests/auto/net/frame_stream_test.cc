#include "libs/net/frame_stream.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>

#include "libs/net/socket_address.h"
#include "libs/net/udp_socket.h"
#include "tests/auto/support/port_range.h"
#include "tests/auto/support/story.h"

namespace ibisladder::net {
namespace {

using testing::Section;

const testing::PortRange kPorts;
const Endpoint kServer{"127.0.0.1", kPorts.At(1)};
const Endpoint kNobody{"127.0.0.1", kPorts.At(2)};
const Endpoint kUdpA{"127.0.0.1", kPorts.At(3)};
const Endpoint kUdpB{"127.0.0.1", kPorts.At(4)};
const Endpoint kRaw{"127.0.0.1", kPorts.At(5)};
constexpr std::size_t kLimit = 100;

class FrameStreamTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FrameStreamTest);
  CPPUNIT_TEST(FrameBoundariesArePreserved);
  CPPUNIT_TEST(FailedConnectionsAreReported);
  CPPUNIT_TEST(FramesThatWereTakenAreNotReportedAsUnsent);
  CPPUNIT_TEST(DatagramsCarryTheirSender);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FrameBoundariesArePreserved() {
    auto loop = std::move(*EventLoop::Create());
    auto server = std::move(*FrameServer::Listen(*loop, kServer, kLimit));
    FrameClient client(*loop, kLimit);
    server->signal_frame().connect([&](ReceivedFrame& frame) {
      server->Send(frame.stream, frame.bytes + "!");
    });
    std::vector<std::string> received;
    client.signal_frame().connect(
        [&](const Endpoint&, const std::string& bytes) {
          received.push_back(bytes);
          if (received.size() == 3) loop->Stop();
        });
    for (const char* it : {"one", "", "three"}) client.Send(kServer, it);
    loop->Run();
    const std::vector<std::string> expected = {"one!", "!", "three!"};
    CPPUNIT_ASSERT(expected == received);
    Section("a frame over the limit closes the connection", [&] {
      bool oversized = false;
      server->signal_oversized().connect([&](StreamId) { oversized = true; });
      client.signal_lost().connect([&](const Endpoint&, bool was_connected) {
        CPPUNIT_ASSERT(was_connected);
        loop->Stop();
      });
      client.Send(kServer, std::string(kLimit + 1, 'x'));
      loop->Run();
      CPPUNIT_ASSERT(oversized);
    });
  }

  void FailedConnectionsAreReported() {
    auto loop = std::move(*EventLoop::Create());
    FrameClient client(*loop, kLimit);
    bool was_connected = true;
    client.signal_lost().connect([&](const Endpoint&, bool connected) {
      was_connected = connected;
      loop->Stop();
    });
    client.Send(kNobody, "hello");
    loop->Run();
    CPPUNIT_ASSERT(!was_connected);
  }

  /// Guards against relayed requests that are reported as unsent: after a
  /// stall, connect, write and the end of the connection fall into one turn of
  /// the event loop.
  void FramesThatWereTakenAreNotReportedAsUnsent() {
    auto loop = std::move(*EventLoop::Create());
    auto address = ToSocketAddress(kRaw);
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    const int yes = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    CPPUNIT_ASSERT(bind(listener, address->get(), address->size) == 0);
    listen(listener, 1);
    FrameClient client(*loop, kLimit);
    std::optional<bool> was_connected;
    client.signal_lost().connect([&](const Endpoint&, bool connected) {
      was_connected = connected;
      loop->Stop();
    });
    client.Send(kRaw, "hello");
    const int accepted = accept(listener, nullptr, nullptr);
    shutdown(accepted, SHUT_WR);
    loop->Run();
    char byte = 0;
    CPPUNIT_ASSERT_EQUAL(ssize_t{1}, recv(accepted, &byte, 1, MSG_DONTWAIT));
    CPPUNIT_ASSERT(was_connected == true);
    close(accepted);
    close(listener);
  }

  void DatagramsCarryTheirSender() {
    auto loop = std::move(*EventLoop::Create());
    auto a = std::move(*UdpSocket::Bind(*loop, kUdpA));
    auto b = std::move(*UdpSocket::Bind(*loop, kUdpB));
    Datagram received;
    b->signal_received().connect([&](Datagram& datagram) {
      received = datagram;
      loop->Stop();
    });
    a->Send(kUdpB, "hello");
    loop->Run();
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), received.bytes);
    CPPUNIT_ASSERT(received.peer == kUdpA);
    Section("an endpoint cannot be bound twice", [&] {
      CPPUNIT_ASSERT(!UdpSocket::Bind(*loop, kUdpA).has_value());
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FrameStreamTest);

}  // namespace
}  // namespace ibisladder::net
