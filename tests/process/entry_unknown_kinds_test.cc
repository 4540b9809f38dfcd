#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

#include "tests/auto/support/story.h"
#include "tests/process/entry_fleet.h"
#include "tests/process/entry_setup.h"

namespace ibisladder::process {
namespace {

using testing::Section;

class EntryUnknownKindsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryUnknownKindsTest);
  CPPUNIT_TEST(ItemsThatCannotBeReadTakeNothingElseOutOfService);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a fleet that serves nothing since one route has a kind that
  /// it does not know, and against such a route's requests running twice.
  void ItemsThatCannotBeReadTakeNothingElseOutOfService() {
    constexpr int kInstances = 4;
    EntryFleet::Options options{kInstances, 4, 100, {}};
    options.configuration = PartlyUnreadableConfiguration("127.0.0.1");
    EntryFleet fleet(options);
    const TimePoint from = net::MonotonicNow();
    fleet.Run(Seconds(3));
    for (int i = 0; i < kInstances; ++i) fleet.SendTo("/browse/later/1");
    fleet.Settle();
    Section("downloads and requests of an unknown kind are served", [&] {
      const auto calls = fleet.CallsSince(from);
      const auto served = std::ranges::count(calls, 200, &FleetCall::status);
      CPPUNIT_ASSERT(calls.size() > 200);
      CPPUNIT_ASSERT(served * 100 >= std::ssize(calls) * 99);
    });
    Section("those of an unknown kind at most once", [&] {
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.repeated_at_most_once());
    });
    Section("those of a route without a readable service are refused", [&] {
      for (const int status : fleet.StatusesOfSent()) {
        CPPUNIT_ASSERT_EQUAL(503, status);
      }
    });
    Section("each instance names each problem once", [&] {
      for (const char* item : {"\"routes/charge\"", "\"routes/lost\"",
                               "\"routes/later\"", "\"quotas/#2\""}) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{kInstances},
                             fleet.CountLogLines(item));
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryUnknownKindsTest);

}  // namespace
}  // namespace ibisladder::process
