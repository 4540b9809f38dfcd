// Requests that crash each server that executes them, and that come again at
// any instance. Guards against a fleet in which no instance knows what the
// others have seen: the servers would crash as long as the caller asks.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
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

struct Outcomes {
  std::size_t served = 0;
  /// Told that the request crashes servers.
  std::size_t refused = 0;
  std::size_t all = 0;
};

Outcomes OutcomesOf(const FleetSimulation& fleet,
                    const std::vector<ArrivedCall>& calls) {
  Outcomes outcomes;
  for (const ArrivedCall& it : calls) {
    const auto& answers = fleet.instances[it.instance].answers;
    const auto answer = answers.find(it.call);
    if (answer == answers.end()) continue;
    ++outcomes.all;
    outcomes.served += answer->second.status == 200 ? 1 : 0;
    outcomes.refused +=
        answer->second.code == ResultCode::kRequestCrashesServers ? 1 : 0;
  }
  return outcomes;
}

class CrashingRequestsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashingRequestsTest);
  CPPUNIT_TEST(AllInstancesTogetherStopSendingARequestThatCrashesServers);
  CPPUNIT_TEST(RequestOfSeveralCallersIsRefused);
  CPPUNIT_TEST(StrangersWithTheSameTargetAreServed);
  CPPUNIT_TEST(KnowledgeSurvivesRestartsOfInstances);
  CPPUNIT_TEST(RepeatedRequestsBesideCrashesAreServed);
  CPPUNIT_TEST(LostConnectionsOfLivingServersAreNoCrashes);
  CPPUNIT_TEST(RefusedRequestIsTriedLater);
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

  /// The caller changes its address, as a phone does, or stands behind several.
  void RequestOfSeveralCallersIsRefused() {
    FleetSettings settings = SettingsOf(kSizes[1]);
    settings.crashing.caller_address.clear();
    FleetSimulation fleet = MakeFleet(settings);
    for (int i = 0; i < 240; ++i) {
      ArriveFrom(fleet, "10.9.9." + std::to_string(i % 200),
                 kCrashing.target + std::to_string(i));
      Run(fleet, Millis(120), kBackgroundPerSecond);
    }
    CPPUNIT_ASSERT(fleet.crashes.size() >= kCrashesToKnow);
    const TimePoint from = fleet.crashes[kCrashesToKnow - 1] + kSettleTime;
    const auto n = std::ranges::count_if(fleet.sent, [&](const auto& it) {
      return it.at >= from && it.target.starts_with(kCrashing.target);
    });
    CPPUNIT_ASSERT_MESSAGE(std::to_string(n) + " sends",
                           static_cast<std::size_t>(n) <= kAllowedSends);
  }

  void StrangersWithTheSameTargetAreServed() {
    FleetSimulation fleet = MakeFleet(SettingsOf(kSizes[1]));
    RunWithCrashes(fleet, Seconds(8));
    std::vector<ArrivedCall> strangers;
    for (int i = 0; i < 80; ++i) {
      strangers.push_back(ArriveFrom(fleet, kStranger, kCrashing.target));
      RunWithCrashes(fleet, Millis(120));
    }
    const Outcomes outcomes = OutcomesOf(fleet, strangers);
    CPPUNIT_ASSERT(outcomes.all > 70);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, outcomes.refused);
    CPPUNIT_ASSERT(outcomes.served * 10 >= outcomes.all * 9);
  }

  void KnowledgeSurvivesRestartsOfInstances() {
    FleetSimulation fleet = MakeFleet(SettingsOf(kSizes[0]));
    for (int i = 0; i < 24; ++i) {
      RunWithCrashes(fleet, Seconds(1));
      RestartInstance(fleet, i % fleet.instances.size());
    }
    ExpectFewSends(fleet);
  }

  /// The caller repeats a harmless request as often as the crashing one comes,
  /// so that servers often crash while they run it.
  void RepeatedRequestsBesideCrashesAreServed() {
    FleetSimulation fleet = MakeFleet(SettingsOf(kSizes[0]));
    std::vector<ArrivedCall> polls;
    for (int i = 0; i < 200; ++i) {
      polls.push_back(ArriveFrom(fleet, kStranger, "/read/board"));
      RunWithCrashes(fleet, Millis(120));
    }
    const Outcomes outcomes = OutcomesOf(fleet, polls);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, outcomes.refused);
  }

  void LostConnectionsOfLivingServersAreNoCrashes() {
    FleetSettings settings = SettingsOf(kSizes[0]);
    settings.crashing = {};
    FleetSimulation fleet = MakeFleet(settings);
    const auto poll = [&](Duration time) {
      std::vector<ArrivedCall> calls;
      for (Duration passed{}; passed < time; passed += Millis(100)) {
        calls.push_back(ArriveFrom(fleet, kStranger, "/read/board"));
        Run(fleet, Millis(100), kBackgroundPerSecond);
      }
      return OutcomesOf(fleet, calls);
    };
    poll(Seconds(2));
    for (auto& [name, server] : fleet.servers)
      server.mode = ServerMode::kLosesRequests;
    poll(Millis(500));
    for (auto& [name, server] : fleet.servers)
      server.mode = ServerMode::kHealthy;
    Run(fleet, Seconds(8), kBackgroundPerSecond);
    const Outcomes outcomes = poll(Seconds(4));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, outcomes.refused);
    CPPUNIT_ASSERT(outcomes.served * 10 >= outcomes.all * 9);
  }

  void RefusedRequestIsTriedLater() {
    FleetSimulation fleet = MakeFleet(SettingsOf(kSizes[0]));
    RunWithCrashes(fleet, Seconds(5));
    const std::size_t crashes = fleet.crashes.size();
    Section("one trial after a minute, which crashes a server", [&] {
      RunWithCrashes(fleet, Seconds(70));
      CPPUNIT_ASSERT_EQUAL(crashes + 1, fleet.crashes.size());
    });
    Section("once servers are mended, the next one allows it again", [&] {
      fleet.settings.crashing = {};
      for (int i = 0; i < 1200; ++i) {
        ArriveFrom(fleet, kCrashing.caller_address, kCrashing.target);
        Run(fleet, Millis(100), kBackgroundPerSecond);
      }
      const ArrivedCall last =
          ArriveFrom(fleet, kCrashing.caller_address, kCrashing.target);
      Run(fleet, Seconds(1), kBackgroundPerSecond);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, OutcomesOf(fleet, {last}).served);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingRequestsTest);

}  // namespace
}  // namespace ibisladder::gateway
