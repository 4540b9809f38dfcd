// Servers that name a limit for the requests of all instances together. Guards
// against a limit that each instance keeps by itself, or not at all.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "tests/auto/gateway/fleet_simulation.h"
#include "tests/auto/support/story.h"

namespace ibisladder::gateway {
namespace {

using ibisladder::testing::Section;

/// Users allow one and a half times the limit, and five requests, in any 4 s
/// from 3 s after the server first named it.
constexpr Duration kWindow = Seconds(4);
constexpr Duration kSettleTime = Seconds(3);
constexpr double kAllowedFactor = 1.5;
constexpr double kAllowedExtra = 5;

std::size_t AllowedInWindow(double limit) {
  return static_cast<std::size_t>(kAllowedFactor * limit * ToSeconds(kWindow) +
                                  kAllowedExtra);
}

struct FleetSize {
  int instances = 8;
  std::vector<int> servers;
};

const std::vector<FleetSize> kSizes = {{8, {3, 3}},
                                       {44, {4, 4, 3, 3}},
                                       {124, {6, 6, 6, 6}},
                                       {540, {4, 4, 4, 4, 4, 4}}};

FleetSimulation MakeLimitedFleet(const FleetSize& size, std::uint64_t seed) {
  FleetSettings settings;
  settings.servers = size.servers;
  settings.instances_per_zone =
      size.instances / static_cast<int>(size.servers.size());
  settings.seed = seed;
  return MakeFleet(settings);
}

class ServerLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerLimitsTest);
  CPPUNIT_TEST(AllInstancesTogetherKeepALimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a server that gets far more requests than the limit that it
  /// names, since each of many instances sends it a few.
  void AllInstancesTogetherKeepALimit() {
    for (const FleetSize& size : kSizes) {
      for (const double limit : {0.2, 1.8, 10.0}) {
        FleetSimulation fleet = MakeLimitedFleet(size, 1);
        const auto n = static_cast<double>(fleet.servers.size());
        Run(fleet, Seconds(2), n * 5);
        fleet.servers.at("a0").limit = RequestsPerSecond(limit);
        Run(fleet, kSettleTime, n * 5);
        const TimePoint from = fleet.now;
        Run(fleet, Seconds(10), n * 5);
        Section(std::to_string(size.instances) + " instances, limit " +
                    std::to_string(limit),
                [&] {
                  const std::size_t most =
                      MostSentWithin(fleet, "a0", kWindow, from, fleet.now);
                  CPPUNIT_ASSERT_MESSAGE(
                      std::to_string(most) + " requests in 4 s",
                      most <= AllowedInWindow(limit));
                });
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerLimitsTest);

}  // namespace
}  // namespace ibisladder::gateway
