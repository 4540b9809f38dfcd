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
  CPPUNIT_TEST(OddEntriesCostNoMemoryAndNameNoServer);
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

  /// Guards against one odd entry among the others that stalls or ends all
  /// instances: parsing a megabyte of nested lists takes over 70 MB and half a
  /// second of a whole core, at each change of any server.
  void OddEntriesCostNoMemoryAndNameNoServer() {
    const auto with = [](const std::string& value) {
      std::string text(kServer);
      return text.insert(1, "\"x\":" + value + ",");
    };
    const auto reason = [](const std::string& value) {
      const auto entry = ParseServer("servers/i-1", value);
      return entry ? std::string() : entry.error().message;
    };
    Section("nesting is bounded", [&] {
      for (const std::size_t depth : {100, 10000, 500000}) {
        const std::string open(depth, '[');
        const std::string closed = open + "1" + std::string(depth, ']');
        for (const auto& it : {with(closed), open, "{\"info\":" + open}) {
          const std::string expected = it.size() > (64U << 10U)
                                           ? "the entry is too large"
                                           : "the entry is nested too deeply";
          CPPUNIT_ASSERT_EQUAL(expected, reason(it));
        }
      }
    });
    Section("brackets in texts are no nesting", [&] {
      const std::string text = "\"" + std::string(100, '[') + "\\\"{{\"";
      CPPUNIT_ASSERT_EQUAL(std::string(), reason(with(text)));
    });
    Section("so is the size", [&] {
      CPPUNIT_ASSERT_EQUAL(
          std::string("the entry is too large"),
          reason(with("\"" + std::string(1U << 20U, 'x') + "\"")));
    });
    Section("numbers that are too large, and ports out of range", [&] {
      for (const char* it : {"65536", "0", "-1", "99999999999999999999"}) {
        CPPUNIT_ASSERT(!IsValidServer(
            Replace(kServer, "127.0.0.1:80", std::string("127.0.0.1:") + it)));
      }
      for (const char* it : {"1e400", "-1e400", "1e308", "99999999999999999999",
                             "18446744073709551615", "-9223372036854775809"}) {
        CPPUNIT_ASSERT(!IsValidServer(
            Replace(kServer, ":4}", std::string(":") + it + "}")));
        // Read or refused, but not beyond what follows can hold.
        const auto entry = ParseServer(
            "servers/i-1", Replace(kServer, ":0.5", std::string(":") + it));
        CPPUNIT_ASSERT(!entry || entry->warm_up_left <= Seconds(60));
      }
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
