// What an instance does about versions of the configuration that others
// announce.
#include "libs/gateway/configuration_lag.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <limits>

#include "tests/auto/support/story.h"

namespace ibisladder::gateway {
namespace {

using ibisladder::testing::Section;

const TimePoint kStart{Seconds(100)};
const ConfigVersion kOld(16);
const ConfigVersion kNew(19);

ConfigurationLag Installed(ConfigVersion version) {
  ConfigurationLag lag;
  RecordInstalled(lag, version, kStart);
  return lag;
}

/// Returns the number of reads that are due within `time` if checked each 100
/// ms.
int CountReads(ConfigurationLag& lag, Duration time) {
  int n = 0;
  for (Duration it{}; it < time; it += Millis(100))
    n += TakeDueRead(lag, kStart + it) ? 1 : 0;
  return n;
}

class ConfigurationLagTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationLagTest);
  CPPUNIT_TEST(AnnouncedVersionIsReadIfTheWatchDoesNotReturnIt);
  CPPUNIT_TEST(OlderAnnouncementsEndNothing);
  CPPUNIT_TEST(WrongAnnouncementsCostFewReads);
  CPPUNIT_TEST(PeersThatAreBehindAreTold);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AnnouncedVersionIsReadIfTheWatchDoesNotReturnIt() {
    ConfigurationLag lag = Installed(kOld);
    CPPUNIT_ASSERT(!TakeDueRead(lag, kStart + Seconds(1)));
    CPPUNIT_ASSERT(RecordAnnouncement(lag, kNew, "a", kStart));
    CPPUNIT_ASSERT(!TakeDueRead(lag, kStart + Millis(300)));
    Section("the watch returns it in time", [&] {
      ConfigurationLag other = lag;
      RecordInstalled(other, kNew, kStart + Millis(300));
      CPPUNIT_ASSERT(!TakeDueRead(other, kStart + Seconds(1)));
      CPPUNIT_ASSERT(BehindFor(other, kStart + Seconds(1)) == Duration::zero());
    });
    Section("it does not", [&] {
      CPPUNIT_ASSERT(TakeDueRead(lag, kStart + Millis(400)));
      CPPUNIT_ASSERT(BehindFor(lag, kStart + Seconds(1)) == Seconds(1));
    });
    Section("reads that fail are repeated, more and more rarely", [&] {
      CPPUNIT_ASSERT(!TakeDueRead(lag, kStart + Millis(900)));
      CPPUNIT_ASSERT(TakeDueRead(lag, kStart + Millis(1200)));
    });
  }

  void OlderAnnouncementsEndNothing() {
    ConfigurationLag lag = Installed(kOld);
    RecordAnnouncement(lag, kNew, "a", kStart);
    CPPUNIT_ASSERT(!RecordAnnouncement(lag, kOld, "b", kStart + Millis(100)));
    CPPUNIT_ASSERT(!RecordAnnouncement(lag, kNew, "c", kStart + Millis(200)));
    CPPUNIT_ASSERT(TakeDueRead(lag, kStart + Millis(400)));
    CPPUNIT_ASSERT(HighestKnown(lag) == kNew);
  }

  void WrongAnnouncementsCostFewReads() {
    constexpr int kMostReads = 9;
    ConfigurationLag lag = Installed(kOld);
    const ConfigVersion wrong(std::numeric_limits<std::uint64_t>::max());
    RecordAnnouncement(lag, wrong, "a", kStart);
    Section("while the store cannot be read", [&] {
      ConfigurationLag other = lag;
      const int n = CountReads(other, Seconds(30));
      CPPUNIT_ASSERT(n > 3 && n <= kMostReads);
    });
    const TimePoint read = kStart + Millis(400);
    Section("a read that began before the announcement proves nothing", [&] {
      CPPUNIT_ASSERT(!RecordRead(lag, kStart - Millis(1), read));
    });
    Section("a later read without the version does", [&] {
      CPPUNIT_ASSERT(RecordRead(lag, kStart + Millis(350), read));
      CPPUNIT_ASSERT(HighestKnown(lag) == kOld);
      CPPUNIT_ASSERT(!RecordAnnouncement(lag, wrong, "a", read + Seconds(1)));
    });
    Section("other versions still count", [&] {
      CPPUNIT_ASSERT(RecordAnnouncement(lag, kNew, "b", read + Seconds(1)));
      CPPUNIT_ASSERT(TakeDueRead(lag, read + Seconds(2)));
    });
    Section("and so does the same one after a while", [&] {
      ConfigurationLag other = Installed(kOld);
      other.disproved = kNew;
      other.disproved_until = kStart;
      CPPUNIT_ASSERT(RecordAnnouncement(other, kNew, "b", kStart));
    });
  }

  void PeersThatAreBehindAreTold() {
    ConfigurationLag lag = Installed(kOld);
    RecordInstalled(lag, kNew, kStart + Seconds(1));
    const TimePoint soon = kStart + Seconds(1) + Millis(100);
    CPPUNIT_ASSERT(!MustTell(lag, kOld, soon));
    CPPUNIT_ASSERT(MustTell(lag, kOld, soon + Seconds(1)));
    CPPUNIT_ASSERT(!MustTell(lag, kNew, soon + Seconds(1)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationLagTest);

}  // namespace
}  // namespace ibisladder::gateway
