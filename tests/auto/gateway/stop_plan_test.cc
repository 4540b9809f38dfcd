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
  CPPUNIT_TEST(ProcessEndsLateWithAnyLimit);
  CPPUNIT_TEST(WorkThatMayBeCutOffDependsOnItsArrival);
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

  /// Guards against a process that ends so early that work counts as cut off
  /// which the limit would have left time for.
  void ProcessEndsLateWithAnyLimit() {
    for (const Duration limit :
         {Millis(100), Seconds(1), Seconds(6), Seconds(10), Seconds(3600)}) {
      const PlannedStop stop = PlanStop(TimePoint(Seconds(50)), limit);
      const Duration length = stop.ends_at - stop.began_at;
      CPPUNIT_ASSERT(length < limit);
      CPPUNIT_ASSERT(length > limit - limit / 6);
      CPPUNIT_ASSERT(StopPhaseAt(length - Micros(1), limit, {1, 0}) ==
                     StopPhase::kFinishing);
      CPPUNIT_ASSERT(StopPhaseAt(length, limit, {1, 0}) == StopPhase::kEnded);
    }
  }

  /// Guards against work that is begun and then cut off although its caller
  /// could know of the stop, and against refusals that no stop needs.
  void WorkThatMayBeCutOffDependsOnItsArrival() {
    const TimePoint began(Seconds(50));
    const PlannedStop stop = PlanStop(began, Seconds(10));
    const auto may_be_cut_off = [&](Duration arrival, Duration time) {
      const TimePoint now = began + arrival;
      return MayBeCutOff(stop, now, now + time, Seconds(2), now);
    };
    Section("soon after the signal, the usual time counts", [&] {
      CPPUNIT_ASSERT(!may_be_cut_off(Seconds(1), Seconds(30)));
      CPPUNIT_ASSERT(!may_be_cut_off(-Seconds(1), Seconds(30)));
    });
    Section("later the deadline does", [&] {
      CPPUNIT_ASSERT(may_be_cut_off(Millis(3050), Seconds(10)));
      CPPUNIT_ASSERT(!may_be_cut_off(Millis(3050), Seconds(6)));
    });
    Section("a request that waits keeps its arrival", [&] {
      const TimePoint now = began + Seconds(5);
      CPPUNIT_ASSERT(!MayBeCutOff(stop, began + Seconds(1), now + Seconds(30),
                                  Seconds(2), now));
      CPPUNIT_ASSERT(MayBeCutOff(stop, began + Seconds(1), now + Seconds(30),
                                 Seconds(5), now));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopPlanTest);

}  // namespace
}  // namespace ibisladder::gateway
