// Guards against at-most-once requests that run twice, results that contradict
// what the servers ran, and requests that a rolling replacement aborts. Random
// sessions combine failing servers, lost, delayed and copied messages, paused
// and restarted instances and changing declarations.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>

#include "tests/auto/sessions/simulation.h"
#include "tests/auto/support/story.h"

namespace ibisladder::sessions {
namespace {

using testing::CheckProperty;

rc::Gen<Step> GenStep() {
  // Mostly at-most-once requests, and server modes that cover most failures.
  using Kind = Step::Kind;
  const auto kind =
      rc::gen::weightedElement<Kind>({{8, Kind::kAtMostOnceRequest},
                                      {2, Kind::kIdempotentRequest},
                                      {6, Kind::kServerMode},
                                      {2, Kind::kPause},
                                      {2, Kind::kRestart},
                                      {2, Kind::kCut},
                                      {2, Kind::kLateCopy},
                                      {1, Kind::kStop},
                                      {1, Kind::kChange}});
  return rc::gen::apply(
      [](Step::Kind kind, int at, int length, std::uint32_t a,
         std::uint32_t b) {
        Step step;
        step.kind = kind;
        step.at = Millis(at);
        step.length = Millis(length);
        step.a = a;
        step.b = b;
        return step;
      },
      kind, rc::gen::inRange(0, 15000), rc::gen::inRange(1, 8000),
      rc::gen::inRange<std::uint32_t>(0, 1000),
      rc::gen::inRange<std::uint32_t>(0, 1000));
}

rc::Gen<Plan> GenPlan() {
  return rc::gen::apply(
      [](std::vector<Step> steps, int loss, int duplicate, int delay,
         std::uint64_t seed, int size) {
        Plan plan;
        plan.steps = std::move(steps);
        plan.rates = {loss, duplicate, delay};
        plan.seed = seed;
        // Too few records in a third of the cases, too few bytes for answers in
        // two thirds.
        plan.max_records = size < 20 ? 4 : 1000;
        plan.max_record_bytes = size < 40 ? 100 : 1U << 20U;
        return plan;
      },
      rc::gen::container<std::vector<Step>>(40, GenStep()),
      rc::gen::inRange(0, 15), rc::gen::inRange(0, 30), rc::gen::inRange(0, 20),
      rc::gen::arbitrary<std::uint64_t>(), rc::gen::inRange(0, 60));
}

/// Continuous at-most-once requests while the instances are replaced one after
/// another.
rc::Gen<Plan> GenRollingReplacement() {
  return rc::gen::map(rc::gen::arbitrary<std::uint64_t>(),
                      [](std::uint64_t seed) {
                        Plan plan;
                        plan.is_well_behaved = true;
                        plan.seed = seed;
                        for (std::uint32_t n = 0; n < kInstances; ++n) {
                          Step step;
                          step.kind = Step::Kind::kReplace;
                          step.at = Seconds(3 + 9L * n);
                          step.a = n;
                          plan.steps.push_back(step);
                        }
                        for (std::uint32_t n = 0; n < 200; ++n) {
                          Step step;
                          step.at = Millis(150L * n);
                          step.a = static_cast<std::uint32_t>(seed % 97 + n);
                          plan.steps.push_back(step);
                        }
                        return plan;
                      });
}

void Print(const EventCounts& event_counts) {
  for (const auto& [name, n] : event_counts) {
    std::cout << "    " << name << ": " << n << "\n";
  }
}

class AtMostOnceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AtMostOnceTest);
  CPPUNIT_TEST(OutcomesMatchExecutionsUnderFaults);
  CPPUNIT_TEST(RollingReplacementsCompleteAllRequests);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OutcomesMatchExecutionsUnderFaults() {
    EventCounts event_counts;
    int cases = 0;
    CheckProperty("outcomes match the executions under faults", 21, 1000, [&] {
      const Plan plan = *GenPlan();
      Simulation sim(plan);
      RunPlan(sim);
      ++cases;
      for (const auto& [name, n] : sim.event_counts) event_counts[name] += n;
      const std::string fault = FindViolation(sim.observations);
      if (!fault.empty()) RC_FAIL(fault);
    });
    std::cout << "  " << cases << " sessions contained:\n";
    Print(event_counts);
    CPPUNIT_ASSERT(event_counts["told 1000"] > 0);
  }

  void RollingReplacementsCompleteAllRequests() {
    EventCounts event_counts;
    CheckProperty("a rolling replacement completes all requests", 22, 100, [&] {
      Simulation sim(*GenRollingReplacement());
      RunPlan(sim);
      for (const auto& [name, n] : sim.event_counts) event_counts[name] += n;
      RC_ASSERT(FindViolation(sim.observations).empty());
      RC_ASSERT(sim.event_counts["restarts"] == kInstances);
      RC_ASSERT(sim.observations.results.size() >= 190U);
      for (const auto& it : sim.observations.results) {
        if (it.answer.code == ResultCode::kDone) continue;
        RC_FAIL(it.id + ": " + it.answer.body);
      }
    });
    std::cout << "  100 sessions contained:\n";
    Print(event_counts);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AtMostOnceTest);

}  // namespace
}  // namespace ibisladder::sessions
