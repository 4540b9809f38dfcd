// Runs the detection experiment with a few scenarios. Guards against a detector
// that ejects later than simpler policies, or ejects healthy servers.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "tests/auto/support/story.h"
#include "tools/experiment/emulator.h"

namespace ibisladder::experiment {
namespace {

using ibisladder::testing::Section;

Scenario ScenarioOf(std::size_t service, Failure failure) {
  Scenario scenario;
  scenario.service = CurrentServices()[service];
  scenario.failure = failure;
  scenario.warm_up = WarmUpFor(scenario.service, scenario.instances);
  return scenario;
}

constexpr std::size_t kLibrary = 0;
constexpr std::size_t kBilling = 2;
constexpr std::size_t kDispatcher = 4;

class ExperimentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExperimentTest);
  CPPUNIT_TEST(UnhealthyServerIsEjectedSoonerThanByOtherPolicies);
  CPPUNIT_TEST(HealthyServersStayInService);
  CPPUNIT_TEST(RunsAreReproducible);
  CPPUNIT_TEST_SUITE_END();

 public:
  void UnhealthyServerIsEjectedSoonerThanByOtherPolicies() {
    for (const std::size_t service : {kLibrary, kBilling, kDispatcher}) {
      for (const Failure failure : {Failure::kStall, Failure::kErrors}) {
        const Scenario scenario = ScenarioOf(service, failure);
        Section(scenario.service.name + ", " + NameOf(failure), [&] {
          const RunResult ours = Run(scenario, GrayDetector{});
          CPPUNIT_ASSERT(ours.detected_by_all);
          CPPUNIT_ASSERT(ours.detection < Seconds(45));
          for (const PolicyKind& it :
               {PolicyKind(ConsecutiveErrors{3}), PolicyKind(SuccessRate{0.6}),
                PolicyKind(NoDetection{})}) {
            Section("against " + NameOf(it), [&] {
              CPPUNIT_ASSERT(ours.detection < Run(scenario, it).detection);
            });
          }
        });
      }
    }
  }

  void HealthyServersStayInService() {
    for (const Condition condition :
         {Condition::kOrdinary, Condition::kBrokenLink,
          Condition::kColdStarts}) {
      Section(NameOf(condition), [&] {
        Scenario scenario = ScenarioOf(kLibrary, Failure::kNone);
        scenario.condition = condition;
        scenario.measured_time = Seconds(180);
        const RunResult result = Run(scenario, GrayDetector{});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, result.false_ejections);
        CPPUNIT_ASSERT(result.calls > 40000);
      });
    }
  }

  void RunsAreReproducible() {
    const Scenario scenario = ScenarioOf(kDispatcher, Failure::kSlow);
    const RunResult first = Run(scenario, GrayDetector{});
    const RunResult second = Run(scenario, GrayDetector{});
    CPPUNIT_ASSERT(first.detection == second.detection);
    CPPUNIT_ASSERT_EQUAL(first.failing_server_requests,
                         second.failing_server_requests);
    CPPUNIT_ASSERT(first.latencies == second.latencies);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExperimentTest);

}  // namespace
}  // namespace ibisladder::experiment
