// Runs random schedules against the router. Guards against broken rules of
// routing, such as exceeded budgets and limits, and against starved priorities.
#include "tests/auto/routing/schedule.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>

#include "tests/auto/routing/support.h"
#include "tests/auto/support/story.h"

namespace ibisladder::routing {
namespace {

using declarations::Priority;
using testing::CheckProperty;
using testing::Section;

constexpr TimePoint kStart(Seconds(100));

/// Keeps a queue full of both priorities for a server that handles one request
/// at a time, and returns how many calls of `watched` were served.
int ServedOf(Priority watched, Priority flood, std::uint64_t seed) {
  constexpr int kServed = 210;
  constexpr std::size_t kEach = 8;
  declarations::Service service;
  service.queue_limit = 4 * kEach;
  auto router = MakeRouter(service, Here(), kStart);
  auto servers = MakeServers(1, 0);
  servers[0].slots = 1;
  SetCandidates(*router, servers, 1, kStart);
  Random random(seed);
  const auto deadline = kStart + Seconds(1000);
  std::uint64_t call = 0;
  Place(*router, MakeRequest(call++, deadline), kStart, random);
  std::vector<std::uint64_t> watched_calls;
  int watched_waiting = 0;
  int served = 0;
  for (int n = 0; n < kServed; ++n) {
    for (std::size_t i = 0; i < kEach; ++i) {
      Place(*router, MakeRequest(call++, deadline, flood), kStart, random);
    }
    while (watched_waiting < 4) {
      watched_calls.push_back(call);
      const auto placement = Place(
          *router, MakeRequest(call++, deadline, watched), kStart, random);
      if (std::holds_alternative<Refused>(placement)) break;
      ++watched_waiting;
    }
    AttemptEnded(*router, servers[0].id, detection::AttemptEnd::kOk, Millis(1),
                 kStart);
    for (const auto& it : Pump(*router, kStart, random)) {
      if (!std::ranges::count(watched_calls, it.call.value())) continue;
      --watched_waiting;
      if (std::holds_alternative<Dispatch>(it.placement)) ++served;
    }
  }
  return served;
}

class ScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ScheduleTest);
  CPPUNIT_TEST(RulesHoldUnderAnySchedule);
  CPPUNIT_TEST(NoPriorityIsStarved);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RulesHoldUnderAnySchedule() {
    ScheduleResult sum;
    CheckProperty("the rules of routing hold", 20261203, 1000, [&sum] {
      ScheduleSettings settings;
      settings.seed = *rc::gen::arbitrary<std::uint64_t>();
      settings.steps = *rc::gen::inRange(1, 400);
      settings.servers = 2 * *rc::gen::inRange(1, 5);
      settings.arrivals = *rc::gen::element<std::uint64_t>(15, 50);
      settings.retry_percent = *rc::gen::element<std::uint8_t>(0, 10, 50);
      settings.users_per_server = *rc::gen::inRange(1, 6);
      const auto result = RunSchedule(settings);
      sum.dispatched += result.dispatched;
      sum.queued += result.queued;
      sum.refused += result.refused;
      sum.displaced += result.displaced;
      sum.sheds += result.sheds;
      sum.trials += result.trials;
      sum.last_resorts += result.last_resorts;
      sum.retries_refused += result.retries_refused;
      sum.changes += result.changes;
      RC_LOG() << result.broken;
      RC_ASSERT(result.broken.empty());
    });
    std::cout << "  contained: " << sum.dispatched << " dispatched, "
              << sum.queued << " queued, " << sum.refused << " refused, "
              << sum.displaced << " refused from a full queue, " << sum.sheds
              << " sheds, " << sum.trials << " trials in probation, "
              << sum.last_resorts << " last resorts, " << sum.retries_refused
              << " retries refused, " << sum.changes << " changes of servers\n";
    Section("the schedules contain every kind of event", [&] {
      CPPUNIT_ASSERT(sum.displaced > 100);
      CPPUNIT_ASSERT(sum.trials > 100);
      CPPUNIT_ASSERT(sum.last_resorts > 100);
      CPPUNIT_ASSERT(sum.retries_refused > 100);
      CPPUNIT_ASSERT(sum.sheds > 1000);
    });
  }

  void NoPriorityIsStarved() {
    CheckProperty("no priority is starved", 7, 50, [] {
      const auto seed = *rc::gen::arbitrary<std::uint64_t>();
      // Of 210 served calls, at weights 16 : 4 : 1.
      RC_ASSERT(ServedOf(Priority::kHigh, Priority::kLow, seed) >= 195);
      RC_ASSERT(ServedOf(Priority::kHigh, Priority::kNormal, seed) >= 165);
      RC_ASSERT(ServedOf(Priority::kLow, Priority::kHigh, seed) >= 11);
      RC_ASSERT(ServedOf(Priority::kNormal, Priority::kHigh, seed) >= 40);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScheduleTest);

}  // namespace
}  // namespace ibisladder::routing
