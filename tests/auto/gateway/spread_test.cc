// How requests spread over the servers of a service when they are rare. Each
// test is named after its load pattern. Guards against sound servers that get
// no requests for seconds, and against connections opened to reach them.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "tests/auto/gateway/fleet_simulation.h"
#include "tests/auto/support/story.h"

namespace ibisladder::gateway {
namespace {

using ibisladder::testing::Section;

constexpr Duration kBefore = Seconds(10);
constexpr Duration kAfter = Seconds(16);
/// While a tenth of the requests go unserved, users expect kFloorPercent of the
/// servers to get requests within each kWindow.
constexpr Duration kWindow = Seconds(2);
constexpr Duration kWindowStep = Millis(500);
constexpr std::size_t kFloorPercent = 70;

/// Requests of the whole fleet per second, before and after a change.
struct Load {
  double before = 0;
  double after = 0;
};

struct Spread {
  std::size_t servers = 0;
  /// Least number of servers that got requests within a window, from the first
  /// window after the change on.
  std::size_t least_used = 0;
  /// After the change.
  std::size_t connections_opened = 0;
};

Spread MeasureSpread(const FleetSettings& settings, const Load& load) {
  FleetSimulation fleet = MakeFleet(settings);
  Run(fleet, kBefore, load.before);
  const std::size_t opened = fleet.connections_opened;
  const TimePoint change = fleet.now;
  Run(fleet, kAfter, load.after);
  Spread spread;
  spread.servers = fleet.servers.size();
  spread.least_used = spread.servers;
  spread.connections_opened = fleet.connections_opened - opened;
  for (TimePoint at = change + kWindow; at + kWindow <= fleet.now;
       at += kWindowStep) {
    const auto used = ServersUsed(fleet, at, at + kWindow);
    spread.least_used = std::min(spread.least_used, used.size());
  }
  return spread;
}

void AssertMeetsFloor(const Spread& spread) {
  CPPUNIT_ASSERT_MESSAGE(
      std::to_string(spread.least_used) + " of " +
          std::to_string(spread.servers) + " servers got requests",
      spread.least_used * 100 >= spread.servers * kFloorPercent);
}

FleetSettings FourZones() {
  FleetSettings settings;
  settings.servers = {26, 26, 25, 25};
  return settings;
}

class SpreadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SpreadTest);
  CPPUNIT_TEST(ChangedWeightsLeaveFewRequestsForManyServers);
  CPPUNIT_TEST(RareRequestsInThreeZones);
  CPPUNIT_TEST(RareRequestsAndUnevenZones);
  CPPUNIT_TEST(RequestsComeToAnIdleService);
  CPPUNIT_TEST(SmallSite);
  CPPUNIT_TEST(AllCallersInOneZoneWhileRequestsGoUnserved);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// An instance must not return to the servers to which it happens to have a
  /// connection while others get nothing.
  void ChangedWeightsLeaveFewRequestsForManyServers() {
    Section("84 requests a second for 102 servers", [&] {
      const Spread spread = MeasureSpread(FourZones(), {350, 84});
      AssertMeetsFloor(spread);
      Section("over open connections", [&] {
        CPPUNIT_ASSERT(spread.connections_opened <= spread.servers / 2);
      });
    });
    Section("60 requests a second", [&] {
      const Spread spread = MeasureSpread(FourZones(), {350, 60});
      AssertMeetsFloor(spread);
      CPPUNIT_ASSERT(spread.connections_opened <= spread.servers / 2);
    });
    Section("as many requests as before", [&] {
      const Spread spread = MeasureSpread(FourZones(), {350, 350});
      CPPUNIT_ASSERT(spread.least_used + 1 >= spread.servers);
      CPPUNIT_ASSERT(spread.connections_opened <= spread.servers);
    });
  }

  void RareRequestsInThreeZones() {
    FleetSettings settings;
    settings.servers = {18, 18, 18};
    const Spread spread = MeasureSpread(settings, {200, 50});
    AssertMeetsFloor(spread);
    CPPUNIT_ASSERT(spread.connections_opened <= spread.servers / 2);
  }

  void RareRequestsAndUnevenZones() {
    FleetSettings settings;
    settings.servers = {5, 12, 20, 17};
    const Spread spread = MeasureSpread(settings, {200, 50});
    AssertMeetsFloor(spread);
    CPPUNIT_ASSERT(spread.connections_opened <= spread.servers / 2);
  }

  /// Instances must not believe for long that requests are too rare to use all
  /// servers of their share.
  void RequestsComeToAnIdleService() {
    AssertMeetsFloor(MeasureSpread(FourZones(), {2, 84}));
  }

  /// With fewer servers than instances, shares overlap.
  void SmallSite() {
    FleetSettings settings;
    for (const auto& servers :
         std::vector<std::vector<int>>{{2, 2, 2}, {3, 3, 2}, {4, 3, 3}}) {
      settings.servers = servers;
      AssertMeetsFloor(MeasureSpread(settings, {20, 20}));
    }
  }

  /// Another service of the split route serves nothing. Servers in zones
  /// without callers must not be left without requests.
  void AllCallersInOneZoneWhileRequestsGoUnserved() {
    FleetSettings settings = FourZones();
    settings.caller_zones = {"b"};
    Section("only servers of the zone while requests are served", [&] {
      const Spread spread = MeasureSpread(settings, {350, 84});
      CPPUNIT_ASSERT(spread.least_used <= 26);
    });
    Section("servers of all zones once requests go unserved", [&] {
      settings.unserved_percent = 20;
      AssertMeetsFloor(MeasureSpread(settings, {437.5, 105}));
    });
    Section("also if the zone has few servers", [&] {
      settings.servers = {5, 12, 20, 17};
      settings.caller_zones = {"a"};
      AssertMeetsFloor(MeasureSpread(settings, {250, 62.5}));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SpreadTest);

}  // namespace
}  // namespace ibisladder::gateway
