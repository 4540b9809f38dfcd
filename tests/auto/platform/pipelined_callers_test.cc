// An instance whose callers send further requests before the first one is
// answered.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

#include "libs/net/http_server.h"
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
constexpr int kFreeOffset = 2;
constexpr int kBusyOffset = 3;
constexpr std::uint32_t kFreeSlots = 200;
constexpr Duration kWork = Millis(50);
constexpr Duration kTimeout = Seconds(6);
/// Of the callers that send several requests to the busy service.
constexpr Duration kBusyDeadline = Millis(800);
/// Callers must have their answers so long after the time of their requests.
constexpr Duration kGrace = Millis(400);

std::shared_ptr<const gateway::Route> MakeRoute(const std::string& service) {
  gateway::Route route;
  route.name = service;
  route.host = "h";
  route.prefix = "/" + service + "/";
  route.repeat = gateway::RepeatRule::kIdempotent;
  route.timeout = kTimeout;
  route.max_attempts = 1;
  route.services = {{service, 1}};
  return std::make_shared<const gateway::Route>(route);
}

gateway::ServerEntry MakeServer(const std::string& service, int port,
                                std::uint32_t slots) {
  gateway::ServerEntry entry;
  entry.name = service + "-1";
  entry.service = service;
  entry.endpoint = {"127.0.0.1", kPorts.At(port)};
  entry.zone = ZoneName("a");
  entry.slots = slots;
  return entry;
}

std::string MakeGet(const std::string& service, const std::string& id,
                    Duration deadline) {
  return "GET /" + service + "/1 HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: " +
         std::to_string(ToMillis(deadline)) + "\r\nX-Request-Id: " + id +
         "\r\n\r\n";
}

/// An instance before the service "free", whose server has room for all and
/// answers soon, and the service "busy", whose server has one slot and answers
/// when the test says so.
class Deployment {
 public:
  Deployment() {
    free_->signal_request().connect([this](net::HttpRequest& it) {
      auto& timer = timers_[it.id];
      timer = std::make_unique<net::Timer>(
          *loop, net::Timer::Kind::kOnce, kWork,
          [this, id = it.id, name = IdOf(it)] { Reply(*free_, id, name); });
    });
    busy_->signal_request().connect([this](net::HttpRequest& it) {
      at_busy.push_back(IdOf(it));
      open_at_busy_ = it.id;
      if (answers_busy) ReleaseBusy();
    });
    auto configuration = std::make_shared<gateway::Configuration>();
    configuration->version = ConfigVersion(1);
    configuration->routes = {MakeRoute("free"), MakeRoute("busy")};
    configuration->services = {{"free", "/healthz", 100},
                               {"busy", "/healthz", 100}};
    task->InstallConfiguration(configuration);
    const std::array servers = {MakeServer("busy", kBusyOffset, 1),
                                MakeServer("free", kFreeOffset, kFreeSlots)};
    task->SetServers(servers);
  }

  static RawSocket Connect() {
    return RawSocket::Connect(kPorts.At(kCallersOffset));
  }
  /// Callers with one request each, which wait for the busy server.
  std::vector<RawSocket> KeepBusy(int n, Duration deadline) {
    std::vector<RawSocket> callers;
    for (int i = 0; i < n; ++i) {
      callers.push_back(Connect());
      callers.back().Write(
          MakeGet("busy", "wait-" + std::to_string(i), deadline));
    }
    Run(Millis(300));
    return callers;
  }
  void Run(Duration time) {
    const net::Timer end(*loop, net::Timer::Kind::kOnce, time,
                         [this] { loop->Stop(); });
    loop->Run();
  }
  void ReleaseBusy() { Reply(*busy_, open_at_busy_, at_busy.back()); }

  std::unique_ptr<net::EventLoop> loop = std::move(*net::EventLoop::Create());
  /// Requests that reached the busy server, in their order.
  std::vector<std::string> at_busy;
  bool answers_busy = false;

 private:
  static std::string IdOf(const net::HttpRequest& request) {
    const auto* id = net::FindHeader(request.headers, "X-Request-Id");
    return id == nullptr ? "" : *id;
  }
  static void Reply(net::HttpServer& server, std::uint64_t request,
                    const std::string& id) {
    server.Reply(request, 200,
                 {{"X-Response-Signature", "s"}, {"X-Request-Id", id}}, "done");
  }
  static std::unique_ptr<net::HttpServer> Listen(net::EventLoop& loop,
                                                 int port) {
    return std::move(
        *net::HttpServer::Listen(loop, {"127.0.0.1", kPorts.At(port)}, {}));
  }
  static std::unique_ptr<gateway::GatewayTask> MakeTask(net::EventLoop& loop) {
    gateway::GatewayTask::Options options;
    options.callers = {"127.0.0.1", kPorts.At(kCallersOffset)};
    options.forwarder.zone = ZoneName("a");
    options.codec = MakeMessageCodec();
    return std::move(*gateway::GatewayTask::Create(loop, options));
  }

  std::unique_ptr<net::HttpServer> free_ = Listen(*loop, kFreeOffset);
  std::unique_ptr<net::HttpServer> busy_ = Listen(*loop, kBusyOffset);
  std::uint64_t open_at_busy_ = 0;
  std::map<std::uint64_t, std::unique_ptr<net::Timer>> timers_;

 public:
  std::unique_ptr<gateway::GatewayTask> task = MakeTask(*loop);
};

/// Returns the statuses of the answers that have arrived at a connection.
std::vector<int> StatusesAt(const RawSocket& caller, std::string& received) {
  while (caller.IsReadable()) {
    const std::string part = caller.Read();
    if (part.empty()) break;
    received += part;
  }
  std::vector<int> statuses;
  constexpr std::string_view kStatusLine = "HTTP/1.1 ";
  for (std::size_t at = received.find(kStatusLine); at != std::string::npos;
       at = received.find(kStatusLine, at + 1)) {
    statuses.push_back(std::stoi(received.substr(at + kStatusLine.size(), 3)));
  }
  return statuses;
}

class PipelinedCallersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PipelinedCallersTest);
  CPPUNIT_TEST(WaitOfOneServiceHoldsBackNoOther);
  CPPUNIT_TEST(RequestsThatWereReadAreAnsweredInTime);
  CPPUNIT_TEST(RequestsOfLeftCallersDoNotRun);
  CPPUNIT_TEST(RequestsThatWereReadBeforeAStopAreAnswered);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against requests that are read and then neither passed on nor
  /// answered, since requests of another service wait for servers.
  void WaitOfOneServiceHoldsBackNoOther() {
    Deployment deployment;
    const auto waiting = deployment.KeepBusy(20, Seconds(5));
    std::vector<RawSocket> callers;
    constexpr int kCallers = 24;
    constexpr int kGroup = 4;
    for (int i = 0; i < kCallers; ++i) {
      std::string group;
      for (int k = 0; k < kGroup; ++k) {
        group += MakeGet("free", std::to_string(i) + "-" + std::to_string(k),
                         Seconds(3));
      }
      callers.push_back(Deployment::Connect());
      callers.back().Write(group);
    }
    deployment.Run(kWork + kGrace);
    for (const RawSocket& it : callers) {
      std::string received;
      CPPUNIT_ASSERT(StatusesAt(it, received) == std::vector<int>(kGroup, 200));
    }
  }

  /// Guards against requests without an answer at their deadline, which were
  /// held back behind those that wait for a server.
  void RequestsThatWereReadAreAnsweredInTime() {
    Deployment deployment;
    const auto waiting = deployment.KeepBusy(3, Seconds(5));
    const RawSocket caller = Deployment::Connect();
    std::string group;
    constexpr int kRequests = 30;
    for (int i = 0; i < kRequests; ++i)
      group += MakeGet("busy", "group-" + std::to_string(i), kBusyDeadline);
    caller.Write(group);
    deployment.Run(kBusyDeadline + kGrace);
    std::string received;
    const std::vector<int> statuses = StatusesAt(caller, received);
    Section("all are answered, but for those behind a closing answer", [&] {
      CPPUNIT_ASSERT(!statuses.empty());
      const bool is_closed =
          received.find("Connection: close") != std::string::npos;
      CPPUNIT_ASSERT(statuses.size() == kRequests || is_closed);
    });
    Section("none has run, and refusals say when to come back", [&] {
      for (const auto& it : deployment.at_busy)
        CPPUNIT_ASSERT_MESSAGE(it, it.starts_with("wait-"));
      CPPUNIT_ASSERT(std::ranges::count(statuses, 503) > 0);
      CPPUNIT_ASSERT(received.find("Retry-After") != std::string::npos);
    });
  }

  /// Guards against requests that run after their callers have closed the
  /// connection, which nobody noticed while they were held back.
  void RequestsOfLeftCallersDoNotRun() {
    Deployment deployment;
    const auto waiting = deployment.KeepBusy(3, Seconds(5));
    {
      std::vector<RawSocket> callers;
      constexpr int kCallers = 40;
      for (int i = 0; i < kCallers; ++i) {
        callers.push_back(Deployment::Connect());
        const std::string name = "left-" + std::to_string(i);
        callers.back().Write(MakeGet("busy", name + "-a", Seconds(5)) +
                             MakeGet("busy", name + "-b", Seconds(5)) +
                             MakeGet("busy", name + "-c", Seconds(5)));
      }
      deployment.Run(Millis(300));
    }
    deployment.Run(Millis(300));
    CPPUNIT_ASSERT_EQUAL(waiting.size(),
                         deployment.task->callers().open_connections());
    deployment.answers_busy = true;
    deployment.ReleaseBusy();
    deployment.Run(Millis(500));
    Section("those of other callers do", [&] {
      for (const auto& it : deployment.at_busy)
        CPPUNIT_ASSERT_MESSAGE(it, it.starts_with("wait-"));
      CPPUNIT_ASSERT_EQUAL(waiting.size(), deployment.at_busy.size());
    });
  }

  /// Guards against requests that were read and are dropped by a planned stop.
  void RequestsThatWereReadBeforeAStopAreAnswered() {
    Deployment deployment;
    const RawSocket caller = Deployment::Connect();
    std::string group;
    // More than may be read ahead of the answers, in one packet.
    constexpr int kRequests = 40;
    for (int i = 0; i < kRequests; ++i)
      group += MakeGet("free", std::to_string(i), Seconds(3));
    caller.Write(group);
    deployment.Run(kWork / 2);
    deployment.task->PrepareToStop(
        gateway::PlanStop(net::MonotonicNow(), Seconds(6)));
    deployment.Run(kWork + kGrace);
    std::string received;
    CPPUNIT_ASSERT(StatusesAt(caller, received) ==
                   std::vector<int>(kRequests, 200));
    Section("and only the last answer closes the connection", [&] {
      const std::size_t close = received.find("Connection: close");
      CPPUNIT_ASSERT(close != std::string::npos);
      CPPUNIT_ASSERT(received.find("HTTP/1.1 200", close) == std::string::npos);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PipelinedCallersTest);

}  // namespace
}  // namespace ibisladder::platform
