#include "libs/gateway/stop_plan.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "tests/auto/support/story.h"

namespace ibisladder::gateway {
namespace {

using ibisladder::testing::Section;

class StopPlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StopPlanTest);
  CPPUNIT_TEST(StopServesThenFinishesWithinTheLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StopServesThenFinishesWithinTheLimit() {
    constexpr Duration kLimit = Seconds(6);
    Section("first third of the limit: requests are served", [&] {
      CPPUNIT_ASSERT(StopPhaseAt(Seconds(1), kLimit, {0, 0}) ==
                     StopPhase::kLeaving);
    });
    Section("then open calls and connections finish", [&] {
      CPPUNIT_ASSERT(StopPhaseAt(Seconds(3), kLimit, {1, 0}) ==
                     StopPhase::kFinishing);
      CPPUNIT_ASSERT(StopPhaseAt(Seconds(3), kLimit, {0, 2}) ==
                     StopPhase::kFinishing);
    });
    Section("process ends when nothing is open", [&] {
      CPPUNIT_ASSERT(StopPhaseAt(Seconds(3), kLimit, {0, 0}) ==
                     StopPhase::kEnded);
    });
    Section("process ends just before the limit", [&] {
      CPPUNIT_ASSERT(StopPhaseAt(Millis(5800), kLimit, {3, 3}) ==
                     StopPhase::kEnded);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopPlanTest);

}  // namespace
}  // namespace ibisladder::gateway
