// Requests that crash each server that executes them, and that come again at
// any instance. Guards against a fleet in which no instance knows what the
// others have seen: the servers would crash as long as the caller asks.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "tests/auto/gateway/fleet_simulation.h"
#include "tests/auto/support/story.h"

namespace ibisladder::gateway {
namespace {

using ibisladder::testing::Section;

const CrashingRequest kCrashing{"/read/1?page=3", "10.9.9.9"};
constexpr char kStranger[] = "10.9.9.8";
/// Time after the third crash from which the bound holds, and the bound.
constexpr Duration kSettleTime = Seconds(3);
constexpr std::size_t kAllowedSends = 3;
constexpr std::size_t kCrashesToKnow = 3;
constexpr double kBackgroundPerSecond = 15;

struct FleetSize {
  int instances = 8;
  std::vector<int> servers;
};

const std::vector<FleetSize> kSizes = {
    {8, {4, 3}}, {32, {4, 3}}, {124, {6, 6, 6, 6}}};

FleetSettings SettingsOf(const FleetSize& size, std::uint64_t seed = 1) {
  FleetSettings settings;
  settings.servers = size.servers;
  settings.instances_per_zone =
      size.instances / static_cast<int>(size.servers.size());
  settings.is_at_most_once_only = false;
  settings.crashing = kCrashing;
  settings.seed = seed;
  return settings;
}

/// Sends the crashing request about eight times a second beside other requests.
void RunWithCrashes(FleetSimulation& fleet, Duration time) {
  constexpr Duration kGap = Millis(120);
  for (Duration passed{}; passed < time; passed += kGap) {
    ArriveFrom(fleet, kCrashing.caller_address, kCrashing.target);
    Run(fleet, kGap, kBackgroundPerSecond);
  }
}

void ExpectFewSends(const FleetSimulation& fleet) {
  CPPUNIT_ASSERT(fleet.crashes.size() >= kCrashesToKnow);
  const TimePoint from = fleet.crashes[kCrashesToKnow - 1] + kSettleTime;
  const std::size_t n = CountSentFor(fleet, kCrashing, from, fleet.now);
  CPPUNIT_ASSERT_MESSAGE(std::to_string(n) + " sends after the third crash, " +
                             std::to_string(fleet.crashes.size()) +
                             " crashes in all",
                         n <= kAllowedSends);
}

class CrashingRequestsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashingRequestsTest);
  CPPUNIT_TEST(AllInstancesTogetherStopSendingARequestThatCrashesServers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AllInstancesTogetherStopSendingARequestThatCrashesServers() {
    for (const FleetSize& size : kSizes) {
      Section(std::to_string(size.instances) + " instances", [&] {
        FleetSimulation fleet = MakeFleet(SettingsOf(size));
        RunWithCrashes(fleet, Seconds(30));
        ExpectFewSends(fleet);
      });
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingRequestsTest);

}  // namespace
}  // namespace ibisladder::gateway
