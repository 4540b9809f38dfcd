#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

#include "tests/auto/support/story.h"
#include "tests/process/entry_fleet.h"

namespace ibisladder::process {
namespace {

using testing::Section;

/// From this time after the third crash, three more executions are allowed.
constexpr Duration kSettleTime = Seconds(3);
constexpr std::size_t kCrashesToKnow = 3;
constexpr std::size_t kAllowedExecutions = 3;
constexpr char kTarget[] = "/browse/crash";

class EntryCrashesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryCrashesTest);
  CPPUNIT_TEST(AllProcessesTogetherStopSendingARequestThatCrashesServers);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against servers that crash as long as a caller repeats a request,
  /// as each process knows only the crashes that it has seen.
  void AllProcessesTogetherStopSendingARequestThatCrashesServers() {
    EntryFleet fleet({8, 6, 60});
    fleet.SetCrashingTarget(kTarget);
    fleet.Run(Seconds(1));
    const auto run = [&](Duration time) {
      for (Duration passed{}; passed < time; passed += Millis(100)) {
        fleet.SendTo(kTarget + std::string("?page=") +
                     std::to_string(passed.count()));
        fleet.Run(Millis(100));
      }
    };
    run(Seconds(6));
    fleet.Restart(2);
    const TimePoint from = net::MonotonicNow();
    run(Seconds(6));
    fleet.Settle();
    const auto executions = fleet.ExecutionsOfSent();
    Section("the request is sent no more", [&] {
      CPPUNIT_ASSERT(executions.size() >= kCrashesToKnow);
      const TimePoint settled = executions[kCrashesToKnow - 1] + kSettleTime;
      const auto n = std::ranges::count_if(
          executions, [settled](TimePoint it) { return it >= settled; });
      CPPUNIT_ASSERT_MESSAGE(
          std::to_string(n) + " of " + std::to_string(executions.size()),
          static_cast<std::size_t>(n) <= kAllowedExecutions);
    });
    Section("callers of other requests are served", [&] {
      const auto calls = fleet.CallsSince(from);
      const auto served = std::ranges::count(calls, 200, &FleetCall::status);
      CPPUNIT_ASSERT(served * 100 >= std::ssize(calls) * 99);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryCrashesTest);

}  // namespace
}  // namespace ibisladder::process
