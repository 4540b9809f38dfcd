#include "libs/gateway/route_table.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <map>

#include "tests/auto/gateway/forwarder_fixture.h"
#include "tests/auto/support/story.h"

namespace ibisladder::gateway {
namespace {

using ibisladder::testing::Section;

RouteTable MakeTable(std::vector<Route> routes) {
  Random random(1);
  auto configuration = std::make_shared<Configuration>();
  configuration->routes = std::move(routes);
  return MakeRouteTable(configuration, random);
}

class RouteTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouteTableTest);
  CPPUNIT_TEST(LongestPrefixOfTheHostWins);
  CPPUNIT_TEST(ServicesFollowWeights);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LongestPrefixOfTheHostWins() {
    const RouteTable table =
        MakeTable({MakeRoute("/a/", "s", RepeatRule::kIdempotent),
                   MakeRoute("/a/b/", "t", RepeatRule::kIdempotent)});
    Section("regardless of the order of routes", [&] {
      CPPUNIT_ASSERT_EQUAL(0, FindRoute(table, kHost, "/a/c"));
      CPPUNIT_ASSERT_EQUAL(1, FindRoute(table, kHost, "/a/b/c?x=/"));
    });
    Section("host with a port and in upper case", [&] {
      CPPUNIT_ASSERT_EQUAL(0, FindRoute(table, "H.EXAMPLE:80", "/a/"));
    });
    Section("no match: other host, partial path segment", [&] {
      CPPUNIT_ASSERT_EQUAL(-1, FindRoute(table, "other", "/a/"));
      CPPUNIT_ASSERT_EQUAL(-1, FindRoute(table, kHost, "/a"));
      CPPUNIT_ASSERT_EQUAL(-1, FindRoute(table, kHost, "/?/a/"));
    });
  }

  void ServicesFollowWeights() {
    Route route = MakeRoute("/a/", "s", RepeatRule::kIdempotent);
    route.services = {{"s", 90}, {"t", 10}};
    RouteTable table = MakeTable({route});
    std::map<std::string, int> counts;
    constexpr int kRequests = 200;
    for (int i = 0; i < kRequests; ++i) ++counts[NextService(table, 0)];
    CPPUNIT_ASSERT(std::abs(counts["t"] - kRequests / 10) <= 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTableTest);

}  // namespace
}  // namespace ibisladder::gateway
