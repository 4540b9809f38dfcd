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
    Section("a warm-up beyond any server's is cut", [] {
      const auto entry =
          ParseServer("servers/i-1", Replace(kServer, "0.5", "1e30"));
      CPPUNIT_ASSERT(entry->warm_up_left <= Seconds(60));
    });
    Section("a key without a server name",
            [] { CPPUNIT_ASSERT(!ParseServer("servers/", kServer)); });
  }

  void CorruptItemsAreHandled() {
    CheckProperty("changed bytes give valid values or errors", kSeed, kCases,
                  [](std::uint16_t place, char byte, std::uint16_t cut) {
                    std::string server = kServer;
                    server[place % server.size()] = byte;
                    server.resize(server.size() - cut % 3);
                    const auto entry = ParseServer("servers/i-1", server);
                    if (entry) RC_ASSERT(entry->slots > 0);
                  });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ItemCodecTest);

}  // namespace
}  // namespace ibisladder::platform
