#include "libs/gateway/zone_traffic.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "tests/auto/gateway/forwarder_fixture.h"
#include "tests/auto/support/story.h"

namespace ibisladder::gateway {
namespace {

using ibisladder::testing::Section;

class ZoneTrafficTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ZoneTrafficTest);
  CPPUNIT_TEST(BytesAreCountedByKind);
  CPPUNIT_TEST(AttemptsToOtherZonesAreKnown);
  CPPUNIT_TEST_SUITE_END();

 public:
  void BytesAreCountedByKind() {
    ZoneTraffic before;
    CountBytes(before, Cargo::kAnswers, 100);
    ZoneTraffic more;
    CountBytes(more, Cargo::kAnswers, 20);
    CountBytes(more, Cargo::kEvidence, 3);
    const LogLine line = DescribeSince(Sum(before, more), before);
    CPPUNIT_ASSERT(line.event == LogEvent::kZoneTraffic);
    CPPUNIT_ASSERT_EQUAL(kCargoKinds, line.fields.size());
    CPPUNIT_ASSERT_EQUAL(std::string("answers"), line.fields.at(1).name);
    CPPUNIT_ASSERT_EQUAL(std::string("20"), line.fields.at(1).value);
    CPPUNIT_ASSERT_EQUAL(std::string("3"), line.fields.at(2).value);
  }

  void AttemptsToOtherZonesAreKnown() {
    ForwarderSettings settings;
    for (const char* zone : {"a", "b"}) {
      settings.zone = ZoneName(zone);
      auto fixture = MakeFixture(1, settings);
      const SendAttempt attempt =
          LastAttempt(fixture, Arrive(fixture, "/read/1"));
      const bool leaves_zone = settings.zone != ZoneName("a");
      Section(std::string("from zone ") + zone, [&] {
        CPPUNIT_ASSERT_EQUAL(leaves_zone, attempt.leaves_zone);
        CPPUNIT_ASSERT_EQUAL(leaves_zone,
                             LeavesZone(*fixture.forwarder, attempt.attempt));
      });
      Answer(fixture, attempt, 200);
      CPPUNIT_ASSERT(!LeavesZone(*fixture.forwarder, attempt.attempt));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneTrafficTest);

}  // namespace
}  // namespace ibisladder::gateway
