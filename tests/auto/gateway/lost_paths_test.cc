#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

#include "tests/auto/gateway/fleet_paths.h"
#include "tests/auto/support/story.h"

namespace ibisladder::gateway {
namespace {

using ibisladder::testing::Section;

constexpr double kRequestsPerSecond = 55;
/// Users judge what is served from this time after a partition began.
constexpr Duration kSettleTime = Seconds(3);
constexpr Duration kPartition = Seconds(12);
/// All requests have ended by then.
constexpr Duration kDrainTime = Seconds(5);

/// Twelve instances in three zones before fourteen servers.
FleetSimulation MakeUsualFleet(std::uint64_t seed) {
  FleetSettings settings;
  settings.servers = {5, 5, 4};
  settings.service_time = Millis(240);
  settings.is_at_most_once_only = false;
  settings.idempotent_percent = 30;
  settings.seed = seed;
  return MakeFleet(settings);
}

std::set<std::size_t> AllOthers(const FleetSimulation& fleet,
                                const std::set<std::size_t>& instances) {
  std::set<std::size_t> result;
  for (std::size_t i = 0; i < fleet.instances.size(); ++i) {
    if (!instances.contains(i)) result.insert(i);
  }
  return result;
}

/// The users' rule: of the first tries at instances without a path at least two
/// thirds as many are served as at the others, or no more than 10 and 1 in 50
/// of all fail there. Both are expected here.
void ExpectServed(const FleetSimulation& fleet,
                  const std::set<std::size_t>& cut,
                  const std::vector<std::uint64_t>& from,
                  const std::vector<std::uint64_t>& to) {
  const auto here = CountServed(fleet, cut, from, to);
  const auto there = CountServed(fleet, AllOthers(fleet, cut), from, to);
  std::cout << "  without a path: " << here.served << " of " << here.arrived
            << " served, others: " << there.served << " of " << there.arrived
            << "\n";
  CPPUNIT_ASSERT(here.arrived > 0 && there.arrived > 0);
  CPPUNIT_ASSERT(here.served * there.arrived * 3 >=
                 there.served * here.arrived * 2);
  CPPUNIT_ASSERT(here.arrived - here.served <=
                 10 + (here.arrived + there.arrived) / 50);
}

/// Cuts these instances off for a while, and judges the calls of that time.
void RunPartition(FleetSimulation& fleet, const std::set<std::size_t>& cut,
                  PathLoss how, double requests_per_second) {
  Run(fleet, Seconds(8), requests_per_second);
  CutPaths(fleet, cut, how);
  Run(fleet, kSettleTime, requests_per_second);
  const auto from = NextCalls(fleet);
  Run(fleet, kPartition - kSettleTime, requests_per_second);
  const auto to = NextCalls(fleet);
  Run(fleet, kDrainTime, requests_per_second);
  ExpectServed(fleet, cut, from, to);
}

class LostPathsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LostPathsTest);
  CPPUNIT_TEST(InstancesWithoutAPathServeTheirCallers);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against instances that reach no server and so refuse their callers,
  /// while other instances reach all servers.
  void InstancesWithoutAPathServeTheirCallers() {
    for (const auto how : {PathLoss::kHangs, PathLoss::kResets,
                           PathLoss::kRefusesNewConnections}) {
      Section("single instances of all zones", [&] {
        auto fleet = MakeUsualFleet(1);
        RunPartition(fleet, {0, 5, 6, 10}, how, kRequestsPerSecond);
      });
      Section("all instances of a zone", [&] {
        auto fleet = MakeUsualFleet(2);
        RunPartition(fleet, {4, 5, 6, 7}, how, kRequestsPerSecond);
      });
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LostPathsTest);

}  // namespace
}  // namespace ibisladder::gateway
