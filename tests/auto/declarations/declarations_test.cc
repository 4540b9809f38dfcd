#include "libs/declarations/declarations.h"

#include <cppunit/extensions/HelperMacros.h>

#include "libs/declarations/configuration.h"
#include "libs/declarations/parse.h"
#include "tests/auto/support/story.h"

namespace ibisladder::declarations {
namespace {

using testing::Section;

constexpr std::string_view kTwoServices = R"({
  "services": [
    {"name": "library", "servers": [
      {"name": "l1", "endpoint": "127.0.0.1:21001", "zone": "quito-a"}]},
    {"name": "billing", "max_deadline_ms": 2000, "servers": [
      {"name": "b1", "endpoint": "[::1]:21021", "zone": "quito-b",
       "slots": 3, "drained": true}]}],
  "routes": [
    {"prefix": "/", "service": "library", "repeat": "idempotent"},
    {"prefix": "/charges", "methods": ["POST"], "service": "billing",
     "priority": "high", "deadline_ms": 2000},
    {"prefix": "/charges/list", "methods": ["GET", "HEAD"],
     "service": "library", "repeat": "idempotent"},
    {"prefix": "/charges/list", "service": "billing", "deadline_ms": 1000}],
  "organisations": [{"name": "andes-surf", "requests_per_second": 50}]})";

class DeclarationsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DeclarationsTest);
  CPPUNIT_TEST(DeclarationsAreParsed);
  CPPUNIT_TEST(RoutesAreFound);
  CPPUNIT_TEST(ItemsWithEqualHashesAreDistinguished);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DeclarationsAreParsed() {
    const auto parsed = ParseDeclarations(kTwoServices);
    CPPUNIT_ASSERT(parsed.has_value());
    Section("a given field", [&] {
      const auto& server = parsed->services[1].servers[0];
      CPPUNIT_ASSERT_EQUAL(std::string("::1"), server.endpoint.address);
      CPPUNIT_ASSERT(server.slots == 3 && server.drained);
      CPPUNIT_ASSERT(parsed->routes[1].priority == Priority::kHigh);
    });
    Section("an omitted field has its default", [&] {
      CPPUNIT_ASSERT(parsed->services[0].floor_percent == 70);
      CPPUNIT_ASSERT(parsed->routes[1].repeat == RepeatRule::kAtMostOnce);
    });
    Section("the formatted text parses to the same declarations", [&] {
      const std::string text = FormatDeclarations(*parsed);
      const auto again = ParseDeclarations(text);
      CPPUNIT_ASSERT(again.has_value());
      CPPUNIT_ASSERT_EQUAL(text, FormatDeclarations(*again));
    });
  }

  void RoutesAreFound() {
    const auto configuration =
        Compile(ConfigVersion(7), *ParseDeclarations(kTwoServices));
    const auto service_of = [&](std::string_view method,
                                std::string_view path) {
      const Route* route = FindRoute(*configuration, method, path);
      return route == nullptr ? std::string("none")
                              : route->prefix + " " + route->service;
    };
    Section("the longest prefix wins", [&] {
      CPPUNIT_ASSERT_EQUAL(std::string("/charges billing"),
                           service_of("POST", "/charges/7"));
      CPPUNIT_ASSERT_EQUAL(std::string("/ library"), service_of("GET", "/"));
    });
    Section("prefixes match on segment boundaries only", [&] {
      CPPUNIT_ASSERT_EQUAL(std::string("/ library"),
                           service_of("POST", "/chargesheet"));
      CPPUNIT_ASSERT_EQUAL(std::string("/charges billing"),
                           service_of("POST", "/charges/"));
    });
    Section("a shorter prefix serves a method that the longer one lacks", [&] {
      CPPUNIT_ASSERT_EQUAL(std::string("/ library"),
                           service_of("GET", "/charges/7"));
    });
    Section("a route that lists the method precedes one for all methods", [&] {
      CPPUNIT_ASSERT_EQUAL(std::string("/charges/list library"),
                           service_of("GET", "/charges/list"));
      CPPUNIT_ASSERT_EQUAL(std::string("/charges/list billing"),
                           service_of("PUT", "/charges/list"));
    });
    Section("a path that normalizes to another route has no route", [&] {
      for (const char* it :
           {"/x/../charges/7", "/./charges", "//charges", "/%63harges/7",
            "/charges;a=b/7", "/x%2F..%2Fcharges", "/x\\..\\charges"}) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(it, std::string("none"),
                                     service_of("POST", it));
      }
    });
    Section("a path that normalizes to the same route is served", [&] {
      CPPUNIT_ASSERT_EQUAL(std::string("/charges billing"),
                           service_of("POST", "/charges/a%20b"));
      CPPUNIT_ASSERT_EQUAL(std::string("/charges billing"),
                           service_of("POST", "/charges//7/./%zz%4"));
      CPPUNIT_ASSERT_EQUAL(std::string("/ library"),
                           service_of("GET", "/../x"));
    });
    Section("an invalid path has no route", [&] {
      CPPUNIT_ASSERT_EQUAL(std::string("none"), service_of("GET", ""));
      CPPUNIT_ASSERT_EQUAL(std::string("none"), service_of("GET", "x"));
    });
    Section("services and organisations are found by id", [&] {
      CPPUNIT_ASSERT(FindService(*configuration, MakeServiceId("billing")) ==
                     &configuration->declarations.services[1]);
      CPPUNIT_ASSERT(FindService(*configuration, MakeServiceId("x")) ==
                     nullptr);
      CPPUNIT_ASSERT(
          FindOrganisation(*configuration, MakeOrganisationId("andes-surf")) !=
          nullptr);
      CPPUNIT_ASSERT(FindOrganisation(*configuration, OrganisationId(1)) ==
                     nullptr);
    });
  }

  void ItemsWithEqualHashesAreDistinguished() {
    constexpr std::uint32_t kCount = 40;
    constexpr std::uint64_t kHash = ~std::uint64_t{0};
    const auto is = [](std::uint32_t wanted) {
      return [wanted](std::uint32_t it) { return it == wanted; };
    };
    CompactIndex index(kCount);
    for (std::uint32_t i = 0; i < kCount; ++i) {
      CPPUNIT_ASSERT(!index.Add(kHash, i, is(i)));
    }
    for (std::uint32_t i = 0; i < kCount; ++i) {
      CPPUNIT_ASSERT(index.Find(kHash, is(i)) == i);
      CPPUNIT_ASSERT(index.Add(kHash, i, is(i)) == i);
    }
    CPPUNIT_ASSERT(!index.Find(kHash, is(kCount)));
    CPPUNIT_ASSERT(!CompactIndex().Find(kHash, is(0)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeclarationsTest);

}  // namespace
}  // namespace ibisladder::declarations
