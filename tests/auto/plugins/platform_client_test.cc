#include "plugins/control/platform_client.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "libs/net/http_server.h"
#include "tests/auto/support/port_range.h"
#include "tests/auto/support/story.h"

namespace ibisladder::control {
namespace {

using testing::Section;

/// Guards against misread replies of the platform, and against a connection
/// limit too low for chunk writes during a watch.
class PlatformClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformClientTest);
  CPPUNIT_TEST(InstanceListsAreRead);
  CPPUNIT_TEST(StoreAnswersAreRead);
  CPPUNIT_TEST(ChunksAreWrittenDuringAWatch);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ChunksAreWrittenDuringAWatch() {
    constexpr int kWrites = 16;
    const testing::PortRange ports;
    const Endpoint platform{"127.0.0.1", ports.At(1)};
    auto loop = std::move(*net::EventLoop::Create());
    auto server = std::move(*net::HttpServer::Listen(*loop, platform, {}));
    // The watch stays open; the writes are answered once all have arrived.
    std::vector<std::uint64_t> arrived;
    server->signal_request().connect([&](net::HttpRequest& request) {
      if (request.method != "PUT") return;
      arrived.push_back(request.id);
      if (arrived.size() < kWrites) return;
      for (const auto it : arrived) {
        server->Reply(it, 200, {{"ETag", "\"7\""}}, "");
      }
    });
    PlatformClient client(*loop, platform, Seconds(5));
    std::vector<ResultCode> codes;
    client.signal_store().connect([&](const controlplane::StoreReplied& it) {
      codes.push_back(it.code);
      if (codes.size() == kWrites) loop->Stop();
    });
    controlplane::StoreWatch watch;
    watch.key = "head";
    watch.wait = Seconds(30);
    client.Send(watch);
    for (int n = 0; n < kWrites; ++n) {
      controlplane::StoreWrite write;
      write.key = "chunk-" + std::to_string(n);
      client.Send(write);
    }
    loop->Run();
    for (const auto it : codes) CPPUNIT_ASSERT(it == ResultCode::kDone);
  }

  void InstanceListsAreRead() {
    Section("a complete list", [] {
      const auto list = ReadInstanceList(
          R"({"instances": [{"id": 7, "zone": "a", "caller": "127.0.0.1:1",
              "peer": "[::1]:2", "state": "leaving"}],
              "servers": [{"service": "s", "server": "b",
                           "state": "leaving"}]})");
      CPPUNIT_ASSERT(list.ok);
      CPPUNIT_ASSERT(list.instances[0].instance == InstanceId(7));
      CPPUNIT_ASSERT(list.instances[0].leaving);
      CPPUNIT_ASSERT_EQUAL(std::string("::1"),
                           list.instances[0].peer_endpoint.address);
      CPPUNIT_ASSERT(list.servers[0].leaving);
    });
    Section("entries that cannot be used are left out", [] {
      const auto list = ReadInstanceList(
          R"({"instances": [{"id": -7}, 5, {"id": 1, "caller": "x",
              "peer": "127.0.0.1:99999"}], "servers": [{"service": "s"}]})");
      CPPUNIT_ASSERT(list.ok);
      CPPUNIT_ASSERT(list.instances.empty());
      CPPUNIT_ASSERT(list.servers.empty());
    });
    Section("text that is no valid list is rejected", [] {
      for (const char* it : {"", "[]", "{}", "{\"instances\": 5}", "nonsense",
                             R"({"instances": [{"id": 1, "caller": 5}]})"}) {
        CPPUNIT_ASSERT_MESSAGE(it, !ReadInstanceList(it).ok);
      }
    });
  }

  void StoreAnswersAreRead() {
    const controlplane::ExchangeId exchange(3);
    const auto code_of = [&](int status) {
      return ReadStoreAnswer(exchange, {1, status, {{"ETag", "\"42\""}}, "v"})
          .code;
    };
    CPPUNIT_ASSERT(code_of(200) == ResultCode::kDone);
    CPPUNIT_ASSERT(code_of(204) == ResultCode::kDone);
    CPPUNIT_ASSERT(code_of(304) == ResultCode::kDone);
    CPPUNIT_ASSERT(code_of(404) == ResultCode::kStoreNotFound);
    CPPUNIT_ASSERT(code_of(412) == ResultCode::kStoreConflict);
    CPPUNIT_ASSERT(code_of(503) == ResultCode::kStoreUnavailable);
    Section("the revision is taken from the entity tag", [&] {
      const auto reply =
          ReadStoreAnswer(exchange, {1, 200, {{"ETag", "\"42\""}}, "v"});
      CPPUNIT_ASSERT(reply.revision == controlplane::Revision(42));
    });
    Section("a value without an entity tag is invalid", [&] {
      const auto reply = ReadStoreAnswer(exchange, {1, 200, {}, "v"});
      CPPUNIT_ASSERT(reply.code == ResultCode::kStoreReplyInvalid);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformClientTest);

}  // namespace
}  // namespace ibisladder::control
