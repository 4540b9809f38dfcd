#include "platform/item_codec.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "tests/auto/support/story.h"

namespace ibisladder::platform {
namespace {

using ibisladder::testing::CheckProperty;
using ibisladder::testing::Section;

constexpr unsigned kSeed = 91;
constexpr int kCases = 1000;

constexpr char kServer[] =
    R"({"addr":"127.0.0.1:80","born":1700000000123,"info":{"service":"s",)"
    R"("version":"v1","zone":"a","max_concurrency":4},"status":)"
    R"({"state":"ready","seq":4,"warmup_left_s":0.5}})";

constexpr char kConfiguration[] =
    R"({"version":7,"resources":[)"
    R"({"entry_kind":"routes","meta":{"name":"r1"},"spec":{"host":"h",)"
    R"("prefix":"/a/","kind":"idempotent","timeout_s":4,)"
    R"("target_latency_s":1.2,"priority":2,"split":[{"service":"s",)"
    R"("weight":90},{"service":"t","weight":10}],"max_attempts":2}},)"
    R"({"entry_kind":"services","meta":{"name":"s"},"spec":)"
    R"({"health_path":"/healthz","max_conns":390}},)"
    R"({"entry_kind":"limits","meta":{},"spec":{"header_bytes":100,)"
    R"("body_bytes":200,"header_timeout_s":3,"idle_timeout_s":15}},)"
    R"({"entry_kind":"later","meta":{},"spec":{}}]})";

std::string Replace(std::string text, const std::string& from,
                    const std::string& to) {
  const std::size_t at = text.find(from);
  CPPUNIT_ASSERT(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

bool IsValidServer(const std::string& value) {
  return ParseServer("servers/i-1", value).has_value();
}

class ItemCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ItemCodecTest);
  CPPUNIT_TEST(ServerEntriesAreParsed);
  CPPUNIT_TEST(InvalidServerEntriesAreRejected);
  CPPUNIT_TEST(ConfigurationIsParsed);
  CPPUNIT_TEST(CorruptItemsAreHandled);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ServerEntriesAreParsed() {
    const auto entry = ParseServer("servers/i-1", kServer);
    CPPUNIT_ASSERT(entry.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), entry->name);
    CPPUNIT_ASSERT_EQUAL(std::string("s"), entry->service);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1700000000123}, entry->started_ms);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{4}, entry->slots);
    CPPUNIT_ASSERT(entry->warm_up_left == Millis(500));
    CPPUNIT_ASSERT(!entry->draining);
    Section("a restarted server gets another ID", [&] {
      const auto later = ParseServer(
          "servers/i-1", Replace(kServer, "1700000000123", "1700000000124"));
      CPPUNIT_ASSERT(gateway::IdOf(*later) != gateway::IdOf(*entry));
    });
  }

  void InvalidServerEntriesAreRejected() {
    Section("bytes that are not JSON",
            [] { CPPUNIT_ASSERT(!IsValidServer("{\"a")); });
    Section("a field of the wrong type", [] {
      CPPUNIT_ASSERT(!IsValidServer(Replace(kServer, "4}", "\"4\"}")));
      CPPUNIT_ASSERT(!IsValidServer(Replace(kServer, "\"s\"", "5")));
      CPPUNIT_ASSERT(!IsValidServer(Replace(kServer, "1700000000123", "1.5")));
    });
    Section("a missing field", [] {
      CPPUNIT_ASSERT(!IsValidServer(Replace(kServer, "\"seq\":4,", "")));
      CPPUNIT_ASSERT(!IsValidServer(Replace(kServer, "\"addr\"", "\"a\"")));
    });
    Section("an unknown state", [] {
      CPPUNIT_ASSERT(!IsValidServer(Replace(kServer, "ready", "paused")));
    });
    Section("a key without a server name",
            [] { CPPUNIT_ASSERT(!ParseServer("servers/", kServer)); });
  }

  void ConfigurationIsParsed() {
    const auto configuration = ParseConfiguration(kConfiguration);
    CPPUNIT_ASSERT(configuration.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, configuration->version.value());
    const gateway::Route& route = configuration->routes.at(0);
    CPPUNIT_ASSERT(route.repeat == gateway::RepeatRule::kIdempotent);
    CPPUNIT_ASSERT(route.target_latency == Millis(1200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, route.services.size());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, route.max_attempts);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{390},
                         configuration->services.at(0).max_connections);
    CPPUNIT_ASSERT(configuration->limits.idle_timeout == Seconds(15));
    Section("an unknown kind of route is rejected", [] {
      CPPUNIT_ASSERT(!ParseConfiguration(
          Replace(kConfiguration, "idempotent", "perhaps")));
    });
  }

  void CorruptItemsAreHandled() {
    CheckProperty("changed bytes give valid values or errors", kSeed, kCases,
                  [](std::uint16_t place, char byte, std::uint16_t cut) {
                    std::string server = kServer;
                    server[place % server.size()] = byte;
                    server.resize(server.size() - cut % 3);
                    const auto entry = ParseServer("servers/i-1", server);
                    if (entry) RC_ASSERT(entry->slots > 0);
                    std::string configuration = kConfiguration;
                    configuration[place % configuration.size()] = byte;
                    const auto parsed = ParseConfiguration(configuration);
                    if (!parsed) return;
                    for (const auto& it : parsed->routes) {
                      RC_ASSERT(!it.services.empty());
                    }
                  });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ItemCodecTest);

}  // namespace
}  // namespace ibisladder::platform
