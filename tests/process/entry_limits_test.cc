#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>

#include "tests/auto/support/story.h"
#include "tests/process/entry_fleet.h"

namespace ibisladder::process {
namespace {

using testing::Section;

/// Users allow one and a half times the limit, and five requests, in any 4 s
/// from 3 s after the server first named it.
constexpr Duration kWindow = Seconds(4);
constexpr Duration kSettleTime = Seconds(3);

std::size_t AllowedInWindow(double limit) {
  return static_cast<std::size_t>(1.5 * limit * ToSeconds(kWindow) + 5);
}

class EntryLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryLimitsTest);
  CPPUNIT_TEST(AllInstancesTogetherKeepALimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a server that gets far more requests than the limit that it
  /// names, since each instance sends it its usual share.
  void AllInstancesTogetherKeepALimit() {
    EntryFleet fleet({});
    fleet.Run(Seconds(2));
    fleet.SetHeaders(1, {{"Server-Limit", "1.8"}});
    fleet.Run(kSettleTime);
    const TimePoint from = net::MonotonicNow();
    fleet.Run(Seconds(8));
    const std::size_t most =
        fleet.MostWithin(1, kWindow, from, net::MonotonicNow());
    std::cout << "  1.8 a second: " << most << " requests in 4 s\n";
    const auto calls = fleet.CallsSince(from);
    const auto served = std::ranges::count(calls, 200, &FleetCall::status);
    Section("callers are served", [&] {
      CPPUNIT_ASSERT(static_cast<std::size_t>(served) > calls.size() * 9 / 10);
    });
    Section("the server gets no more than it allows", [&] {
      CPPUNIT_ASSERT_MESSAGE(std::to_string(most) + " requests in 4 s",
                             most <= AllowedInWindow(1.8));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryLimitsTest);

}  // namespace
}  // namespace ibisladder::process
