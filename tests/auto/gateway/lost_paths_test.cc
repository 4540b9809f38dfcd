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

/// Returns a random time from `least` to `least` + `range` milliseconds.
Duration DrawMillis(Random& random, int least, int range) {
  const auto more = UniformBelow(random, static_cast<std::uint64_t>(range));
  return Millis(least + static_cast<int>(more));
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
  CPPUNIT_TEST(NothingRunsTwiceOrAfterARefusal);
  CPPUNIT_TEST(PathsThatHealAreUsedAtOnce);
  CPPUNIT_TEST(OthersCarryABoundedLoad);
  CPPUNIT_TEST(ServersThatAllFailAreNoLostPath);
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

  /// Guards against requests that run at two servers, or after their caller was
  /// told that they have not, when partitions begin and end at any moment.
  void NothingRunsTwiceOrAfterARefusal() {
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
      auto fleet = MakeUsualFleet(seed);
      fleet.settings.lost_relays_percent = 10;
      Random random(seed);
      for (int i = 0; i < 8; ++i) {
        Run(fleet, DrawMillis(random, 200, 1500), 120);
        std::set<std::size_t> cut;
        for (std::size_t k = 0; k < fleet.instances.size(); ++k) {
          if (UniformBelow(random, 2) == 0) cut.insert(k);
        }
        CutPaths(fleet, cut, static_cast<PathLoss>(UniformBelow(random, 3)));
        Run(fleet, DrawMillis(random, 100, 2500), 120);
        HealPaths(fleet);
      }
      Run(fleet, kDrainTime, 0);
      for (const auto& [id, n] : fleet.executions) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(id + ", seed " + std::to_string(seed), 1,
                                     n);
      }
      ExpectTrueRefusals(fleet);
    }
  }

  /// Guards against verdicts of the time without a path that outlast it.
  void PathsThatHealAreUsedAtOnce() {
    for (const auto how : {PathLoss::kHangs, PathLoss::kResets,
                           PathLoss::kRefusesNewConnections}) {
      auto fleet = MakeUsualFleet(3);
      const std::set<std::size_t> cut = {0, 5, 6, 10};
      Run(fleet, Seconds(8), kRequestsPerSecond);
      CutPaths(fleet, cut, how);
      Run(fleet, kPartition, kRequestsPerSecond);
      HealPaths(fleet);
      Run(fleet, Millis(600), kRequestsPerSecond);
      const std::uint64_t relayed = fleet.relayed;
      const auto from = NextCalls(fleet);
      Run(fleet, Seconds(5), kRequestsPerSecond);
      const auto to = NextCalls(fleet);
      CPPUNIT_ASSERT_EQUAL(relayed, fleet.relayed);
      Run(fleet, kDrainTime, kRequestsPerSecond);
      ExpectServed(fleet, cut, from, to);
    }
  }

  /// Guards against instances that pass so much on that the others, and the
  /// servers, get more than their callers send, when these are nearly full.
  void OthersCarryABoundedLoad() {
    // Fourteen servers of three slots serve 175 requests a second.
    constexpr double kNearlyFull = 150;
    auto fleet = MakeUsualFleet(4);
    const std::set<std::size_t> cut = {4, 5, 6, 7};
    Run(fleet, Seconds(8), kNearlyFull);
    CutPaths(fleet, cut, PathLoss::kHangs);
    Run(fleet, kSettleTime, kNearlyFull);
    const auto from = NextCalls(fleet);
    const std::uint64_t relayed = fleet.relayed;
    const std::size_t sent = fleet.sent.size();
    Run(fleet, kPartition - kSettleTime, kNearlyFull);
    const auto to = NextCalls(fleet);
    const std::uint64_t relays = fleet.relayed - relayed;
    const std::size_t arrivals = fleet.sent.size() - sent;
    Run(fleet, kDrainTime, kNearlyFull);
    const auto here = CountServed(fleet, cut, from, to);
    const auto there = CountServed(fleet, AllOthers(fleet, cut), from, to);
    std::cout << "  nearly full: " << here.served << " of " << here.arrived
              << " served without a path, others " << there.served << " of "
              << there.arrived << ", passed on " << relays << " times\n";
    Section("each request is passed on once, but for a few",
            [&] { CPPUNIT_ASSERT(relays <= here.arrived + here.arrived / 5); });
    Section("servers get one request each, and the second attempts allowed",
            [&] {
              const auto arrived = here.arrived + there.arrived;
              CPPUNIT_ASSERT(arrivals <= arrived + arrived / 5 + 62);
            });
    Section("callers are served alike", [&] {
      CPPUNIT_ASSERT(here.served * there.arrived * 3 >=
                     there.served * here.arrived * 2);
      CPPUNIT_ASSERT(there.served * 10 >= there.arrived * 9);
    });
  }

  /// Guards against requests that instances pass to and fro while the servers
  /// are what fails.
  void ServersThatAllFailAreNoLostPath() {
    auto fleet = MakeUsualFleet(5);
    Run(fleet, Seconds(4), kRequestsPerSecond);
    for (auto& [name, server] : fleet.servers) {
      server.mode = ServerMode::kRefuses;
    }
    Run(fleet, Seconds(3), kRequestsPerSecond);
    const std::uint64_t relayed = fleet.relayed;
    const auto from = NextCalls(fleet);
    Run(fleet, Seconds(10), kRequestsPerSecond);
    const auto to = NextCalls(fleet);
    const auto all = CountServed(fleet, AllOthers(fleet, {}), from, to);
    std::cout << "  all servers fail: " << fleet.relayed - relayed
              << " passed on of " << all.arrived << "\n";
    CPPUNIT_ASSERT((fleet.relayed - relayed) * 10 <= all.arrived);
    Section("callers are served once the servers run again", [&] {
      for (auto& [name, server] : fleet.servers) {
        server.mode = ServerMode::kHealthy;
      }
      Run(fleet, Seconds(4), kRequestsPerSecond);
      const auto begin = NextCalls(fleet);
      Run(fleet, Seconds(4), kRequestsPerSecond);
      const auto end = NextCalls(fleet);
      Run(fleet, kDrainTime, kRequestsPerSecond);
      const auto served = CountServed(fleet, AllOthers(fleet, {}), begin, end);
      CPPUNIT_ASSERT(served.served * 100 >= served.arrived * 95);
    });
  }

 private:
  static void ExpectTrueRefusals(const FleetSimulation& fleet) {
    for (const auto& instance : fleet.instances) {
      for (const auto& [call, answer] : instance.answers) {
        if (answer.status != 503) continue;
        const std::string id =
            instance.id_prefix + std::to_string(call.value());
        CPPUNIT_ASSERT_MESSAGE(id, !fleet.executions.contains(id));
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LostPathsTest);

}  // namespace
}  // namespace ibisladder::gateway
